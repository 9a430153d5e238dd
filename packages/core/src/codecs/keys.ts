/** Keys of the key-value store. A job's record moves once, from `j/` to `t/`, when it ends. */

/** The leader's key: who leads, written under the leader's lease. */
export const LEADER_KEY = 'lead';
/** The record of the newest term. */
export const TERM_KEY = 'term';
/** The machine types that the cloud offers. */
export const MACHINE_TYPES_KEY = 'types';
/** Prefix of the records of jobs that have not ended. */
export const ACTIVE_JOBS_PREFIX = 'j/';
/** Prefix of the records of jobs that have ended. */
const ENDED_JOBS = 't/';
/** Prefix of pages of jobs' progress and of the machines that hold their tasks. */
export const PROGRESS_PAGES_PREFIX = 'q/';
/** Prefix of pages of machines. */
export const MACHINE_PAGES_PREFIX = 'r/';
/** Prefix of the progress of jobs too large for a page, in keys of their own; earlier versions kept all progress so. */
export const LARGE_PROGRESS_PREFIX = 'p/';
/** Prefix of machines as earlier versions recorded them, a key for each: read, moved into pages, removed. */
export const FORMER_MACHINES_PREFIX = 'h/';
/** The summary of run times. */
export const RUNTIME_SUMMARY_KEY = 'timings';

/** Further keys of a large job's progress are numbered from here: the version before finds no task at such a place. */
const FIRST_PART_NUMBER = 1_000_000;

/** The key of a job that has not ended. */
export const activeJobKey = (id: string): string => `${ACTIVE_JOBS_PREFIX}${id}`;

/** The job that a key of an active job names. */
export const jobIdOfActiveKey = (key: string): string => key.slice(ACTIVE_JOBS_PREFIX.length);

/** The key of a job that has ended. */
export const endedJobKey = (id: string): string => `${ENDED_JOBS}${id}`;

/** The key of a part of a large job's progress; parts count from 0. */
export const progressKey = (id: string, part: number): string =>
  part === 0 ? `${LARGE_PROGRESS_PREFIX}${id}` : `${LARGE_PROGRESS_PREFIX}${id}/${FIRST_PART_NUMBER + part}`;

/** The part that a key's number names; null for a segment as the version before wrote them. */
export const partOfKeyNumber = (keyNumber: number): number | null => {
  if (keyNumber === 0) return 0;
  return keyNumber > FIRST_PART_NUMBER ? keyNumber - FIRST_PART_NUMBER : null;
};

/** The key under which an earlier version recorded a machine. */
export const formerMachineKey = (name: string): string => `${FORMER_MACHINES_PREFIX}${name}`;
