/** What the leader puts on record of a Job, and what is to be done with it. Decides only. */
import type { Micros } from '@shaleyoke/core/domain/time';

import { newStatus, type ObjectRecord, type Status } from './records.js';

/** A job as the leader knows it. */
export type Seen =
  /** It has not ended: tasks that run, and that are done. */
  | { readonly kind: 'open'; readonly running: number; readonly done: number }
  | { readonly kind: 'done'; readonly done: number }
  | { readonly kind: 'withdrawn'; readonly done: number }
  /** Not heard of by this leader. */
  | { readonly kind: 'unknown' };

export const DEADLINE = 'DeadlineExceeded';
export const WITHDRAWN = 'Withdrawn';

export interface Times {
  readonly activeDeadlineUs: Micros | null;
  readonly ttlUs: Micros | null;
}

/** The status as it is now; the same object if nothing of it changed. `now`: time of day. */
export const statusNow = (before: Status, seen: Seen, times: Times, now: Micros): Status => {
  if (before.result !== null || seen.kind === 'unknown') return before;
  const after: Status = { ...before };
  if (seen.kind === 'open') {
    // Counts of what is done never go back, whatever a new leader has yet to hear of.
    const done = Math.max(before.done, seen.done);
    const began = before.began ?? (seen.running > 0 || seen.done > 0 ? now : null);
    const late = times.activeDeadlineUs !== null && began !== null && now >= began + times.activeDeadlineUs;
    Object.assign(after, { active: seen.running, done, began, why: late ? DEADLINE : before.why });
  } else {
    const complete = seen.kind === 'done';
    Object.assign(after, {
      ...newStatus(),
      done: Math.max(before.done, seen.done),
      began: before.began ?? now,
      ended: now,
      result: complete ? 'complete' : 'failed',
      why: complete ? '' : before.why === '' ? WITHDRAWN : before.why,
    });
  }
  const same = (Object.keys(after) as (keyof Status)[]).every((k) => after[k] === before[k]);
  return same ? before : after;
};

export type Duty =
  /** Its status is to be put on record. */
  | { readonly kind: 'record'; readonly status: Status; readonly final: boolean }
  /** Its deadline is over, and that is on record: its job is to be withdrawn. */
  | { readonly kind: 'withdraw' }
  /** Its time after its end is over. */
  | { readonly kind: 'expire' }
  /** Its deletion was begun and not finished. */
  | { readonly kind: 'finish' };

/** How long a node that marked an object has to go on with its deletion by itself. */
export const OWN_DELETION: Micros = 10_000_000;

/** The one next thing to be done with an object, or null. */
export const dutyOf = (record: ObjectRecord, seen: Seen, times: Times, now: Micros): Duty | null => {
  if (record.deleting !== null) return now > record.deleting + OWN_DELETION ? { kind: 'finish' } : null;
  const status = statusNow(record.status, seen, times, now);
  if (status !== record.status) return { kind: 'record', status, final: status.result !== null };
  if (status.result === null) return status.why === DEADLINE ? { kind: 'withdraw' } : null;
  const over = times.ttlUs !== null && status.ended !== null && now >= status.ended + times.ttlUs;
  return over ? { kind: 'expire' } : null;
};
