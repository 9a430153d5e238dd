/** Incrementally updated totals over machines equal a full count, in generated histories and in the fault scenarios. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { QuotaUsage } from '@shaleyoke/core/cluster/fair-share';
import { MachineRegistry } from '@shaleyoke/core/cluster/machine-registry';
import { UsageTotals } from '@shaleyoke/core/cluster/usage-totals';
import type { JobSpec, Priority } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { BASIC_LIMITS, BASIC_SCENARIOS, runScenarios } from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { runTask } from './cluster-fixtures.js';

const TYPES = new Map<string, MachineType>([
  ['box', { ...MACHINE_TYPE, cores: 8 }],
  ['gpu', { ...MACHINE_TYPE, name: 'gpu', cores: 8, gpus: 4 }],
]);
const TEAMS = ['a', 'b', 'c'];
/** Small tasks, one for each team, whose allowed number shows the remaining quota. */
const PROBES = TEAMS.map((team) => makeJobSpec(`probe-${team}`, { team, cores: 0.1, gpus: 0.5 }));

/** The result of a full count over all machines. */
interface FullCount {
  readonly usage: QuotaUsage;
  readonly coresByTeam: ReadonlyMap<string, number>;
  readonly lowestPriority: number;
}

const countCores = (machines: Iterable<Machine>): Map<string, number> => {
  const cores = new Map<string, number>();
  for (const machine of machines)
    for (const { job } of machine.attempts.values())
      cores.set(job.spec.team, (cores.get(job.spec.team) ?? 0) + job.spec.cores);
  return cores;
};

/** Counts usage from scratch, over all machines and attempts. */
const countAll = (machines: readonly Machine[]): FullCount => {
  const usage = new QuotaUsage();
  let lowestPriority = 3;
  for (const machine of machines) {
    let anyUnconfirmed = false;
    for (const { job, confirmed } of machine.attempts.values()) {
      lowestPriority = Math.min(lowestPriority, job.priority);
      if (confirmed) usage.add(job.spec, 1);
      else anyUnconfirmed = true;
    }
    if (machine.awaitingReconciliation || machine.unknownTaskCount > 0 || anyUnconfirmed)
      usage.addUnverified(TYPES.get(machine.type) ?? null, machine);
  }
  return { usage, coresByTeam: countCores(machines), lowestPriority };
};

/**
 * Counts the total and free capacity for tasks of a priority, machine by machine: GPUs with `coresEach` cores each, or cores
 * alone.
 */
const countCapacity = (
  machines: Iterable<Machine>,
  gpu: boolean,
  priority: number,
  coresEach: number,
): { total: number; free: number } => {
  let total = 0;
  let free = 0;
  for (const machine of machines) {
    const type = TYPES.get(machine.type)!;
    if (machine.retirementReason !== null || (gpu && type.gpus === 0)) continue;
    const left = machine.freeOf(type);
    let [cores, gpus, lower] = [0, 0, 0];
    for (const { job } of machine.attempts.values()) {
      if (job.priority < priority) lower += gpu ? job.spec.gpus : job.spec.cores;
      else if (gpu && (job.priority > priority || job.spec.gpus === 0)) {
        cores += job.spec.cores;
        gpus += job.spec.gpus;
      }
    }
    total += gpu ? Math.min(type.gpus - gpus, Math.max(0, type.cores - cores) / coresEach) : type.cores;
    if (!machine.up) continue;
    free += Math.max(0, gpu ? Math.min(left.gpus, left.cores / coresEach) : left.cores) + lower;
  }
  return { total, free };
};

const assertClose = (actual: number, expected: number, label: string): void => {
  assert.ok(Math.abs(actual - expected) < 1e-6, `${label}: ${actual}, counted ${expected}`);
};

const assertEqualsFullCount = (
  totals: UsageTotals,
  registry: ReadonlyMap<string, Machine>,
  label: string,
): void => {
  const machines = [...registry.values()];
  const counted = countAll(machines);
  const usage = totals.usage();
  const limit = { name: 't', guaranteedCores: 0, guaranteedGpus: 0, maxCores: 60, maxGpus: 30 };
  for (const probe of PROBES)
    assert.equal(
      usage.remainingTasks(probe, limit),
      counted.usage.remainingTasks(probe, limit),
      `${label}: tasks allowed to ${probe.team}`,
    );
  const teamUsage = totals.teamUsage();
  for (const team of TEAMS)
    assertClose(
      teamUsage.get(team)?.cores ?? 0,
      counted.coresByTeam.get(team) ?? 0,
      `${label}: cores of ${team}`,
    );
  assert.equal(totals.lowestLivePriority(), counted.lowestPriority, `${label}: lowest running`);
  assert.equal(
    totals.anyPreprovisioned,
    machines.some((machine) => machine.preprovisioned),
    `${label}: any pre-provisioned`,
  );
  for (const gpu of [false, true])
    for (const priority of [0, 1, 2, 3] as const) {
      const actual = totals.capacityFor(gpu, priority, 2);
      const expected = countCapacity(machines, gpu, priority, 2);
      assertClose(actual.total, expected.total, `${label}: total of priority ${priority}`);
      assertClose(actual.free, expected.free, `${label}: free for priority ${priority}`);
    }
};

test('totals over machines equal a full count after any sequence of changes', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed);
    const machines = new MachineRegistry();
    const totals = new UsageTotals(machines, () => TYPES);
    machines.observer = totals;
    const jobs = Array.from({ length: 8 }, (_, i) => {
      const spec: Partial<JobSpec> = {
        team: TEAMS[i % TEAMS.length]!,
        priority: random.below(4) as Priority,
        cores: [0.1, 0.7, 1, 2][random.below(4)]!,
        gpus: [0, 0, 0.5, 1][random.below(4)]!,
      };
      return new ActiveJob(makeJobSpec(`run-${i}`, spec), 1, 0, 0);
    });
    const anyMachine = (): Machine | undefined =>
      [...machines.values()][random.below(Math.max(1, machines.size))];
    const startTask = (machine: Machine): void => {
      const job = jobs[random.below(jobs.length)]!;
      runTask(job, random.below(1_000), machine, { confirmed: random.chance(0.8) });
    };
    const endTask = (machine: Machine): void => {
      const first = [...machine.attempts][0];
      if (first === undefined) return;
      machine.attempts.delete(first[0]);
      first[1].job.liveAttempts.delete(first[1].index);
      machine.markChanged();
    };
    const changes: ((machine: Machine) => void)[] = [
      startTask,
      startTask,
      endTask,
      (machine) => (machine.up = !machine.up),
      (machine) => (machine.awaitingReconciliation = random.chance(0.3)),
      (machine) => (machine.unknownTaskCount = random.below(2)),
      (machine) => (machine.preprovisioned = random.chance(0.5)),
      (machine) => (machine.retirementReason = random.chance(0.2) ? 'idle' : null),
      () => (jobs[random.below(jobs.length)]!.priority = random.below(4) as Priority),
      (machine) => {
        for (const attempt of machine.attempts.values()) attempt.confirmed = true;
        machine.notifyObserver();
      },
      (machine) => machines.delete(machine.name),
    ];
    for (let step = 0; step < 200; step++) {
      if (machines.size < 6 && random.chance(0.5)) {
        const name = `m-${random.below(12)}`;
        machines.set(name, new Machine(name, '', random.chance(0.5) ? 'box' : 'gpu', 'a', false, 0));
      }
      const machine = anyMachine();
      if (machine !== undefined) changes[random.below(changes.length)]!(machine);
      if (random.chance(0.4)) assertEqualsFullCount(totals, machines, `seed ${seed}, step ${step}`);
    }
    assertEqualsFullCount(totals, machines, `seed ${seed}, at the end`);
  }
});

/** Compares the totals of a simulation's leader with a full count; returns false while there is no leader. */
const compareLeader = (simulation: ClusterSimulation): boolean => {
  const core = simulation.nodes[simulation.leaderIndex()]?.core;
  const cluster = core?.scheduler?.term.cluster;
  if (cluster === undefined) return false;
  const expected = countCores(cluster.machines.values()).get('t') ?? 0;
  const actual = cluster.usageTotals.teamUsage().get('t')?.cores ?? 0;
  assertClose(actual, expected, `at ${simulation.now}`);
  return true;
};

test("a leader's totals equal a full count at every second of the basic fault scenarios", () => {
  let comparisons = 0;
  for (const [i, scenario] of Object.values(BASIC_SCENARIOS).entries())
    runScenarios(
      300 + i,
      [
        (scene) => {
          for (let second = 1; second < 20; second++)
            scene.simulation.runAfter(second * SECOND, () => {
              if (compareLeader(scene.simulation)) comparisons++;
            });
          scenario(scene);
        },
      ],
      2,
      BASIC_LIMITS,
    );
  assert.ok(comparisons > 100, `${comparisons} comparisons`);
});
