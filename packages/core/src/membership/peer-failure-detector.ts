/**
 * What a node knows of the other controllers: which are alive, which are suspected, and what each of them reaches. A state
 * machine of heartbeats and time. Suspicion is no proof: nothing that can't be undone depends on it (docs/membership.md).
 */
import type { PeerHeartbeat, PeerStatus } from '../domain/peer.js';
import type { MembershipSettings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';

/** How many gaps between heartbeats are remembered of each peer. */
const MAX_GAPS = 20;
/** With fewer gaps than that nothing is concluded from how evenly heartbeats arrive. */
const MIN_GAPS = 3;
/** A peer is suspected if its heartbeat is overdue by so many standard deviations beyond the mean gap. */
const SUSPICION_DEVIATIONS = 6;
/** So many heartbeats of an older process, one interval apart, show that it is alive and that its clock was behind. */
const STALE_HEARTBEATS_TO_ACCEPT = 3;
/** However late this node itself is, it waits no longer than so many times the usual limit. */
const MAX_PATIENCE = 4;

/** Whether a peer is alive, as far as this node knows; `unknown`: no heartbeat of it has been received. */
export type PeerState = 'unknown' | 'alive' | 'suspected';

/** Heartbeats of an older process than the newest that is known. */
interface StaleHeartbeats {
  readonly incarnation: number;
  /** When the last that counts was received. */
  readonly receivedAt: Micros;
  readonly count: number;
}

/** What is known of a peer. */
export interface Peer {
  /** Its member name. */
  readonly name: string;
  /** Whether it is alive. */
  state: PeerState;
  /** Number of its process: a restarted one has a higher one. */
  incarnation: number;
  /** When its newest heartbeat was received, by this node's clock. */
  lastReceivedAt: Micros;
  /** Its newest heartbeat. */
  lastHeartbeat: PeerHeartbeat | null;
  /** When the state service last gave it a good answer, as it reports; null: never, or not reported. */
  storeAnsweredAt: Micros | null;
  /** The latest gaps between its heartbeats. */
  readonly gaps: Micros[];
  /** Heartbeats of an older process, as they arrive: delayed ones, or those of a newer process whose clock is behind. */
  staleHeartbeats: StaleHeartbeats | null;
}

/** A change of what is known of a peer. */
export type PeerChange =
  | {
      readonly kind: 'suspected';
      readonly member: string;
      readonly silentUs: Micros;
      readonly limitUs: Micros;
    }
  /** `silentUs`: time since the heartbeat before; null for the first one. */
  | { readonly kind: 'alive'; readonly member: string; readonly silentUs: Micros | null }
  | { readonly kind: 'restarted'; readonly member: string; readonly incarnation: number };

/** Suspects peers whose heartbeats stay away, and keeps what the newest heartbeat of each reports. */
export class PeerFailureDetector {
  /** All peers, by member name. */
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
        gaps: [],
        staleHeartbeats: null,
      });
  }

  /** Takes a heartbeat. Returns what it changes; null if it brings nothing new, or comes from an unknown member. */
  receive(heartbeat: PeerHeartbeat): PeerChange | null {
    const peer = this.peers.get(heartbeat.member);
    if (peer === undefined) return null;
    const now = this.now();
    if (this.isOutdated(peer, heartbeat, now)) return null;
    const isFirst = peer.lastHeartbeat === null;
    const restarted = !isFirst && heartbeat.incarnation !== peer.incarnation;
    const previousState = peer.state;
    const silentUs = now - peer.lastReceivedAt;
    if (restarted) peer.gaps.length = 0;
    // The time for which a peer was suspected is no measure of how evenly its heartbeats arrive.
    else if (previousState === 'alive') this.recordGap(peer, silentUs);
    this.update(peer, heartbeat, now);
    const { name: member } = peer;
    if (restarted) return { kind: 'restarted', member, incarnation: heartbeat.incarnation };
    return previousState === 'alive' ? null : { kind: 'alive', member, silentUs: isFirst ? null : silentUs };
  }

  /** Whether a heartbeat was delayed on its way, or is of a process that another one has replaced. */
  private isOutdated(peer: Peer, { incarnation, sequence }: PeerHeartbeat, now: Micros): boolean {
    if (incarnation < peer.incarnation && !this.acceptsOlderProcess(peer, incarnation, now)) return true;
    const { lastHeartbeat } = peer;
    return incarnation === peer.incarnation && lastHeartbeat !== null && sequence <= lastHeartbeat.sequence;
  }

  private recordGap(peer: Peer, gap: Micros): void {
    peer.gaps.push(gap);
    if (peer.gaps.length > MAX_GAPS) peer.gaps.shift();
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
   * Whether an older incarnation is the present process after all. Delayed heartbeats arrive all at once. An older
   * incarnation whose heartbeats go on arriving one by one, while the newer one is suspected, is a process whose clock is
   * behind that of the one before: never to accept it would be worse.
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
   * Suspects the peers that have been silent for too long, given how evenly their heartbeats arrived, and returns them.
   * `lateUs`: how late this node's own timers fire: a node that is late itself, or was frozen, suspects others later.
   */
  suspectSilentPeers(lateUs: Micros): PeerChange[] {
    const now = this.now();
    const changes: PeerChange[] = [];
    for (const peer of this.peers.values()) {
      if (peer.state !== 'alive') continue;
      const limitUs = this.silenceLimitOf(peer, lateUs);
      const silentUs = now - peer.lastReceivedAt;
      if (silentUs <= limitUs) continue;
      peer.state = 'suspected';
      changes.push({ kind: 'suspected', member: peer.name, silentUs, limitUs });
    }
    return changes;
  }

  private silenceLimitOf(peer: Peer, lateUs: Micros): Micros {
    const { heartbeatIntervalUs, suspectAfterMissed } = this.settings;
    const minimum = heartbeatIntervalUs * suspectAfterMissed;
    const limit = Math.min(Math.max(minimum, this.overdueGapOf(peer)), minimum * MAX_PATIENCE);
    const patience = Math.min(MAX_PATIENCE, 1 + lateUs / heartbeatIntervalUs);
    return Math.round(limit * patience);
  }

  /** The gap beyond which a heartbeat is overdue by the peer's own measure; 0 if too few gaps are known. */
  private overdueGapOf({ gaps }: Peer): Micros {
    if (gaps.length < MIN_GAPS) return 0;
    const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    const variance = gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / gaps.length;
    return Math.round(mean + SUSPICION_DEVIATIONS * Math.sqrt(variance));
  }

  /** A live peer that reports a good answer of the state service after that moment; null if none does. */
  peerWithStoreAnswerAfter(after: Micros): string | null {
    for (const peer of this.peers.values()) {
      const { storeAnsweredAt } = peer;
      if (peer.state === 'alive' && storeAnsweredAt !== null && storeAnsweredAt > after) return peer.name;
    }
    return null;
  }

  /** The state of a member; `unknown` also for one that is no peer. */
  stateOf(member: string): PeerState {
    return this.peers.get(member)?.state ?? 'unknown';
  }

  /** The next heartbeat of this node, with what it knows of its peers. */
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
