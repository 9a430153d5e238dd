/** The current leader as this node knows it, from the leader's key in the store and from peers. */
import type { LeaderRecord } from '../codecs/leadership-codec.js';
import type { Micros } from '../domain/time.js';

/** A leader, and when it was last confirmed to hold the lease. */
export interface ConfirmedLeader extends LeaderRecord {
  /** Monotonic time of the last confirmation. */
  readonly confirmedAt: Micros;
}

/** Tracks the leader of the newest term that this node knows of. */
export class KnownLeader {
  private latest: ConfirmedLeader | null = null;
  /** Includes terms that are known to have ended. */
  private highestTerm = 0;

  /** The last known leader; null if its term is known to have ended. Can be outdated: see `currentMember`. */
  get last(): ConfirmedLeader | null {
    return this.latest;
  }

  /** The highest term number that this node knows of, whether or not that term has ended. */
  get newestTerm(): number {
    return this.highestTerm;
  }

  /** Records that a member leads in a term, as confirmed now. */
  record(member: string, term: number, now: Micros): void {
    this.highestTerm = Math.max(this.highestTerm, term);
    this.latest = { member, term, confirmedAt: now };
  }

  /**
   * Records that an earlier known leader still holds the lease, unless its term has ended as far as this node knows.
   */
  confirm(leader: ConfirmedLeader, now: Micros): void {
    if (leader.term === this.highestTerm && this.latest !== null)
      this.record(leader.member, leader.term, now);
  }

  /** Removes the last known leader, because its term has ended. */
  clear(): void {
    this.latest = null;
  }

  /**
   * The member that leads; null if it was not confirmed within the duration of one leader lease. Without this limit, a
   * node that had lost the state service redirected workers to a deposed leader. They never reached the new one, and all
   * of their leases expired.
   */
  currentMember(now: Micros, leaderLeaseUs: Micros): string | null {
    return this.latest !== null && now < this.latest.confirmedAt + leaderLeaseUs ? this.latest.member : null;
  }
}
