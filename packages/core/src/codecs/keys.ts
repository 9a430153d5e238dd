/** Keys of the state service. A job's record moves once, from `j/` to `t/`, when it ends. */
export const LEAD = 'lead';
export const TERM = 'term';
export const TYPES = 'types';
export const JOBS = 'j/';
/** Pages of progress and places, and of machines. */
export const PLACES = 'q/';
export const ROSTER = 'r/';
/** Progress of jobs too large for a page, in keys of their own; earlier versions kept all progress so. */
export const PROGRESS = 'p/';
/** Machines as earlier versions recorded them, a key each: read, moved into pages, removed. */
export const MACHINES = 'h/';
export const TIMINGS = 'timings';
export const activeKey = (id: string): string => `j/${id}`;
export const idOfActive = (key: string): string => key.slice(JOBS.length);
export const endedKey = (id: string): string => `t/${id}`;
/** Further keys of a large job's progress are numbered from here: the version before finds no task at such a place. */
const PARTS_FROM = 1_000_000;
export const progressKey = (id: string, part: number): string =>
  part === 0 ? `p/${id}` : `p/${id}/${PARTS_FROM + part}`;
/** The part that a key's number names; null for a segment as the version before wrote them. */
export const partOf = (number: number): number | null =>
  number === 0 ? 0 : number > PARTS_FROM ? number - PARTS_FROM : null;
export const machineKey = (name: string): string => `h/${name}`;
