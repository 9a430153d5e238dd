/**
 * Failure detector for the other controllers: which of them are alive or suspected, and which reach the state service. A
 * state machine driven by heartbeats and time. A suspicion may be wrong, so no irreversible action depends on it
 * (docs/membership.md).
 */
import type { PeerHeartbeat, PeerStatus } from '../domain/peer.js';
import type { MembershipSettings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';

/** Number of recent intervals between heartbeats kept for each peer. */
const MAX_ARRIVAL_INTERVALS = 20;
/** Minimum number of intervals for an estimate of the variation between them. */
const MIN_ARRIVAL_INTERVALS = 3;
/** Standard deviations above the mean interval after which a heartbeat counts as overdue. */
const SUSPICION_STANDARD_DEVIATIONS = 6;
/**
 * Number of heartbeats of an older incarnation, arriving an interval apart, that show that it is the current process and
 * that its clock was behind.
 */
const STALE_HEARTBEATS_TO_ACCEPT = 3;
/** Upper bound of the factors by which irregular heartbeats and this node's own delay each extend the timeout. */
const MAX_TIMEOUT_FACTOR = 4;

/** A peer's state as far as this node knows; `unknown`: no heartbeat was received from it yet. */
export type PeerState = 'unknown' | 'alive' | 'suspected';

/** Heartbeats of an incarnation older than the newest known one. */
interface StaleHeartbeats {
  readonly incarnation: number;
  /** When the last counted one was received. */
  readonly receivedAt: Micros;
  readonly count: number;
}

/** The state that this node keeps of a peer. */
export interface Peer {
  /** Member name from the settings. */
  readonly name: string;
  /** The failure detector's current verdict. */
  state: PeerState;
  /** Number of the peer's process; higher after a restart, unless the clock was set back. */
  incarnation: number;
  /** When its newest heartbeat was received, by this node's monotonic clock. */
  lastReceivedAt: Micros;
  /** Its newest heartbeat; null if none was received. */
  lastHeartbeat: PeerHeartbeat | null;
  /** When the state service last answered it successfully, according to its report; null if never or not reported. */
  storeAnsweredAt: Micros | null;
  /** The latest intervals between its heartbeats. */
  readonly arrivalIntervals: Micros[];
  /** Heartbeats of an older incarnation: delayed ones, or those of a newer process whose clock is behind. */
  staleHeartbeats: StaleHeartbeats | null;
}

/** A change of a peer's state. */
export type PeerChange =
  | {
      readonly kind: 'suspected';
      readonly member: string;
      readonly sinceHeartbeatUs: Micros;
      readonly timeoutUs: Micros;
    }
  /** `sinceHeartbeatUs`: time since the previous heartbeat; null for the first one. */
  | { readonly kind: 'alive'; readonly member: string; readonly sinceHeartbeatUs: Micros | null }
  | { readonly kind: 'restarted'; readonly member: string; readonly incarnation: number };

/** Suspects peers whose heartbeats are overdue, and keeps the newest heartbeat of each. */
export class PeerFailureDetector {
  /** State of all peers, by member name. */
  readonly peers = new Map<string, Peer>();
  private lastSequence = 0;

  constructor(
    private readonly settings: MembershipSettings,
    members: readonly string[],
    private readonly now: () => Micros,
  ) {
    for (const name of members)
      this.peers.set(name, {
        name,
        state: 'unknown',
        incarnation: 0,
        lastReceivedAt: 0,
        lastHeartbeat: null,
        storeAnsweredAt: null,
        arrivalIntervals: [],
        staleHeartbeats: null,
      });
  }

  /** Processes a heartbeat. Returns the change of state; null if nothing changes, or the member is unknown. */
  receive(heartbeat: PeerHeartbeat): PeerChange | null {
    const peer = this.peers.get(heartbeat.member);
    if (peer === undefined) return null;
    const now = this.now();
    if (this.isOutdated(peer, heartbeat, now)) return null;
    const isFirst = peer.lastHeartbeat === null;
    const restarted = !isFirst && heartbeat.incarnation !== peer.incarnation;
    const previousState = peer.state;
    const sinceHeartbeatUs = now - peer.lastReceivedAt;
    if (restarted) peer.arrivalIntervals.length = 0;
    // An interval that includes a suspicion is not recorded: it does not reflect the usual variation.
    else if (previousState === 'alive') this.recordArrivalInterval(peer, sinceHeartbeatUs);
    this.update(peer, heartbeat, now);
    const { name: member } = peer;
    if (restarted) return { kind: 'restarted', member, incarnation: heartbeat.incarnation };
    return previousState === 'alive'
      ? null
      : { kind: 'alive', member, sinceHeartbeatUs: isFirst ? null : sinceHeartbeatUs };
  }

  /** Whether a heartbeat was delayed in transit, or comes from a process that has been replaced. */
  private isOutdated(peer: Peer, { incarnation, sequence }: PeerHeartbeat, now: Micros): boolean {
    if (incarnation < peer.incarnation && !this.acceptsOlderProcess(peer, incarnation, now)) return true;
    const { lastHeartbeat } = peer;
    return incarnation === peer.incarnation && lastHeartbeat !== null && sequence <= lastHeartbeat.sequence;
  }

  private recordArrivalInterval(peer: Peer, interval: Micros): void {
    peer.arrivalIntervals.push(interval);
    if (peer.arrivalIntervals.length > MAX_ARRIVAL_INTERVALS) peer.arrivalIntervals.shift();
  }

  private update(peer: Peer, heartbeat: PeerHeartbeat, now: Micros): void {
    const { incarnation, storeAnswerAgeUs } = heartbeat;
    peer.staleHeartbeats = null;
    peer.incarnation = incarnation;
    peer.lastReceivedAt = now;
    peer.lastHeartbeat = heartbeat;
    peer.storeAnsweredAt = storeAnswerAgeUs === null ? null : now - storeAnswerAgeUs;
    peer.state = 'alive';
  }

  /**
   * Whether an older incarnation is the current process after all. Delayed heartbeats arrive in a burst. If heartbeats of
   * an older incarnation keep arriving at intervals while the newer one is suspected, the process has restarted with a
   * clock behind that of its predecessor. Rejecting its heartbeats forever would be worse than accepting a wrong one.
   */
  private acceptsOlderProcess(peer: Peer, incarnation: number, now: Micros): boolean {
    const stale = peer.staleHeartbeats;
    if (peer.state !== 'suspected' || stale?.incarnation !== incarnation) {
      peer.staleHeartbeats = { incarnation, receivedAt: now, count: 1 };
      return false;
    }
    if (now - stale.receivedAt < this.settings.heartbeatIntervalUs / 2)
      return stale.count >= STALE_HEARTBEATS_TO_ACCEPT;
    const count = stale.count + 1;
    peer.staleHeartbeats = { incarnation, receivedAt: now, count };
    return count >= STALE_HEARTBEATS_TO_ACCEPT;
  }

  /**
   * Suspects the peers that have been silent for too long, given the variation of their intervals, and returns them.
   * `timerDelayUs`: how late this node's own timers fire. A node that is delayed or was frozen suspects others later.
   */
  suspectOverduePeers(timerDelayUs: Micros): PeerChange[] {
    const now = this.now();
    const changes: PeerChange[] = [];
    for (const peer of this.peers.values()) {
      if (peer.state !== 'alive') continue;
      const timeoutUs = this.timeoutOf(peer, timerDelayUs);
      const sinceHeartbeatUs = now - peer.lastReceivedAt;
      if (sinceHeartbeatUs <= timeoutUs) continue;
      peer.state = 'suspected';
      changes.push({ kind: 'suspected', member: peer.name, sinceHeartbeatUs, timeoutUs });
    }
    return changes;
  }

  private timeoutOf(peer: Peer, timerDelayUs: Micros): Micros {
    const { heartbeatIntervalUs, suspectAfterMissed } = this.settings;
    const minimum = heartbeatIntervalUs * suspectAfterMissed;
    const limit = Math.min(Math.max(minimum, this.overdueThresholdOf(peer)), minimum * MAX_TIMEOUT_FACTOR);
    const ownDelayFactor = Math.min(MAX_TIMEOUT_FACTOR, 1 + timerDelayUs / heartbeatIntervalUs);
    return Math.round(limit * ownDelayFactor);
  }

  /** The interval above which a heartbeat of this peer counts as overdue; 0 if too few intervals are known. */
  private overdueThresholdOf({ arrivalIntervals }: Peer): Micros {
    if (arrivalIntervals.length < MIN_ARRIVAL_INTERVALS) return 0;
    const mean = arrivalIntervals.reduce((sum, interval) => sum + interval, 0) / arrivalIntervals.length;
    const variance =
      arrivalIntervals.reduce((sum, interval) => sum + (interval - mean) ** 2, 0) / arrivalIntervals.length;
    return Math.round(mean + SUSPICION_STANDARD_DEVIATIONS * Math.sqrt(variance));
  }

  /**
   * Returns a live peer to which, by its report, the state service has answered successfully after that time; null if
   * none.
   */
  peerWithStoreAnswerAfter(after: Micros): string | null {
    for (const peer of this.peers.values()) {
      const { storeAnsweredAt } = peer;
      if (peer.state === 'alive' && storeAnsweredAt !== null && storeAnsweredAt > after) return peer.name;
    }
    return null;
  }

  /** Returns the state of a member; `unknown` also if it is not a peer. */
  stateOf(member: string): PeerState {
    return this.peers.get(member)?.state ?? 'unknown';
  }

  /** Composes this node's next heartbeat from its own status and the state of its peers. */
  composeHeartbeat(own: PeerStatus): PeerHeartbeat {
    const now = this.now();
    return {
      ...own,
      kind: 'beat',
      sequence: ++this.lastSequence,
      peers: [...this.peers.values()]
        .filter((peer) => peer.lastHeartbeat !== null)
        .map((peer) => ({
          member: peer.name,
          incarnation: peer.incarnation,
          ageUs: now - peer.lastReceivedAt,
          suspected: peer.state === 'suspected',
        })),
    };
  }
}
