/** The job order by service-level objectives, and the latest start that still meets an objective. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import {
  latestStart,
  mergeOrders,
  type ObjectiveCandidate,
  orderByObjectives,
} from '@shaleyoke/core/cluster/objectives';
import { SECOND } from '@shaleyoke/core/domain/time';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

test('the Moore-Hodgson rule keeps the number of missed objectives low', () => {
  const job = (id: string, tasks: number): ActiveJob =>
    new ActiveJob(makeJobSpec(id, { tasks }), 1, Number(id.slice(4)), 0);
  const candidateOf = (candidate: ActiveJob, start: number | null): ObjectiveCandidate => ({
    job: candidate,
    latestStart: start,
    amount: candidate.spec.tasks,
  });
  const large = job('run-1', 8);
  const small = job('run-2', 1);
  const later = job('run-3', 1);
  const unattainable = job('run-4', 1);
  const candidates = [
    candidateOf(large, 5),
    candidateOf(small, 6),
    candidateOf(later, 7),
    candidateOf(unattainable, null),
  ];
  const order = mergeOrders([orderByObjectives(candidates, 2, 0.1)]);
  assert.deepEqual(
    order.map((entry) => entry.id),
    ['run-2', 'run-3', 'run-1', 'run-4'],
  );
  const objectives = [
    { kind: 'wait', class: 'c', withinUs: 15 * SECOND, share: 0.9, deadlineFactor: 1 },
    { kind: 'finished', class: 'c', withinUs: 100 * SECOND, share: 0.9, deadlineFactor: 1 },
  ];
  assert.equal(latestStart(small, objectives, small.acceptedAt, 10 * SECOND, 0), 15 * SECOND);
  assert.equal(latestStart(small, objectives, small.acceptedAt + 20 * SECOND, 10 * SECOND, 0), 70 * SECOND);
  assert.equal(latestStart(small, objectives, small.acceptedAt + 95 * SECOND, 10 * SECOND, 0), null);
});
