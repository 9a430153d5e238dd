/** Keys of the state service. A job's record moves once, from `j/` to `t/`, when it ends. */
export const LEAD = 'lead';
export const TERM = 'term';
export const TYPES = 'types';
export const JOBS = 'j/';
/** Pages of progress and places, and of machines. */
export const PLACES = 'q/';
export const ROSTER = 'r/';
/** Progress of a job too large for a page, a key each; earlier versions kept all progress so. */
export const PROGRESS = 'p/';
/** Machines as earlier versions recorded them, a key each: read, moved into pages, removed. */
export const MACHINES = 'h/';
export const TIMINGS = 'timings';
export const activeKey = (id: string): string => `j/${id}`;
export const endedKey = (id: string): string => `t/${id}`;
export const progressKey = (id: string, segment: number): string =>
  segment === 0 ? `p/${id}` : `p/${id}/${segment}`;
export const machineKey = (name: string): string => `h/${name}`;
