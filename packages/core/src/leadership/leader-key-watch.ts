/** Watches the leader's key while this node does not lead, until the key is vacant. */
import { LEADER_KEY } from '../codecs/keys.js';
import { decodeLeader } from '../codecs/leadership-codec.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLISECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { KnownLeader } from './known-leader.js';

/** Wait of a watch request as a fraction of the lease duration, so that a lost connection is noticed soon. */
const WATCH_FRACTION_OF_LEASE = 0.5;
const READ_RETRY_DELAY_US: Micros = 300 * MILLISECOND;
const WATCH_RETRY_DELAY_US: Micros = 500 * MILLISECOND;

/** The election as the watch depends on it. */
export interface LeaderKeyWatchEvents {
  /** Whether the key should be watched: false while this node leads or tries to. */
  shouldWatch(): boolean;
  /** Nobody holds the leader's key. The watch has stopped; `resumeAfter` restarts it. */
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

  /** Reads the key and starts to watch it, unless it is watched already or should not be. */
  start(): void {
    if (this.active || !this.events.shouldWatch()) return;
    this.active = true;
    this.context.requestStore({ kind: 'get', key: LEADER_KEY }, 0, (reply) => {
      if (reply.kind === 'item') this.onLeaderRead(reply.item);
      else if (reply.kind === 'missing') {
        this.knownLeader.clear();
        this.active = false;
        this.events.onKeyVacant();
      } else {
        this.resumeAfter(READ_RETRY_DELAY_US);
      }
    });
  }

  /** Stops the current watch, and starts a new one after a delay. */
  resumeAfter(delay: Micros): void {
    this.active = false;
    this.context.after(delay, () => {
      this.start();
    });
  }

  private onLeaderRead(item: StoredItem): void {
    const leader = decodeLeader(item.value);
    if (leader?.member === this.context.settings.member && item.lease !== null) {
      // The key names this node: it was written by a previous process, which has ended, or by an attempt of this process
      // whose reply was lost. In both cases nobody acts under the lease.
      this.context.info('leader.predecessor_found', { term: leader.term });
      this.context.requestStore({ kind: 'revoke', lease: item.lease }, 0, () => {
        this.resumeAfter(0);
      });
      return;
    }
    // A delayed reply may be older than what a peer has reported since.
    if (leader !== null && leader.term >= this.knownLeader.newestTerm)
      this.knownLeader.record(leader.member, leader.term, this.context.now);
    this.watch(item.version);
  }

  private watch(after: number): void {
    const watchedLeader = this.knownLeader.last;
    const { leaderLeaseUs } = this.context.settings.tuning;
    const waitMs = Math.floor((leaderLeaseUs * WATCH_FRACTION_OF_LEASE) / MILLISECOND);
    this.context.requestStore({ kind: 'watch', prefix: LEADER_KEY, after, waitMs }, 0, (reply) => {
      if (reply.kind !== 'events') {
        this.resumeAfter(reply.kind === 'tooOld' ? 0 : WATCH_RETRY_DELAY_US);
        return;
      }
      if (reply.events.length > 0) {
        this.resumeAfter(0);
        return;
      }
      // No change within the wait: the watched leader still holds its lease.
      if (watchedLeader !== null) this.knownLeader.confirm(watchedLeader, this.context.now);
      this.watch(Math.max(after, reply.revision));
    });
  }
}
