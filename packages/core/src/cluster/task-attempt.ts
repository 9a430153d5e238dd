/** The states of a task attempt, and its key. */

/** How far an attempt is, as the leader knows it. */
export type AttemptState =
  /** Decided, not sent yet: waits until the job's machines are durably recorded. */
  | 'recording'
  /** The start command is on its way. */
  | 'sent'
  /** The start command got no answer: it may still be executed until the worker is fenced. */
  | 'unknown'
  | 'fetching'
  | 'waiting'
  | 'running'
  | 'saving';

/** Identifies a task across jobs. */
export const attemptKey = (job: string, index: number): string => `${job}/${index}`;

/** Key of a whole gang's checkpointed progress, where other jobs' progress is kept by task index. */
export const GANG_PROGRESS = -1;
