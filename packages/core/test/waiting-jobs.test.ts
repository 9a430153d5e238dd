/** Jobs of all shapes on simulated clusters that lose machines and can't have as many as they want: none is left waiting. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec, Priority } from '@shaleyoke/core/domain/job';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';
import { StarvationMonitor } from '@shaleyoke/emulator/starvation-monitor';

import { seedRange, teamQuota, violationsOf } from './scenario-fixtures.js';

const TEAM_CORES = 80;
const MAX_WAIT: Micros = 90 * SECOND;
const FAULTS_FOR = 60 * SECOND;
const OBSERVED_FOR = 300 * SECOND;
const INTERVAL = 3 * SECOND;

/** A job that fits on the cluster: gangs and services need at most what two zones hold. */
const randomJob = (random: Random, id: string): JobSpec => {
  const shape = random.chance(0.6) ? 'gang' : random.chance(0.8) ? 'array' : 'service';
  const cores = 1 + random.below(MACHINE_TYPE.cores);
  const most = shape === 'service' ? 1 : shape === 'gang' ? 24 : 30;
  return makeJobSpec(id, {
    shape,
    cores,
    tasks: 1 + random.below(most),
    priority: random.below(4) as Priority,
    estimatedRunUs: (4 + random.below(25)) * SECOND,
    sameZone: shape === 'gang' && random.chance(0.3),
    spot: random.chance(0.4),
    zone: random.chance(0.1) ? 'a' : null,
  });
};

test('no job is left waiting beside machines that hold it, whatever else waits', () => {
  // Guards against plans that can't be carried out: a gang that is never started holds machines, and other work waits behind it.
  const [first, last] = seedRange('WAITING_SEEDS', '1-12');
  for (let seed = first; seed <= last; seed++) {
    const random = new Random(seed);
    const machinesPerZone = 2 + random.below(4);
    const simulation = new ClusterSimulation(random, 3, teamQuota(TEAM_CORES), TEAM_CORES, machinesPerZone);
    simulation.addMachines(random.below(2 * machinesPerZone));
    simulation.runFor(4 * SECOND);
    const ids = Array.from({ length: 12 }, (_, i) => `run-${i + 1}`);
    for (const id of ids) {
      simulation.submit(randomJob(random, id));
      simulation.runFor(random.below(FAULTS_FOR / ids.length));
      if (random.chance(0.3)) {
        const worker = simulation.anyWorker();
        if (worker !== undefined) simulation.killWorker(worker);
      }
    }
    const monitor = new StarvationMonitor(simulation, TEAM_CORES);
    const end = simulation.now + OBSERVED_FOR;
    while (simulation.now < end) {
      for (const id of ids) simulation.poll(id);
      monitor.observe(ids);
      simulation.runFor(INTERVAL);
    }
    const starved = [...monitor.longestWaits]
      .filter(([, wait]) => wait > MAX_WAIT)
      .map(([id]) => simulation.work.specs.get(id));
    assert.deepEqual(starved, [], `seed ${seed}, ${machinesPerZone} machines a zone`);
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
});
