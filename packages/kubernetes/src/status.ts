/** Decides a Job's stored status and the leader's next action for it. Pure functions. */
import type { Micros } from '@shaleyoke/core/domain/time';

import { newStatus, type ObjectRecord, type Status } from './records.js';

/** A scheduler job as the leader observes it. */
export type ObservedJob =
  /** Not ended; with the numbers of running and completed tasks. */
  | { readonly kind: 'open'; readonly running: number; readonly done: number }
  | { readonly kind: 'done'; readonly done: number }
  | { readonly kind: 'withdrawn'; readonly done: number }
  /** This leader has no information yet. */
  | { readonly kind: 'unknown' };

/** Failure reason of a Job that ran into `activeDeadlineSeconds`. */
export const DEADLINE_EXCEEDED = 'DeadlineExceeded';
/** Failure reason of a Job that was cancelled otherwise. */
export const WITHDRAWN = 'Withdrawn';

/** Time limits from the manifest; null where none is set. */
export interface TimeLimits {
  readonly activeDeadlineUs: Micros | null;
  readonly ttlUs: Micros | null;
}

/** The status for an observation; returns `before` itself if nothing changed. `now` is wall-clock time. */
export const updatedStatus = (
  before: Status,
  observed: ObservedJob,
  limits: TimeLimits,
  now: Micros,
): Status => {
  if (before.result !== null || observed.kind === 'unknown') return before;
  const after: Status = { ...before };
  if (observed.kind === 'open') {
    // The completed count never decreases, although a new leader may not know of all completed tasks yet.
    const done = Math.max(before.done, observed.done);
    const began = before.began ?? (observed.running > 0 || observed.done > 0 ? now : null);
    const pastDeadline =
      limits.activeDeadlineUs !== null && began !== null && now >= began + limits.activeDeadlineUs;
    Object.assign(after, {
      active: observed.running,
      done,
      began,
      why: pastDeadline ? DEADLINE_EXCEEDED : before.why,
    });
  } else {
    const complete = observed.kind === 'done';
    Object.assign(after, {
      ...newStatus(),
      done: Math.max(before.done, observed.done),
      began: before.began ?? now,
      ended: now,
      result: complete ? 'complete' : 'failed',
      why: complete ? '' : before.why === '' ? WITHDRAWN : before.why,
    });
  }
  const unchanged = (Object.keys(after) as (keyof Status)[]).every((k) => after[k] === before[k]);
  return unchanged ? before : after;
};

/** What the leader has to do for an object. */
export type Action =
  /** Store the changed status. */
  | { readonly kind: 'record'; readonly status: Status; readonly final: boolean }
  /** Cancel the job: its deadline has passed, and the stored status says so. */
  | { readonly kind: 'withdraw' }
  /** Delete the object: `ttlSecondsAfterFinished` has passed. */
  | { readonly kind: 'expire' }
  /** Complete a deletion that was started and not finished. */
  | { readonly kind: 'finish' };

/** How long the leader leaves a deletion to the node that marked the object. */
export const DELETION_TAKEOVER_DELAY: Micros = 10_000_000;

/** The next action for an object; null if there is none. */
export const nextAction = (
  record: ObjectRecord,
  observed: ObservedJob,
  limits: TimeLimits,
  now: Micros,
): Action | null => {
  if (record.deleting !== null)
    return now > record.deleting + DELETION_TAKEOVER_DELAY ? { kind: 'finish' } : null;
  const status = updatedStatus(record.status, observed, limits, now);
  if (status !== record.status) return { kind: 'record', status, final: status.result !== null };
  if (status.result === null) return status.why === DEADLINE_EXCEEDED ? { kind: 'withdraw' } : null;
  const expired = limits.ttlUs !== null && status.ended !== null && now >= status.ended + limits.ttlUs;
  return expired ? { kind: 'expire' } : null;
};
