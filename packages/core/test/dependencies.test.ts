/** Jobs with dependencies: blocking, release, cancellation, and the priorities and deadlines that dependencies inherit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import { latestFinish } from '@shaleyoke/core/cluster/deadline-chain';
import {
  decodeActiveJob,
  decodeEndedJob,
  encodeActiveJob,
  encodeEndedJob,
} from '@shaleyoke/core/codecs/job-codec';
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { DependencyGraph } from '@shaleyoke/core/jobs/dependency-graph';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

/** A random acyclic graph: each job depends on some of the jobs before it. */
const randomGraph = (random: Random, count: number, id: (i: number) => string): JobSpec[] => {
  const specs: JobSpec[] = [];
  for (let i = 0; i < count; i++) {
    const dependencies = new Set<string>();
    if (i > 0 && random.chance(0.8))
      for (let edge = 0; edge < 1 + random.below(3); edge++) dependencies.add(id(random.below(i)));
    specs.push(
      makeJobSpec(id(i), {
        dependsOn: [...dependencies],
        shape: random.chance(0.25) ? 'gang' : 'array',
        tasks: 1 + random.below(3),
        estimatedRunUs: (2 + random.below(8)) * SECOND,
        priority: random.below(4) as JobSpec['priority'],
        deadlineUs: random.chance(0.3) ? (60 + random.below(200)) * SECOND : null,
      }),
    );
  }
  return specs;
};

test('whatever crashes, no job starts before its dependencies, none is orphaned, and every job ends', () => {
  for (let seed = 1; seed <= 10; seed++) {
    const random = new Random(seed * 104_729);
    const announcedLimits = seed % 2 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '';
    const simulation = new ClusterSimulation(
      random,
      3,
      '[[cluster.teams]]\nname = "t"\ncpus_max = 10.0\n',
      10,
      4,
      announcedLimits,
    );
    simulation.runFor(2 * SECOND);
    const specs = randomGraph(random, 16, (i) => `run-${seed}${String(i).padStart(3, '0')}`);
    let submitted = 0;
    for (let step = 0; step < 40; step++) {
      simulation.messageLoss = random.chance(0.3) ? 0.25 : 0.03;
      // A client only names dependencies that were accepted.
      const spec = specs[submitted];
      if (
        spec?.dependsOn.every((dependency) => simulation.stageOf(dependency) !== undefined) === true &&
        random.chance(0.7)
      ) {
        simulation.submit(spec);
        submitted++;
      }
      if (announcedLimits !== '' && step === 15) simulation.limits = { valueBytes: 2_048, ops: 5 };
      if (random.chance(0.15)) simulation.crash(random.below(3), (2 + random.below(6)) * SECOND);
      if (random.chance(0.06)) for (const i of [0, 1, 2]) simulation.crash(i, (2 + random.below(4)) * SECOND);
      if (random.chance(0.06)) simulation.stateOutage((2 + random.below(14)) * SECOND);
      const cancelled = specs[random.below(Math.max(1, submitted))];
      if (cancelled !== undefined && simulation.stageOf(cancelled.id) !== undefined && random.chance(0.06))
        simulation.cancel(cancelled.id);
      for (const jobSpec of specs)
        if (simulation.stageOf(jobSpec.id) !== undefined && random.chance(0.4)) simulation.poll(jobSpec.id);
      simulation.runFor((1 + random.below(5)) * SECOND);
    }
    simulation.messageLoss = 0;
    for (let i = 0; i < 60; i++) {
      for (const jobSpec of specs)
        if (simulation.stageOf(jobSpec.id) !== undefined) simulation.poll(jobSpec.id);
      simulation.runFor(5 * SECOND);
    }
    assert.deepEqual([...new Set(simulation.violations)].slice(0, 5), [], `seed ${seed}`);
    assert.equal(
      simulation.oversizedTransactions,
      0,
      'writes respect the announced limits from the first one on',
    );
    for (const jobSpec of specs.slice(0, submitted)) {
      const stage = simulation.stageOf(jobSpec.id);
      if (stage !== undefined) assert.match(stage, /done|cancelled/, `seed ${seed} ${jobSpec.id}`);
    }
  }
});

test('a cancellation reaches all transitive dependents, in a few seconds and through a crash of all controllers', () => {
  const simulation = new ClusterSimulation(new Random(5));
  simulation.runFor(3 * SECOND);
  const ids = Array.from({ length: 12 }, (_, i) => `run-${i}`);
  ids.forEach((id, i) => {
    simulation.submit(
      makeJobSpec(id, { dependsOn: i === 0 ? [] : [`run-${i - 1}`], estimatedRunUs: 100 * SECOND }),
    );
    simulation.runFor(SECOND);
  });
  simulation.cancel('run-0');
  simulation.runFor(60_000);
  for (const node of [0, 1, 2]) simulation.crash(node, (1 + node) * SECOND);
  // A job whose dependency is already cancelled is accepted nevertheless.
  simulation.submit(makeJobSpec('run-99', { dependsOn: ['run-0'] }));
  simulation.runFor(16 * SECOND);
  for (const id of [...ids, 'run-99']) simulation.poll(id);
  simulation.runFor(2 * SECOND);
  for (const id of [...ids, 'run-99']) assert.equal(simulation.stageOf(id), 'cancelled', id);
  // Their own records say so as well: the leader has no blocked job left.
  assert.deepEqual(simulation.keys('j/'), []);
  assert.deepEqual(simulation.violations, []);
});

test('a job that depends on one cancelled long ago is reported as cancelled from the first answer on', () => {
  // A node whose cached state of the dependency predated its cancellation answered `queued` (found by a generated history).
  for (let seed = 1; seed <= 6; seed++) {
    const simulation = new ClusterSimulation(new Random(seed));
    simulation.runFor(3 * SECOND);
    simulation.submit(makeJobSpec('run-0', { estimatedRunUs: 300 * SECOND }));
    simulation.runFor(SECOND);
    simulation.submit(makeJobSpec('run-1', { dependsOn: ['run-0'] }));
    for (let number = 0; number < 8; number++) simulation.poll('run-1');
    simulation.runFor(SECOND);
    simulation.cancel('run-0');
    simulation.runFor(45 * SECOND);
    for (let number = 2; number < 8; number++)
      simulation.submit(makeJobSpec(`run-${number}`, { dependsOn: [number % 2 === 0 ? 'run-0' : 'run-1'] }));
    simulation.runFor(SECOND);
    for (let number = 2; number < 8; number++)
      assert.equal(simulation.stageOf(`run-${number}`), 'cancelled', `seed ${seed} run-${number}`);
    assert.deepEqual(simulation.violations, []);
  }
});

test('without a leader, every node still reports a job with a cancelled dependency as cancelled', () => {
  const simulation = new ClusterSimulation(new Random(8));
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++) {
    simulation.submit(
      makeJobSpec(`run-${i}`, { dependsOn: i === 0 ? [] : [`run-${i - 1}`], estimatedRunUs: 100 * SECOND }),
    );
    simulation.runFor(300_000);
  }
  const leader = simulation.nodes.findIndex((node) => node.core?.canActAsLeader() === true);
  simulation.crash(leader, 30 * SECOND);
  simulation.cancel('run-0');
  // Less than the crashed leader's lease, so that no node leads yet.
  simulation.runFor(1_500_000);
  for (let attempt = 0; attempt < 6; attempt++) simulation.poll('run-4');
  simulation.runFor(1_500_000);
  assert.ok(simulation.nodes.every((node) => node.core?.canActAsLeader() !== true));
  assert.equal(simulation.stageOf('run-4'), 'cancelled');
  assert.deepEqual(simulation.violations, []);
});

test('dependencies on services or on jobs never accepted are refused; wide fan-in is accepted and runs', () => {
  const simulation = new ClusterSimulation(new Random(3), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 20);
  simulation.runFor(3 * SECOND);
  const fanInIds = Array.from({ length: 70 }, (_, i) => `run-${100 + i}`);
  for (const id of fanInIds) simulation.submit(makeJobSpec(id, { tasks: 1, estimatedRunUs: 2 * SECOND }));
  simulation.submit(makeJobSpec('run-1', { shape: 'service', tasks: 1 }));
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-2', { dependsOn: ['run-1'] }));
  simulation.submit(makeJobSpec('run-3', { dependsOn: ['run-77'] }));
  simulation.submit(makeJobSpec('run-4', { dependsOn: fanInIds }));
  simulation.runFor(90 * SECOND);
  simulation.poll('run-4');
  simulation.runFor(2 * SECOND);
  assert.equal(simulation.stageOf('run-2'), undefined);
  assert.equal(simulation.stageOf('run-3'), undefined);
  assert.equal(simulation.stageOf('run-4'), 'done');
  assert.deepEqual(simulation.violations, []);
});

test('inherited priority and latest finish equal a direct recursive computation', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const random = new Random(seed);
    const specs = randomGraph(random, 25, (i) => `run-${i}`);
    const jobs = new Map(
      specs.map((jobSpec, i) => [jobSpec.id, new ActiveJob(jobSpec, i + 1, i * SECOND, 0)]),
    );
    const graph = new DependencyGraph({
      wallNow: 0,
      findJob: (id) => jobs.get(id),
      readOutcome: () => assert.fail('all jobs are known'),
      dependenciesMet: () => undefined,
      dependencyFailed: () => assert.fail('no job is cancelled'),
      expectedDuration: (job) => job.spec.estimatedRunUs,
    });
    for (const job of jobs.values()) graph.add(job);
    graph.refreshInheritance(false);
    const dependentsOf = (id: string): ActiveJob[] =>
      [...jobs.values()].filter((job) => job.spec.dependsOn.includes(id));
    const expectedPriority = (job: ActiveJob): number =>
      Math.max(job.spec.priority, ...dependentsOf(job.id).map(expectedPriority));
    const expectedLatestFinish = (job: ActiveJob): number =>
      Math.min(
        ...dependentsOf(job.id).map(
          (dependent) =>
            Math.min(
              expectedLatestFinish(dependent),
              dependent.spec.deadlineUs === null
                ? Infinity
                : dependent.acceptedAt + dependent.spec.deadlineUs,
            ) - dependent.spec.estimatedRunUs,
        ),
      );
    for (const job of jobs.values()) {
      assert.equal(job.priority, expectedPriority(job), `seed ${seed} ${job.id}`);
      assert.equal(
        job.deadlineChain === null ? Infinity : latestFinish(job.deadlineChain),
        expectedLatestFinish(job),
        `seed ${seed} ${job.id}`,
      );
      assert.equal(job.blockedOnDependencies, job.spec.dependsOn.length > 0);
    }
  }
});

test('job records are decoded; the previous version decodes only those without dependencies', () => {
  const dependencies = Array.from({ length: 150 }, (_, i) => `run-${400_000 + i * 7}`);
  const spec = makeJobSpec('run-7', { dependsOn: dependencies });
  const record = encodeActiveJob(spec, 5) as Record<string, unknown>;
  assert.deepEqual(decodeActiveJob(structuredClone(record)), { spec, acceptedAt: 5 });
  assert.ok(jsonByteLength(record) < 2_048 - 128, `${jsonByteLength(record)} bytes`);
  assert.equal(record['spec'], undefined, 'the previous version would start it too early');
  // As the previous version writes it: without the field `needs` and all fields added later.
  const oldSpec = {
    id: 'run-8',
    class: 'c',
    team: 't',
    shape: 'array',
    priority: 1,
    tasks: 2,
    cores: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'img',
    imageGb: 1,
    types: null,
    zone: null,
    sameZone: false,
    spread: false,
    spot: false,
    estimateUs: 10_000_000,
    checkpointUs: 0,
    saveUs: 0,
    deadlineUs: null,
  };
  assert.deepEqual(decodeActiveJob({ spec: oldSpec, at: 9 }), { spec: makeJobSpec('run-8'), acceptedAt: 9 });
  assert.deepEqual(encodeActiveJob(makeJobSpec('run-8'), 9), { spec: oldSpec, at: 9 });
  assert.deepEqual(decodeEndedJob({ stage: 'done', done: 2, spec: oldSpec }), {
    stage: 'done',
    done: 2,
    shape: 'array',
    endedAt: null,
  });
  // The record of an ended job is small whatever its spec: a job accepted under larger limits can end under smaller ones.
  const largeSpec = makeJobSpec('run-9', {
    machineTypes: Array.from({ length: 900 }, (_, i) => `type-${i}`),
  });
  assert.ok(jsonByteLength(encodeEndedJob(largeSpec, 'cancelled', 0, 1)) < 300);
});
