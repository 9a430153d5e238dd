/** Follows the leader's key while this node does not lead, until nobody holds it. */
import { LEADER_KEY } from '../codecs/keys.js';
import { decodeLeader } from '../codecs/leadership-codec.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLI } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { KnownLeader } from './known-leader.js';

/** How long one watch of the leader's key waits, as a part of the lease, so that a lost link shows soon. */
const WATCH_FRACTION_OF_LEASE = 0.5;
const READ_RETRY_DELAY: Micros = 300 * MILLI;
const WATCH_RETRY_DELAY: Micros = 500 * MILLI;

/** What the watch asks of the election and reports to it. */
export interface LeaderKeyWatchEvents {
  /** Whether the key is to be followed: not while this node leads or tries to. */
  shouldWatch(): boolean;
  /** Nobody holds the leader's key. The watch has ended; `resumeAfter` begins it again. */
  onKeyVacant(): void;
}

/** Reads and watches the leader's key, and records who holds it. */
export class LeaderKeyWatch {
  private active = false;

  constructor(
    private readonly context: NodeContext,
    private readonly knownLeader: KnownLeader,
    private readonly events: LeaderKeyWatchEvents,
  ) {}

  /** Begins to follow the key; does nothing if it is followed already, or is not to be. */
  start(): void {
    if (this.active || !this.events.shouldWatch()) return;
    this.active = true;
    this.context.requestStore({ kind: 'get', key: LEADER_KEY }, 0, (reply) => {
      if (reply.kind === 'item') this.onLeaderRead(reply.item);
      else if (reply.kind === 'missing') {
        this.knownLeader.forget();
        this.active = false;
        this.events.onKeyVacant();
      } else {
        this.resumeAfter(READ_RETRY_DELAY);
      }
    });
  }

  /** Ends the watch under way, and begins again after a delay. */
  resumeAfter(delay: Micros): void {
    this.active = false;
    this.context.after(delay, () => {
      this.start();
    });
  }

  private onLeaderRead(item: StoredItem): void {
    const leader = decodeLeader(item.value);
    if (leader?.member === this.context.settings.member && item.lease !== null) {
      // This node's own name: the key of a process before this one, surely dead, or of an attempt of this one whose
      // reply was lost. Either way nobody acts under it.
      this.context.info('leader.predecessor_found', { term: leader.term });
      this.context.requestStore({ kind: 'revoke', lease: item.lease }, 0, () => {
        this.resumeAfter(0);
      });
      return;
    }
    // A reply that was long on its way may be older than what a peer has reported.
    if (leader !== null && leader.term >= this.knownLeader.newestTerm)
      this.knownLeader.record(leader.member, leader.term, this.context.now);
    this.watch(item.version);
  }

  private watch(after: number): void {
    const watchedLeader = this.knownLeader.last;
    const { leaderLeaseUs } = this.context.settings.tuning;
    const waitMs = Math.floor((leaderLeaseUs * WATCH_FRACTION_OF_LEASE) / MILLI);
    this.context.requestStore({ kind: 'watch', prefix: LEADER_KEY, after, waitMs }, 0, (reply) => {
      if (reply.kind !== 'events') {
        this.resumeAfter(reply.kind === 'tooOld' ? 0 : WATCH_RETRY_DELAY);
        return;
      }
      if (reply.events.length > 0) {
        this.resumeAfter(0);
        return;
      }
      // Nothing has changed: the same lease is still held.
      if (watchedLeader !== null) this.knownLeader.confirm(watchedLeader, this.context.now);
      this.watch(Math.max(after, reply.revision));
    });
  }
}
