/** Jobs that wait for others: held, released, withdrawn, and what they lend to those before them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencyGraph } from '@shaleyoke/core/jobs/dependencies';
import { ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import { latestFinish } from '@shaleyoke/core/cluster/deadline-chain';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import {
  encodeActiveJob,
  encodeEndedJob,
  decodeActiveJob,
  decodeEndedJob,
} from '@shaleyoke/core/codecs/job-codec';
import { bytesOf } from '@shaleyoke/core/codecs/value-size';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

/** A graph grown at random: each job needs some of those before it. */
const grown = (r: Random, count: number, id: (i: number) => string): JobSpec[] => {
  const specs: JobSpec[] = [];
  for (let i = 0; i < count; i++) {
    const needs = new Set<string>();
    if (i > 0 && r.chance(0.8)) for (let k = 0; k < 1 + r.below(3); k++) needs.add(id(r.below(i)));
    specs.push(
      specOf(id(i), {
        dependsOn: [...needs],
        shape: r.chance(0.25) ? 'gang' : 'array',
        tasks: 1 + r.below(3),
        estimatedRunUs: (2 + r.below(8)) * SECOND,
        priority: r.below(4) as JobSpec['priority'],
        deadlineUs: r.chance(0.3) ? (60 + r.below(200)) * SECOND : null,
      }),
    );
  }
  return specs;
};

test('no job starts too early nor is orphaned, whatever crashes, and every job ends', () => {
  for (let seed = 1; seed <= 10; seed++) {
    const r = new Random(seed * 104_729);
    const next = seed % 2 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '';
    const w = new ClusterSimulation(r, 3, '[[cluster.teams]]\nname = "t"\ncpus_max = 10.0\n', 10, 4, next);
    w.runFor(2 * SECOND);
    const specs = grown(r, 16, (i) => `run-${seed}${String(i).padStart(3, '0')}`);
    let submitted = 0;
    for (let step = 0; step < 40; step++) {
      w.loss = r.chance(0.3) ? 0.25 : 0.03;
      // A user names only what was accepted.
      const spec = specs[submitted];
      if (spec?.dependsOn.every((n) => w.stageOf(n) !== undefined) === true && r.chance(0.7)) {
        w.submit(spec);
        submitted++;
      }
      if (next !== '' && step === 15) w.limits = { valueBytes: 2_048, ops: 5 };
      if (r.chance(0.15)) w.crash(r.below(3), (2 + r.below(6)) * SECOND);
      if (r.chance(0.06)) for (const i of [0, 1, 2]) w.crash(i, (2 + r.below(4)) * SECOND);
      if (r.chance(0.06)) w.stateOutage((2 + r.below(14)) * SECOND);
      const some = specs[r.below(Math.max(1, submitted))];
      if (some !== undefined && w.stageOf(some.id) !== undefined && r.chance(0.06)) w.cancel(some.id);
      for (const s of specs) if (w.stageOf(s.id) !== undefined && r.chance(0.4)) w.poll(s.id);
      w.runFor((1 + r.below(5)) * SECOND);
    }
    w.loss = 0;
    for (let i = 0; i < 60; i++) {
      for (const s of specs) if (w.stageOf(s.id) !== undefined) w.poll(s.id);
      w.runFor(5 * SECOND);
    }
    assert.deepEqual([...new Set(w.broken)].slice(0, 5), [], `seed ${seed}`);
    assert.equal(w.refusals, 0, 'within the announced limits from the first write');
    for (const s of specs.slice(0, submitted)) {
      const stage = w.stageOf(s.id);
      if (stage !== undefined) assert.match(stage, /done|cancelled/, `seed ${seed} ${s.id}`);
    }
  }
});

test('what is cancelled takes all after it along, in a few seconds and through a crash of all controllers', () => {
  const w = new ClusterSimulation(new Random(5));
  w.runFor(3 * SECOND);
  const ids = Array.from({ length: 12 }, (_, i) => `run-${i}`);
  ids.forEach((id, i) => {
    w.submit(specOf(id, { dependsOn: i === 0 ? [] : [`run-${i - 1}`], estimatedRunUs: 100 * SECOND }));
    w.runFor(SECOND);
  });
  w.cancel('run-0');
  w.runFor(60_000);
  for (const k of [0, 1, 2]) w.crash(k, (1 + k) * SECOND);
  // Submitted when what it needs is cancelled already: accepted all the same.
  w.submit(specOf('run-99', { dependsOn: ['run-0'] }));
  w.runFor(16 * SECOND);
  for (const id of [...ids, 'run-99']) w.poll(id);
  w.runFor(2 * SECOND);
  for (const id of [...ids, 'run-99']) assert.equal(w.stageOf(id), 'cancelled', id);
  // Their own records say so as well: nothing is left for the leader to hold.
  assert.deepEqual(w.keys('j/'), []);
  assert.deepEqual(w.broken, []);
});

test('a job that names one cancelled long ago is called cancelled from the first answer on', () => {
  // Found by a generated history: `queued`, by a node that knew the named job from before its cancellation.
  for (let seed = 1; seed <= 6; seed++) {
    const w = new ClusterSimulation(new Random(seed));
    w.runFor(3 * SECOND);
    w.submit(specOf('run-0', { estimatedRunUs: 300 * SECOND }));
    w.runFor(SECOND);
    w.submit(specOf('run-1', { dependsOn: ['run-0'] }));
    for (let k = 0; k < 8; k++) w.poll('run-1');
    w.runFor(SECOND);
    w.cancel('run-0');
    w.runFor(45 * SECOND);
    for (let k = 2; k < 8; k++)
      w.submit(specOf(`run-${k}`, { dependsOn: [k % 2 === 0 ? 'run-0' : 'run-1'] }));
    w.runFor(SECOND);
    for (let k = 2; k < 8; k++) assert.equal(w.stageOf(`run-${k}`), 'cancelled', `seed ${seed} run-${k}`);
    assert.deepEqual(w.broken, []);
  }
});

test('while nobody leads, every node still tells that a job after a cancelled one is cancelled', () => {
  const w = new ClusterSimulation(new Random(8));
  w.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++) {
    w.submit(
      specOf(`run-${i}`, { dependsOn: i === 0 ? [] : [`run-${i - 1}`], estimatedRunUs: 100 * SECOND }),
    );
    w.runFor(300_000);
  }
  const leader = w.nodes.findIndex((n) => n.core?.leads() === true);
  w.crash(leader, 30 * SECOND);
  w.cancel('run-0');
  // Before the lease of the dead leader has run out.
  w.runFor(1_500_000);
  for (let k = 0; k < 6; k++) w.poll('run-4');
  w.runFor(1_500_000);
  assert.ok(w.nodes.every((n) => n.core?.leads() !== true));
  assert.equal(w.stageOf('run-4'), 'cancelled');
  assert.deepEqual(w.broken, []);
});

test('a job never accepted is refused, and so is a service; wide fan-in is accepted and runs', () => {
  const w = new ClusterSimulation(new Random(3), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 20);
  w.runFor(3 * SECOND);
  const wide = Array.from({ length: 70 }, (_, i) => `run-${100 + i}`);
  for (const id of wide) w.submit(specOf(id, { tasks: 1, estimatedRunUs: 2 * SECOND }));
  w.submit(specOf('run-1', { shape: 'service', tasks: 1 }));
  w.runFor(3 * SECOND);
  w.submit(specOf('run-2', { dependsOn: ['run-1'] }));
  w.submit(specOf('run-3', { dependsOn: ['run-77'] }));
  w.submit(specOf('run-4', { dependsOn: wide }));
  w.runFor(90 * SECOND);
  w.poll('run-4');
  w.runFor(2 * SECOND);
  assert.equal(w.stageOf('run-2'), undefined);
  assert.equal(w.stageOf('run-3'), undefined);
  assert.equal(w.stageOf('run-4'), 'done');
  assert.deepEqual(w.broken, []);
});

test('inherited priority and latest finish are those of a plain computation', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const r = new Random(seed);
    const specs = grown(r, 25, (i) => `run-${i}`);
    const jobs = new Map(specs.map((s, i) => [s.id, new ActiveJob(s, i + 1, i * SECOND, 0)]));
    const deps = new DependencyGraph({
      wallNow: 0,
      job: (id) => jobs.get(id),
      resolve: () => assert.fail('all are there'),
      released: () => undefined,
      doomed: () => assert.fail('none is cancelled'),
      expected: (j) => j.spec.estimatedRunUs,
    });
    for (const j of jobs.values()) deps.add(j);
    deps.refresh(false);
    const after = (id: string): ActiveJob[] =>
      [...jobs.values()].filter((j) => j.spec.dependsOn.includes(id));
    const priority = (j: ActiveJob): number => Math.max(j.spec.priority, ...after(j.id).map(priority));
    const latest = (j: ActiveJob): number =>
      Math.min(
        ...after(j.id).map(
          (d) =>
            Math.min(latest(d), d.spec.deadlineUs === null ? Infinity : d.acceptedAt + d.spec.deadlineUs) -
            d.spec.estimatedRunUs,
        ),
      );
    for (const j of jobs.values()) {
      assert.equal(j.priority, priority(j), `seed ${seed} ${j.id}`);
      assert.equal(
        j.deadlineChain === null ? Infinity : latestFinish(j.deadlineChain),
        latest(j),
        `seed ${seed} ${j.id}`,
      );
      assert.equal(j.blockedOnDependencies, j.spec.dependsOn.length > 0);
    }
  }
});

test('records of jobs are read back; the version before reads those without needs and no others', () => {
  const needs = Array.from({ length: 150 }, (_, i) => `run-${400_000 + i * 7}`);
  const spec = specOf('run-7', { dependsOn: needs });
  const record = encodeActiveJob(spec, 5) as Record<string, unknown>;
  assert.deepEqual(decodeActiveJob(structuredClone(record)), { spec, acceptedAt: 5 });
  assert.ok(bytesOf(record) < 2_048 - 128, `${bytesOf(record)} bytes`);
  assert.equal(record['spec'], undefined, 'the version before would start it too early');
  // As that version writes them: no field `needs`, nothing that came later.
  const old = {
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
  assert.deepEqual(decodeActiveJob({ spec: old, at: 9 }), { spec: specOf('run-8'), acceptedAt: 9 });
  assert.deepEqual(encodeActiveJob(specOf('run-8'), 9), { spec: old, at: 9 });
  assert.deepEqual(decodeEndedJob({ stage: 'done', done: 2, spec: old }), {
    stage: 'done',
    done: 2,
    shape: 'array',
    endedAt: null,
  });
  // However long its description: a job accepted under larger limits can be ended under smaller ones.
  const long = specOf('run-9', { machineTypes: Array.from({ length: 900 }, (_, i) => `type-${i}`) });
  assert.ok(bytesOf(encodeEndedJob(long, 'cancelled', 0, 1)) < 300);
});
