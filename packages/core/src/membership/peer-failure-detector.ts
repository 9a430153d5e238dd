/**
 * What a node knows of the other controllers: who is heard, who is suspected, and what each of them reaches. A state
 * machine of beats and time. Suspicion is no proof: nothing rests on it that can't be undone (docs/membership.md).
 */
import type { PeerHeartbeat, PeerStatus } from '../domain/peer.js';
import type { MembershipSettings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';

/** Gaps between beats that are remembered of each peer. */
const GAPS = 20;
/** So many standard deviations beyond the mean gap are silence. */
const WIDTH = 6;
/** So many beats of an older process, a beat apart each, show that it is there, and that its clock was behind. */
const STRAYS = 3;
/** However late this node itself is, it waits no longer than so many times as long. */
const MOST_PATIENCE = 4;

export type PeerState = 'unknown' | 'alive' | 'suspected';

export interface Peer {
  readonly name: string;
  level: PeerState;
  /** Number of its process: a restarted one has a higher one. */
  incarnation: number;
  /** When a beat of it came last, here. */
  heardAt: Micros;
  /** Its newest beat. */
  beat: PeerHeartbeat | null;
  /** When the state service last gave it a good answer, by its own word; null: never, or no word. */
  stateGoodAt: Micros | null;
  readonly gaps: number[];
  /** Beats of an older process, as they come: held back, or of a newer one whose clock is behind. */
  stray: { incarnation: number; at: Micros; count: number } | null;
}

export type PeerChange =
  | { readonly kind: 'suspected'; readonly member: string; readonly silent: Micros; readonly limit: Micros }
  | { readonly kind: 'heard'; readonly member: string; readonly after: Micros | null }
  | { readonly kind: 'restarted'; readonly member: string; readonly incarnation: number };

export class PeerFailureDetector {
  readonly all = new Map<string, Peer>();
  private seq = 0;

  constructor(
    private readonly settings: MembershipSettings,
    peers: readonly string[],
    private readonly now: () => Micros,
  ) {
    for (const name of peers)
      this.all.set(name, {
        name,
        level: 'unknown',
        incarnation: 0,
        heardAt: 0,
        beat: null,
        stateGoodAt: null,
        gaps: [],
        stray: null,
      });
  }

  /** A beat came. What it changes, for the log; null for one that tells nothing new, or comes from nobody we know. */
  receive(b: PeerHeartbeat): PeerChange | null {
    const m = this.all.get(b.member);
    if (m === undefined) return null;
    const now = this.now();
    const last = m.beat;
    // Held back on its way, or of a process that another one has replaced.
    if (b.incarnation < m.incarnation && !this.staysOlder(m, b.incarnation, now)) return null;
    if (b.incarnation === m.incarnation && last !== null && b.sequence <= last.sequence) return null;
    m.stray = null;
    const restarted = last !== null && b.incarnation !== m.incarnation;
    const was = m.level;
    const silent = now - m.heardAt;
    // What was silence is no measure of how evenly beats come.
    if (was === 'alive' && !restarted) {
      m.gaps.push(silent);
      if (m.gaps.length > GAPS) m.gaps.shift();
    }
    if (restarted) m.gaps.length = 0;
    m.incarnation = b.incarnation;
    m.heardAt = now;
    m.beat = b;
    m.stateGoodAt = b.storeAnswerAgeUs === null ? null : now - b.storeAnswerAgeUs;
    m.level = 'alive';
    if (restarted) return { kind: 'restarted', member: m.name, incarnation: b.incarnation };
    return was === 'alive' ? null : { kind: 'heard', member: m.name, after: last === null ? null : silent };
  }

  /**
   * What was held back comes all at once. An older incarnation that goes on coming a beat at a time, while the newer one is
   * silent, is a process whose clock is behind that of the one before: never to hear it would be worse.
   */
  private staysOlder(m: Peer, incarnation: number, now: Micros): boolean {
    if (m.level !== 'suspected' || m.stray?.incarnation !== incarnation) {
      m.stray = { incarnation, at: now, count: 1 };
      return false;
    }
    if (now - m.stray.at >= this.settings.heartbeatIntervalUs / 2)
      m.stray = { incarnation, at: now, count: m.stray.count + 1 };
    return m.stray.count >= STRAYS;
  }

  /**
   * Who has been silent for too long, given how evenly its beats came. `lateUs`: how late this node's own timers fire: who is
   * late itself, or stood still, doubts itself first.
   */
  suspectSilentPeers(lateUs: Micros): PeerChange[] {
    const now = this.now();
    const out: PeerChange[] = [];
    for (const m of this.all.values()) {
      if (m.level !== 'alive') continue;
      const limit = this.limitOf(m, lateUs);
      const silent = now - m.heardAt;
      if (silent <= limit) continue;
      m.level = 'suspected';
      out.push({ kind: 'suspected', member: m.name, silent, limit });
    }
    return out;
  }

  private limitOf(m: Peer, lateUs: Micros): Micros {
    const { heartbeatIntervalUs: beatUs, suspectAfterMissed: suspectBeats } = this.settings;
    const least = beatUs * suspectBeats;
    let wide = 0;
    if (m.gaps.length > 2) {
      const mean = m.gaps.reduce((a, b) => a + b, 0) / m.gaps.length;
      const variance = m.gaps.reduce((a, b) => a + (b - mean) ** 2, 0) / m.gaps.length;
      wide = Math.round(mean + WIDTH * Math.sqrt(variance));
    }
    const patience = Math.min(MOST_PATIENCE, 1 + lateUs / beatUs);
    return Math.round(Math.min(Math.max(least, wide), least * MOST_PATIENCE) * patience);
  }

  /** A peer that the state service gave a good answer after that moment, by its own word; null: none is known. */
  peerWithStoreAnswerAfter(after: Micros): string | null {
    for (const m of this.all.values())
      if (m.level === 'alive' && m.stateGoodAt !== null && m.stateGoodAt > after) return m.name;
    return null;
  }

  levelOf(member: string): PeerState {
    return this.all.get(member)?.level ?? 'unknown';
  }

  /** The next beat of this node. */
  composeHeartbeat(own: PeerStatus): PeerHeartbeat {
    const now = this.now();
    return {
      ...own,
      kind: 'beat',
      sequence: ++this.seq,
      peers: [...this.all.values()]
        .filter((m) => m.beat !== null)
        .map((m) => ({
          member: m.name,
          incarnation: m.incarnation,
          ageUs: now - m.heardAt,
          suspected: m.level === 'suspected',
        })),
    };
  }
}
