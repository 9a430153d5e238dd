/** Jobs with dependencies: blocked, released, cancelled, and the priorities and deadlines that others inherit from them. */
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
import { bytesOf } from '@shaleyoke/core/codecs/value-size';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { DependencyGraph } from '@shaleyoke/core/jobs/dependency-graph';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';

/** A random graph: each job depends on some of those before it. */
const randomGraph = (random: Random, count: number, id: (i: number) => string): JobSpec[] => {
  const specs: JobSpec[] = [];
  for (let i = 0; i < count; i++) {
    const dependencies = new Set<string>();
    if (i > 0 && random.chance(0.8))
      for (let edge = 0; edge < 1 + random.below(3); edge++) dependencies.add(id(random.below(i)));
    specs.push(
      specOf(id(i), {
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

test('no job starts too early nor is orphaned, whatever crashes, and every job ends', () => {
  for (let seed = 1; seed <= 10; seed++) {
    const random = new Random(seed * 104_729);
    const nextSettings = seed % 2 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '';
    const simulation = new ClusterSimulation(
      random,
      3,
      '[[cluster.teams]]\nname = "t"\ncpus_max = 10.0\n',
      10,
      4,
      nextSettings,
    );
    simulation.runFor(2 * SECOND);
    const specs = randomGraph(random, 16, (i) => `run-${seed}${String(i).padStart(3, '0')}`);
    let submitted = 0;
    for (let step = 0; step < 40; step++) {
      simulation.loss = random.chance(0.3) ? 0.25 : 0.03;
      // A client names only jobs that were accepted.
      const spec = specs[submitted];
      if (
        spec?.dependsOn.every((dependency) => simulation.stageOf(dependency) !== undefined) === true &&
        random.chance(0.7)
      ) {
        simulation.submit(spec);
        submitted++;
      }
      if (nextSettings !== '' && step === 15) simulation.limits = { valueBytes: 2_048, ops: 5 };
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
    simulation.loss = 0;
    for (let i = 0; i < 60; i++) {
      for (const jobSpec of specs)
        if (simulation.stageOf(jobSpec.id) !== undefined) simulation.poll(jobSpec.id);
      simulation.runFor(5 * SECOND);
    }
    assert.deepEqual([...new Set(simulation.broken)].slice(0, 5), [], `seed ${seed}`);
    assert.equal(simulation.refusals, 0, 'within the announced limits from the first write');
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
      specOf(id, { dependsOn: i === 0 ? [] : [`run-${i - 1}`], estimatedRunUs: 100 * SECOND }),
    );
    simulation.runFor(SECOND);
  });
  simulation.cancel('run-0');
  simulation.runFor(60_000);
  for (const node of [0, 1, 2]) simulation.crash(node, (1 + node) * SECOND);
  // Submitted when its dependency is cancelled already: accepted all the same.
  simulation.submit(specOf('run-99', { dependsOn: ['run-0'] }));
  simulation.runFor(16 * SECOND);
  for (const id of [...ids, 'run-99']) simulation.poll(id);
  simulation.runFor(2 * SECOND);
  for (const id of [...ids, 'run-99']) assert.equal(simulation.stageOf(id), 'cancelled', id);
  // Their own records state it as well: no blocked job is left to the leader.
  assert.deepEqual(simulation.keys('j/'), []);
  assert.deepEqual(simulation.broken, []);
});

test('a job that names one cancelled long ago is called cancelled from the first answer on', () => {
  // Found by a generated history: `queued`, by a node that knew the named job from before its cancellation.
  for (let seed = 1; seed <= 6; seed++) {
    const simulation = new ClusterSimulation(new Random(seed));
    simulation.runFor(3 * SECOND);
    simulation.submit(specOf('run-0', { estimatedRunUs: 300 * SECOND }));
    simulation.runFor(SECOND);
    simulation.submit(specOf('run-1', { dependsOn: ['run-0'] }));
    for (let number = 0; number < 8; number++) simulation.poll('run-1');
    simulation.runFor(SECOND);
    simulation.cancel('run-0');
    simulation.runFor(45 * SECOND);
    for (let number = 2; number < 8; number++)
      simulation.submit(specOf(`run-${number}`, { dependsOn: [number % 2 === 0 ? 'run-0' : 'run-1'] }));
    simulation.runFor(SECOND);
    for (let number = 2; number < 8; number++)
      assert.equal(simulation.stageOf(`run-${number}`), 'cancelled', `seed ${seed} run-${number}`);
    assert.deepEqual(simulation.broken, []);
  }
});

test('without a leader, every node still answers that a job with a cancelled dependency is cancelled', () => {
  const simulation = new ClusterSimulation(new Random(8));
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++) {
    simulation.submit(
      specOf(`run-${i}`, { dependsOn: i === 0 ? [] : [`run-${i - 1}`], estimatedRunUs: 100 * SECOND }),
    );
    simulation.runFor(300_000);
  }
  const leader = simulation.nodes.findIndex((node) => node.core?.leads() === true);
  simulation.crash(leader, 30 * SECOND);
  simulation.cancel('run-0');
  // Before the lease of the dead leader has run out.
  simulation.runFor(1_500_000);
  for (let attempt = 0; attempt < 6; attempt++) simulation.poll('run-4');
  simulation.runFor(1_500_000);
  assert.ok(simulation.nodes.every((node) => node.core?.leads() !== true));
  assert.equal(simulation.stageOf('run-4'), 'cancelled');
  assert.deepEqual(simulation.broken, []);
});

test('dependencies on jobs never accepted and on services are refused; wide fan-in is accepted and runs', () => {
  const simulation = new ClusterSimulation(new Random(3), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 20);
  simulation.runFor(3 * SECOND);
  const wide = Array.from({ length: 70 }, (_, i) => `run-${100 + i}`);
  for (const id of wide) simulation.submit(specOf(id, { tasks: 1, estimatedRunUs: 2 * SECOND }));
  simulation.submit(specOf('run-1', { shape: 'service', tasks: 1 }));
  simulation.runFor(3 * SECOND);
  simulation.submit(specOf('run-2', { dependsOn: ['run-1'] }));
  simulation.submit(specOf('run-3', { dependsOn: ['run-77'] }));
  simulation.submit(specOf('run-4', { dependsOn: wide }));
  simulation.runFor(90 * SECOND);
  simulation.poll('run-4');
  simulation.runFor(2 * SECOND);
  assert.equal(simulation.stageOf('run-2'), undefined);
  assert.equal(simulation.stageOf('run-3'), undefined);
  assert.equal(simulation.stageOf('run-4'), 'done');
  assert.deepEqual(simulation.broken, []);
});

test('inherited priority and latest finish equal those of a direct computation', () => {
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
    const after = (id: string): ActiveJob[] =>
      [...jobs.values()].filter((job) => job.spec.dependsOn.includes(id));
    const priority = (job: ActiveJob): number => Math.max(job.spec.priority, ...after(job.id).map(priority));
    const latest = (job: ActiveJob): number =>
      Math.min(
        ...after(job.id).map(
          (dependent) =>
            Math.min(
              latest(dependent),
              dependent.spec.deadlineUs === null
                ? Infinity
                : dependent.acceptedAt + dependent.spec.deadlineUs,
            ) - dependent.spec.estimatedRunUs,
        ),
      );
    for (const job of jobs.values()) {
      assert.equal(job.priority, priority(job), `seed ${seed} ${job.id}`);
      assert.equal(
        job.deadlineChain === null ? Infinity : latestFinish(job.deadlineChain),
        latest(job),
        `seed ${seed} ${job.id}`,
      );
      assert.equal(job.blockedOnDependencies, job.spec.dependsOn.length > 0);
    }
  }
});

test('records of jobs are decoded; the version before decodes those without dependencies and no others', () => {
  const dependencies = Array.from({ length: 150 }, (_, i) => `run-${400_000 + i * 7}`);
  const spec = specOf('run-7', { dependsOn: dependencies });
  const record = encodeActiveJob(spec, 5) as Record<string, unknown>;
  assert.deepEqual(decodeActiveJob(structuredClone(record)), { spec, acceptedAt: 5 });
  assert.ok(bytesOf(record) < 2_048 - 128, `${bytesOf(record)} bytes`);
  assert.equal(record['spec'], undefined, 'the version before would start it too early');
  // As that version writes them: no field `needs`, nothing that came later.
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
  assert.deepEqual(decodeActiveJob({ spec: oldSpec, at: 9 }), { spec: specOf('run-8'), acceptedAt: 9 });
  assert.deepEqual(encodeActiveJob(specOf('run-8'), 9), { spec: oldSpec, at: 9 });
  assert.deepEqual(decodeEndedJob({ stage: 'done', done: 2, spec: oldSpec }), {
    stage: 'done',
    done: 2,
    shape: 'array',
    endedAt: null,
  });
  // However long its description: a job accepted under larger limits can be ended under smaller ones.
  const long = specOf('run-9', { machineTypes: Array.from({ length: 900 }, (_, i) => `type-${i}`) });
  assert.ok(bytesOf(encodeEndedJob(long, 'cancelled', 0, 1)) < 300);
});
