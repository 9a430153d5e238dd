/** Rollouts in generated histories: leader changes, late creations, failing pods and template changes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { nextStep, type Pod, type Progress, type Target } from '@shaleyoke/kubernetes/rollout';
import fc from 'fast-check';

type State = Pod['state'];
interface RolloutSimulation {
  target: Target;
  /** By name; a `creating` pod is only in the leader's memory, unless `put` says that it is stored. */
  pods: Map<string, { revision: number; state: State; put: boolean }>;
  progress: Progress | null;
  now: number;
  next: number;
  broken: string[];
}

const available = (s: RolloutSimulation): number =>
  [...s.pods.values()].filter((p) => p.state === 'available').length;
const maxPods = (t: Target): number => t.replicas + (t.rolling?.surge ?? 0);
const minAvailable = (t: Target): number => Math.max(0, t.replicas - (t.rolling?.unavailable ?? t.replicas));

/** One reconciliation by the leader, which executes the step. */
const reconcile = (simulation: RolloutSimulation): void => {
  const pods = [...simulation.pods].map(([name, p]): Pod => ({ name, revision: p.revision, state: p.state }));
  const step = nextStep(simulation.target, pods, simulation.progress, simulation.now);
  simulation.progress = step.progress;
  const before = simulation.pods.size;
  for (let created = 0; created < step.create; created++)
    simulation.pods.set(`p${String(simulation.next++).padStart(5, '0')}`, {
      revision: simulation.target.revision,
      state: 'creating',
      put: false,
    });
  if (step.create > 0 && simulation.pods.size > maxPods(simulation.target))
    simulation.broken.push(`${simulation.pods.size} pods of ${maxPods(simulation.target)}`);
  if (step.create > 0 && simulation.target.rolling === null)
    for (const pod of simulation.pods.values())
      if (pod.revision !== simulation.target.revision)
        simulation.broken.push('recreate: old and new at the same time');
  const were = available(simulation);
  for (const name of step.withdraw) {
    const pod = simulation.pods.get(name)!;
    if (pod.state === 'creating' || pod.state === 'leaving')
      simulation.broken.push(`withdrew one that is ${pod.state}`);
    pod.state = 'leaving';
  }
  const are = available(simulation);
  if (are < were && are < minAvailable(simulation.target))
    simulation.broken.push(`${are} available of ${minAvailable(simulation.target)}, were ${were}`);
  if (before === 0 && simulation.target.replicas === 0 && step.create > 0)
    simulation.broken.push('made pods of none');
};

const event = fc.oneof(
  { weight: 6, arbitrary: fc.constant({ kind: 'look' as const }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('settle' as const), which: fc.nat(50) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('run' as const), which: fc.nat(50) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('die' as const), which: fc.nat(50) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('go' as const), which: fc.nat(50) }) },
  // After a leader change each pending creation was either executed or never will be: writes are conditional on the
  // lease.
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

const pickPod = (
  simulation: RolloutSimulation,
  index: number,
  states: readonly State[],
): string | undefined => {
  const names = [...simulation.pods].filter(([, p]) => states.includes(p.state)).map(([name]) => name);
  return names[index % Math.max(1, names.length)];
};

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;
const applyEvent = (simulation: RolloutSimulation, event: Event): void => {
  switch (event.kind) {
    case 'look':
      reconcile(simulation);
      return;
    case 'settle': {
      const name = pickPod(simulation, event.which, ['creating']);
      if (name !== undefined) Object.assign(simulation.pods.get(name)!, { state: 'starting', put: true });
      return;
    }
    case 'run': {
      const name = pickPod(simulation, event.which, ['starting']);
      if (name !== undefined) simulation.pods.get(name)!.state = 'available';
      return;
    }
    case 'die': {
      const name = pickPod(simulation, event.which, ['available']);
      if (name !== undefined) simulation.pods.get(name)!.state = 'starting';
      return;
    }
    case 'go': {
      const name = pickPod(simulation, event.which, ['leaving']);
      if (name !== undefined) simulation.pods.delete(name);
      return;
    }
    case 'crash': {
      let bit = 0;
      for (const [name, pod] of [...simulation.pods])
        if (pod.state === 'creating') {
          if (((event.bits >> (bit++ % 8)) & 1) === 1) Object.assign(pod, { state: 'starting', put: true });
          else simulation.pods.delete(name);
        }
      return;
    }
    case 'template':
      simulation.target = {
        ...simulation.target,
        revision: Math.max(1, simulation.target.revision + (event.back === 0 ? -1 : 1)),
      };
      return;
    case 'scale':
      simulation.target = { ...simulation.target, replicas: event.replicas };
      return;
    case 'pause':
      simulation.target = { ...simulation.target, paused: event.paused };
      return;
    case 'wait':
      simulation.now += event.us;
  }
};

test('surge and unavailability limits always hold, and an undisturbed rollout reaches its target', () => {
  let rollouts = 0;
  fc.assert(
    fc.property(start, fc.array(event, { maxLength: 120 }), (first, events) => {
      const simulation: RolloutSimulation = {
        target: { ...first, revision: 1, paused: false, progressDeadlineUs: 1_000 },
        pods: new Map(),
        progress: null,
        now: 0,
        next: 0,
        broken: [],
      };
      for (const event of events) {
        applyEvent(simulation, event);
        assert.deepEqual(simulation.broken, []);
      }
      // Without further failures the target is reached within a bounded number of reconciliations.
      simulation.target = { ...simulation.target, paused: false };
      simulation.progress = null;
      for (let k = 0; k < 60; k++) {
        reconcile(simulation);
        assert.deepEqual(simulation.broken, []);
        for (const [name, pod] of [...simulation.pods])
          if (pod.state === 'leaving') simulation.pods.delete(name);
          else pod.state = 'available';
      }
      const states = [...simulation.pods.values()].map((p) => `${p.revision} ${p.state}`);
      assert.deepEqual(
        states,
        Array.from({ length: simulation.target.replicas }, () => `${simulation.target.revision} available`),
      );
      assert.ok(
        nextStep(
          simulation.target,
          [...simulation.pods].map(([name, p]) => ({ name, ...p })),
          simulation.progress,
          simulation.now,
        ).complete,
      );
      if (simulation.target.revision > 1) rollouts++;
    }),
    { seed: 77, numRuns: 3_000 },
  );
  assert.ok(rollouts > 800, `${rollouts}`);
});

test('a template whose pods never run stops at the progress deadline, and the old pods are kept', () => {
  for (const rolling of [
    { surge: 1, unavailable: 0 },
    { surge: 0, unavailable: 1 },
    { surge: 2, unavailable: 2 },
  ]) {
    const simulation: RolloutSimulation = {
      target: { replicas: 6, rolling, revision: 1, paused: false, progressDeadlineUs: 600 },
      pods: new Map(),
      progress: null,
      now: 0,
      next: 0,
      broken: [],
    };
    const round = (runs: (revision: number) => boolean): void => {
      reconcile(simulation);
      for (const [name, pod] of [...simulation.pods])
        if (pod.state === 'leaving') simulation.pods.delete(name);
        else pod.state = runs(pod.revision) ? 'available' : 'starting';
      simulation.now += 30;
    };
    for (let k = 0; k < 20; k++) round(() => true);
    simulation.target = { ...simulation.target, revision: 2 };
    for (let k = 0; k < 60; k++) round((revision) => revision === 1);
    const old = [...simulation.pods.values()].filter(
      (p) => p.revision === 1 && p.state === 'available',
    ).length;
    assert.equal(old, 6 - rolling.unavailable);
    const list = [...simulation.pods].map(([name, p]) => ({ name, ...p }));
    assert.ok(nextStep(simulation.target, list, simulation.progress, simulation.now).stalled);
    // An old pod that fails meanwhile is not withdrawn, but starts again.
    const lost = [...simulation.pods].find(([, p]) => p.revision === 1)![0];
    simulation.pods.get(lost)!.state = 'starting';
    reconcile(simulation);
    assert.equal(simulation.pods.get(lost)!.state, 'starting');
    // A rollback to the previous template restores all pods.
    simulation.target = { ...simulation.target, revision: 1 };
    for (let k = 0; k < 20; k++) round((revision) => revision === 1);
    assert.deepEqual(
      [...simulation.pods.values()].map((p) => p.revision),
      [1, 1, 1, 1, 1, 1],
    );
    assert.deepEqual(simulation.broken, []);
  }
});
