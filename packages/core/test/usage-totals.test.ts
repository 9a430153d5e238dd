/** What is kept up as machines change equals a full count, in generated histories. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec, Priority } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { UsageTotals } from '@shaleyoke/core/cluster/usage-totals';
import { MachineRegistry } from '@shaleyoke/core/cluster/machine-registry';
import { QuotaUsage } from '@shaleyoke/core/cluster/fair-share';
import { FIRST_BOUNDS, BASIC_SCENARIOS, play } from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { TYPE } from '@shaleyoke/emulator/site';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { runTask } from './cluster-fixtures.js';

const TYPES = new Map<string, MachineType>([
  ['box', { ...TYPE, cores: 8 }],
  ['gpu', { ...TYPE, name: 'gpu', cores: 8, gpus: 4 }],
]);
const TEAMS = ['a', 'b', 'c'];
const PROBES = TEAMS.map((team) => specOf(`probe-${team}`, { team, cores: 0.1, gpus: 0.5 }));

/** All machines and attempts, one after the other, as plans once did. */
const fullCount = (
  machines: Iterable<Machine>,
): { usage: QuotaUsage; use: Map<string, number>; lowest: number } => {
  const usage = new QuotaUsage();
  const use = new Map<string, number>();
  let lowest = 3;
  for (const machine of machines) {
    let unproven = false;
    for (const { job, confirmed: proven } of machine.attempts.values()) {
      const { team, cores } = job.spec;
      use.set(team, (use.get(team) ?? 0) + cores);
      lowest = Math.min(lowest, job.priority);
      if (proven) usage.add(job.spec, 1);
      else unproven = true;
    }
    if (machine.awaitingReconciliation || machine.unknownTaskCount > 0 || unproven)
      usage.addUnverified(TYPES.get(machine.type) ?? null, machine);
  }
  return { usage, use, lowest };
};

/** Room by kind of work, from each machine by itself. */
const fullRoom = (
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

const near = (actual: number, expected: number, what: string): void => {
  assert.ok(Math.abs(actual - expected) < 1e-6, `${what}: ${actual}, counted ${expected}`);
};

const compare = (totals: UsageTotals, machines: ReadonlyMap<string, Machine>, what: string): void => {
  const counted = fullCount(machines.values());
  const usage = totals.usage();
  const limit = { name: 't', guaranteedCores: 0, guaranteedGpus: 0, maxCores: 60, maxGpus: 30 };
  for (const probe of PROBES)
    assert.equal(
      usage.room(probe, limit),
      counted.usage.room(probe, limit),
      `${what}: room of ${probe.team}`,
    );
  const use = totals.teamUsage();
  for (const team of TEAMS)
    near(use.get(team)?.cores ?? 0, counted.use.get(team) ?? 0, `${what}: cores of ${team}`);
  assert.equal(totals.lowestRunning(), counted.lowest, `${what}: lowest running`);
  assert.equal(
    totals.anyPreprovisioned,
    [...machines.values()].some((m) => m.preprovisioned),
    `${what}: standing`,
  );
  for (const gpu of [false, true])
    for (const priority of [0, 1, 2, 3] as const) {
      const kept = totals.capacityFor(gpu, priority, 2);
      const full = fullRoom(machines.values(), gpu, priority, 2);
      near(kept.total, full.total, `${what}: total of priority ${priority}`);
      near(kept.free, full.free, `${what}: free for priority ${priority}`);
    }
};

test('sums over machines equal a full count, whatever changes', () => {
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
      return new ActiveJob(specOf(`run-${i}`, spec), 1, 0, 0);
    });
    const any = (): Machine | undefined => [...machines.values()][random.below(Math.max(1, machines.size))];
    const begin = (machine: Machine): void => {
      const job = jobs[random.below(jobs.length)]!;
      runTask(job, random.below(1_000), machine, random.chance(0.8));
    };
    const end = (machine: Machine): void => {
      const first = [...machine.attempts][0];
      if (first === undefined) return;
      machine.attempts.delete(first[0]);
      first[1].job.liveAttempts.delete(first[1].index);
      machine.markChanged();
    };
    const changes: ((machine: Machine) => void)[] = [
      begin,
      begin,
      end,
      (m) => (m.up = !m.up),
      (m) => (m.awaitingReconciliation = random.chance(0.3)),
      (m) => (m.unknownTaskCount = random.below(2)),
      (m) => (m.preprovisioned = random.chance(0.5)),
      (m) => (m.retirementReason = random.chance(0.2) ? 'idle' : null),
      () => (jobs[random.below(jobs.length)]!.priority = random.below(4) as Priority),
      (m) => {
        for (const attempt of m.attempts.values()) attempt.confirmed = true;
        m.notifyObserver();
      },
      (m) => machines.delete(m.name),
    ];
    for (let step = 0; step < 200; step++) {
      if (machines.size < 6 && random.chance(0.5)) {
        const name = `m-${random.below(12)}`;
        machines.set(name, new Machine(name, '', random.chance(0.5) ? 'box' : 'gpu', 'a', false, 0));
      }
      const machine = any();
      if (machine !== undefined) changes[random.below(changes.length)]!(machine);
      if (random.chance(0.4)) compare(totals, machines, `seed ${seed}, step ${step}`);
    }
    compare(totals, machines, `seed ${seed}, at the end`);
  }
});

/** Compares what the leader of a world keeps up with what it has. */
const compareLeader = (world: ClusterSimulation): boolean => {
  const core = world.nodes[world.leader()]?.core;
  const estate = core?.scheduler?.term.cluster;
  if (estate === undefined) return false;
  const use = new Map<string, number>();
  for (const machine of estate.machines.values())
    for (const { job } of machine.attempts.values())
      use.set(job.spec.team, (use.get(job.spec.team) ?? 0) + job.spec.cores);
  near(estate.usageTotals.teamUsage().get('t')?.cores ?? 0, use.get('t') ?? 0, `at ${world.now}`);
  return true;
};

test("a leader's sums equal a full count at every moment of meetings of troubles", () => {
  let looks = 0;
  for (const [i, meeting] of Object.values(BASIC_SCENARIOS).entries())
    play(
      300 + i,
      [
        (scene) => {
          for (let s = 1; s < 20; s++)
            scene.w.later(s * SECOND, () => {
              if (compareLeader(scene.w)) looks++;
            });
          meeting(scene);
        },
      ],
      2,
      FIRST_BOUNDS,
    );
  assert.ok(looks > 100, `${looks} comparisons`);
});
