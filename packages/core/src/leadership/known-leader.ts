/** Which leader this node knows of, from the leader's key and from peers. */
import type { LeaderRecord } from '../codecs/leadership-codec.js';
import type { Micros } from '../domain/time.js';

/** A leader, and when it was last confirmed to hold the lease. */
export interface ConfirmedLeader extends LeaderRecord {
  readonly confirmedAt: Micros;
}

/** The leader of the newest term that this node knows of. */
export class KnownLeader {
  private latest: ConfirmedLeader | null = null;
  /** Also of terms that are known to have ended. */
  private highestTerm = 0;

  /** The leader last known; null when its term is known to have ended. It may be long out of date: see `currentMember`. */
  get last(): ConfirmedLeader | null {
    return this.latest;
  }

  /** The highest term that this node knows of, whether it has ended or not. */
  get newestTerm(): number {
    return this.highestTerm;
  }

  /** Notes that this member leads in this term. */
  record(member: string, term: number, now: Micros): void {
    this.highestTerm = Math.max(this.highestTerm, term);
    this.latest = { member, term, confirmedAt: now };
  }

  /** Notes that a leader known before still holds the lease, unless it is known by now that its term has ended. */
  confirm(leader: ConfirmedLeader, now: Micros): void {
    if (leader.term === this.highestTerm && this.latest !== null)
      this.record(leader.member, leader.term, now);
  }

  /** The term of the leader last known has ended. */
  forget(): void {
    this.latest = null;
  }

  /**
   * Who leads; null for a leader that was not confirmed for a whole lease. A node that had lost the state service once
   * named a deposed leader for longer, which sent workers back to it: none of them reached the one that led, and all of
   * their leases expired.
   */
  currentMember(now: Micros, leaderLeaseUs: Micros): string | null {
    return this.latest !== null && now < this.latest.confirmedAt + leaderLeaseUs ? this.latest.member : null;
  }
}
