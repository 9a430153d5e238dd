/** Rollouts in generated histories: leaders that forget, creations that are late, pods that die, templates that change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { nextStep, type Pod, type Progress, type Target } from '@shaleyoke/kubernetes/rollout';
import fc from 'fast-check';

type State = Pod['state'];
interface Sim {
  target: Target;
  /** By name; `creating` is in the leader's memory alone, unless `put` says that it is on record. */
  pods: Map<string, { revision: number; state: State; put: boolean }>;
  progress: Progress | null;
  now: number;
  next: number;
  broken: string[];
}

const available = (s: Sim): number => [...s.pods.values()].filter((p) => p.state === 'available').length;
const may = (t: Target): number => t.replicas + (t.rolling?.surge ?? 0);
const least = (t: Target): number => Math.max(0, t.replicas - (t.rolling?.unavailable ?? t.replicas));

/** The leader looks once and does what the step says. */
const look = (s: Sim): void => {
  const pods = [...s.pods].map(([name, p]): Pod => ({ name, revision: p.revision, state: p.state }));
  const step = nextStep(s.target, pods, s.progress, s.now);
  s.progress = step.progress;
  const before = s.pods.size;
  for (let k = 0; k < step.create; k++)
    s.pods.set(`p${String(s.next++).padStart(5, '0')}`, {
      revision: s.target.revision,
      state: 'creating',
      put: false,
    });
  if (step.create > 0 && s.pods.size > may(s.target))
    s.broken.push(`${s.pods.size} pods of ${may(s.target)}`);
  if (step.create > 0 && s.target.rolling === null)
    for (const p of s.pods.values())
      if (p.revision !== s.target.revision) s.broken.push('recreate: old and new at the same time');
  const were = available(s);
  for (const name of step.withdraw) {
    const p = s.pods.get(name)!;
    if (p.state === 'creating' || p.state === 'leaving') s.broken.push(`withdrew one that is ${p.state}`);
    p.state = 'leaving';
  }
  const are = available(s);
  if (are < were && are < least(s.target))
    s.broken.push(`${are} available of ${least(s.target)}, were ${were}`);
  if (before === 0 && s.target.replicas === 0 && step.create > 0) s.broken.push('made pods of none');
};

const event = fc.oneof(
  { weight: 6, arbitrary: fc.constant({ kind: 'look' as const }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('settle' as const), which: fc.nat(50) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('run' as const), which: fc.nat(50) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('die' as const), which: fc.nat(50) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('go' as const), which: fc.nat(50) }) },
  // Creations under way are executed or never: the next leader's condition on its office settles that.
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), bits: fc.nat(255) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('template' as const), back: fc.nat(3) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('scale' as const), replicas: fc.nat(8) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), paused: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('wait' as const), us: fc.nat(400) }) },
);

const start = fc.record({
  replicas: fc.nat(8),
  rolling: fc.option(
    fc
      .record({ surge: fc.nat(3), unavailable: fc.nat(3) })
      .map((r) => (r.surge + r.unavailable === 0 ? { surge: 1, unavailable: 0 } : r)),
    { nil: null },
  ),
});

const pick = (s: Sim, n: number, states: readonly State[]): string | undefined => {
  const names = [...s.pods].filter(([, p]) => states.includes(p.state)).map(([name]) => name);
  return names[n % Math.max(1, names.length)];
};

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;
const play = (s: Sim, e: Event): void => {
  switch (e.kind) {
    case 'look':
      look(s);
      return;
    case 'settle': {
      const name = pick(s, e.which, ['creating']);
      if (name !== undefined) Object.assign(s.pods.get(name)!, { state: 'starting', put: true });
      return;
    }
    case 'run': {
      const name = pick(s, e.which, ['starting']);
      if (name !== undefined) s.pods.get(name)!.state = 'available';
      return;
    }
    case 'die': {
      const name = pick(s, e.which, ['available']);
      if (name !== undefined) s.pods.get(name)!.state = 'starting';
      return;
    }
    case 'go': {
      const name = pick(s, e.which, ['leaving']);
      if (name !== undefined) s.pods.delete(name);
      return;
    }
    case 'crash': {
      let k = 0;
      for (const [name, p] of [...s.pods])
        if (p.state === 'creating') {
          if (((e.bits >> (k++ % 8)) & 1) === 1) Object.assign(p, { state: 'starting', put: true });
          else s.pods.delete(name);
        }
      return;
    }
    case 'template':
      s.target = { ...s.target, revision: Math.max(1, s.target.revision + (e.back === 0 ? -1 : 1)) };
      return;
    case 'scale':
      s.target = { ...s.target, replicas: e.replicas };
      return;
    case 'pause':
      s.target = { ...s.target, paused: e.paused };
      return;
    case 'wait':
      s.now += e.us;
  }
};

test('surge and unavailability are kept at every moment, and a quiet rollout ends with what is asked for', () => {
  let rollouts = 0;
  fc.assert(
    fc.property(start, fc.array(event, { maxLength: 120 }), (first, events) => {
      const s: Sim = {
        target: { ...first, revision: 1, paused: false, progressDeadlineUs: 1_000 },
        pods: new Map(),
        progress: null,
        now: 0,
        next: 0,
        broken: [],
      };
      for (const e of events) {
        play(s, e);
        assert.deepEqual(s.broken, []);
      }
      // Nothing goes wrong any more: it gets there, within a number of looks that the size bounds.
      s.target = { ...s.target, paused: false };
      s.progress = null;
      for (let k = 0; k < 60; k++) {
        look(s);
        assert.deepEqual(s.broken, []);
        for (const [name, p] of [...s.pods])
          if (p.state === 'leaving') s.pods.delete(name);
          else p.state = 'available';
      }
      const states = [...s.pods.values()].map((p) => `${p.revision} ${p.state}`);
      assert.deepEqual(
        states,
        Array.from({ length: s.target.replicas }, () => `${s.target.revision} available`),
      );
      assert.ok(
        nextStep(
          s.target,
          [...s.pods].map(([name, p]) => ({ name, ...p })),
          s.progress,
          s.now,
        ).complete,
      );
      if (s.target.revision > 1) rollouts++;
    }),
    { seed: 77, numRuns: 3_000 },
  );
  assert.ok(rollouts > 800, `${rollouts}`);
});

test('a template that runs nowhere stops at the progress deadline, and the old pods stay', () => {
  for (const rolling of [
    { surge: 1, unavailable: 0 },
    { surge: 0, unavailable: 1 },
    { surge: 2, unavailable: 2 },
  ]) {
    const s: Sim = {
      target: { replicas: 6, rolling, revision: 1, paused: false, progressDeadlineUs: 600 },
      pods: new Map(),
      progress: null,
      now: 0,
      next: 0,
      broken: [],
    };
    const round = (runs: (revision: number) => boolean): void => {
      look(s);
      for (const [name, p] of [...s.pods])
        if (p.state === 'leaving') s.pods.delete(name);
        else p.state = runs(p.revision) ? 'available' : 'starting';
      s.now += 30;
    };
    for (let k = 0; k < 20; k++) round(() => true);
    s.target = { ...s.target, revision: 2 };
    for (let k = 0; k < 60; k++) round((revision) => revision === 1);
    const old = [...s.pods.values()].filter((p) => p.revision === 1 && p.state === 'available').length;
    assert.equal(old, 6 - rolling.unavailable);
    const list = [...s.pods].map(([name, p]) => ({ name, ...p }));
    assert.ok(nextStep(s.target, list, s.progress, s.now).stalled);
    // An old pod that dies meanwhile is not taken for one that can go: it comes back.
    const lost = [...s.pods].find(([, p]) => p.revision === 1)![0];
    s.pods.get(lost)!.state = 'starting';
    look(s);
    assert.equal(s.pods.get(lost)!.state, 'starting');
    // Back to the template before: it is whole again.
    s.target = { ...s.target, revision: 1 };
    for (let k = 0; k < 20; k++) round((revision) => revision === 1);
    assert.deepEqual(
      [...s.pods.values()].map((p) => p.revision),
      [1, 1, 1, 1, 1, 1],
    );
    assert.deepEqual(s.broken, []);
  }
});
