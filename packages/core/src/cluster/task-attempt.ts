/** States and keys of task attempts. */

/** State of an attempt as known to the leader. */
export type AttemptState =
  /** Decided but not sent: waits until the job's machines are durably recorded. */
  | 'recording'
  /** The start command was sent, but not answered yet. */
  | 'sent'
  /** The start command was not answered, and may still be executed until the worker is fenced. */
  | 'unknown'
  | 'fetching'
  | 'waiting'
  | 'running'
  | 'saving';

/** Key of a task that is unique across jobs: job id and task index. */
export const attemptKey = (job: string, index: number): string => `${job}/${index}`;

/** Key of the checkpointed progress of a whole gang; for other jobs, progress is kept by task index. */
export const GANG_PROGRESS_KEY = -1;
