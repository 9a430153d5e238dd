/** Keys of the key-value store. When a job ends, its record moves from `j/` to `t/`. */

/** Key of the current leader's record, attached to the leader's lease. */
export const LEADER_KEY = 'lead';
/** Key of the record of the newest term. */
export const TERM_KEY = 'term';
/** Key of the machine types that the cloud offers. */
export const MACHINE_TYPES_KEY = 'types';
/** Prefix of the records of jobs that have not ended. */
export const ACTIVE_JOBS_PREFIX = 'j/';
/** Prefix of the records of jobs that have ended. */
const ENDED_JOBS_PREFIX = 't/';
/** Prefix of the pages that contain job progress and the machines that hold the jobs' tasks. */
export const PROGRESS_PAGES_PREFIX = 'q/';
/** Prefix of the pages that contain machine records. */
export const MACHINE_PAGES_PREFIX = 'r/';
/** Prefix of the separate keys for progress too large for a page; earlier versions stored the progress of all jobs here. */
export const LARGE_PROGRESS_PREFIX = 'p/';
/** Prefix of machine records of earlier versions, one key per machine; they are read, moved into pages and removed. */
export const LEGACY_MACHINES_PREFIX = 'h/';
/** Key of the summary of measured run times, from which runtime estimates are restored. */
export const RUNTIME_SUMMARY_KEY = 'timings';

/** Offset of the numbers in part keys: the previous version takes them for segments beyond the tasks of any job. */
const PART_NUMBER_OFFSET = 1_000_000;

/** Returns the key of the record of a job that has not ended. */
export const activeJobKey = (id: string): string => `${ACTIVE_JOBS_PREFIX}${id}`;

/** Returns the id of the job from the key of an active job. */
export const jobIdOfActiveKey = (key: string): string => key.slice(ACTIVE_JOBS_PREFIX.length);

/** Returns the key of the record of a job that has ended. */
export const endedJobKey = (id: string): string => `${ENDED_JOBS_PREFIX}${id}`;

/** Returns the key of a part of a large job's progress. Part 0 has the key that earlier versions used for the whole progress. */
export const progressKey = (id: string, part: number): string =>
  part === 0 ? `${LARGE_PROGRESS_PREFIX}${id}` : `${LARGE_PROGRESS_PREFIX}${id}/${PART_NUMBER_OFFSET + part}`;

/** Returns the part number from the number in a key; null for a segment that was written by the previous version. */
export const partNumberOfKeyNumber = (keyNumber: number): number | null => {
  if (keyNumber === 0) return 0;
  return keyNumber > PART_NUMBER_OFFSET ? keyNumber - PART_NUMBER_OFFSET : null;
};

/** Returns the key under which earlier versions recorded a machine. */
export const legacyMachineKey = (name: string): string => `${LEGACY_MACHINES_PREFIX}${name}`;
