/** Which running attempts are preempted for waiting jobs, and on which machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { SECOND } from '@shaleyoke/core/domain/time';
import { PreemptionCandidates } from '@shaleyoke/core/scheduling/preemption-candidates';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { runTask, typeOf } from './cluster-fixtures.js';

test('one plan frees capacity for several gangs, each on machines of its own', () => {
  // In a large cluster, the largest gangs, for which no capacity could be freed, used up all attempts of every plan.
  const type = typeOf('cpu', { cores: 4 });
  const types = new Map([['cpu', type]]);
  const running = new ActiveJob(
    makeJobSpec('run-8', { tasks: 99, cores: 2, priority: 0, checkpointIntervalUs: SECOND }),
    1,
    0,
    0,
  );
  const machines = Array.from({ length: 5 }, (_, i) => {
    const machine = new Machine(`m${i}`, 'a:1', 'cpu', i < 4 ? 'a' : 'b', false, 0);
    machine.up = true;
    machine.recorded = 'yes';
    // The tasks on the last machine have just started.
    const runningAt = i === 4 ? 99 * SECOND : 0;
    for (const task of [0, 1]) runTask(running, i * 2 + task, machine, { runningAt });
    return machine;
  });
  const gang = (id: string, tasks: number): ActiveJob =>
    new ActiveJob(makeJobSpec(id, { shape: 'gang', tasks, cores: 3, sameZone: true }), 1, 0, 0);
  const policy = { teams: [], usage: new Map(), isGuaranteed: () => false };
  const candidates = new PreemptionCandidates(
    machines,
    types,
    policy,
    (attempt) => 100 * SECOND - attempt.runningAt! >= 35 * SECOND,
  );
  assert.equal(candidates.take(gang('run-1', 9), 9), null);
  const first = candidates.take(gang('run-2', 2), 2)!;
  const second = candidates.take(gang('run-3', 2), 2)!;
  assert.equal(first.victims.length, 4);
  assert.equal(new Set([...first.machines, ...second.machines]).size, 4);
  assert.equal(candidates.take(gang('run-4', 1), 1), null, 'the other tasks have not run for long enough');
});
