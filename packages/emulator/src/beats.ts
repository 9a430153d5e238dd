/** Beats for tests and the detector's table: of a process that is in time and served, with what is said differently. */
import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';

export const beatOf = (member: string, seq: number, more: Partial<PeerHeartbeat> = {}): PeerHeartbeat => ({
  kind: 'beat',
  member,
  incarnation: 1,
  sequence: seq,
  term: null,
  storeAnswerAgeUs: 0,
  timerDelayUs: 0,
  workerCount: 0,
  peers: [],
  ...more,
});
