/** Beats for tests and the detector's table: of a process that is in time and served, with what is said differently. */
import type { Beat } from '@shaleyoke/core/domain/peer';

export const beatOf = (member: string, seq: number, more: Partial<Beat> = {}): Beat => ({
  kind: 'beat',
  member,
  incarnation: 1,
  seq,
  term: null,
  stateAgeUs: 0,
  lateUs: 0,
  workers: 0,
  others: [],
  ...more,
});
