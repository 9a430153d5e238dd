/** Heartbeats between controllers, for tests of the failure detector and for its table of detection times. */
import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';

/** A heartbeat of a process without delays whose store requests are answered, with other fields as given. */
export const peerHeartbeatOf = (
  member: string,
  sequence: number,
  more: Partial<PeerHeartbeat> = {},
): PeerHeartbeat => ({
  kind: 'beat',
  member,
  incarnation: 1,
  sequence,
  term: null,
  storeAnswerAgeUs: 0,
  timerDelayUs: 0,
  workerCount: 0,
  peers: [],
  ...more,
});
