/**
 * Acquires the leader lease: creates a lease in the key-value store, and claims the leader's key and the next term with
 * it.
 */
import { LEADER_KEY, TERM_KEY } from '../codecs/keys.js';
import { decodeTerm, encodeLeader, encodeTerm, type TermRecord } from '../codecs/leadership-codec.js';
import type { StoreOperation, StoreReply } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { CancellationFreshness } from './cancellation-freshness.js';
import type { LeaderLease } from './leader-lease.js';

/** Delay before a new attempt after a failed request. */
const RETRY_DELAY_US: Micros = 300 * MILLISECOND;
/** Delay before a new attempt after a term record that could not be decoded. */
const UNREADABLE_TERM_RETRY_DELAY_US: Micros = SECOND;

/** Used if no term record exists, because no node ever led. */
const TERM_BEFORE_FIRST: TermRecord = { number: 0, first: true };

/** Receives the outcome of an attempt to acquire the lease. */
export interface LeaseAcquisitionEvents {
  /** The lease is held. Its duration counts from `requestedAt`, when it was requested. */
  onAcquired(lease: LeaderLease, requestedAt: Micros): void;
  /** Another node was faster, or the store did not answer. The attempt may be repeated after this delay. */
  onFailed(retryDelay: Micros): void;
}

/** A lease granted by the store, not yet used to claim the leader's key. */
interface GrantedLease {
  readonly id: number;
  readonly requestedAt: Micros;
}

/** Makes attempts to acquire the leader lease, one at a time. */
export class LeaseAcquisition {
  private active = false;

  constructor(
    private readonly context: NodeContext,
    private readonly events: LeaseAcquisitionEvents,
  ) {}

  /** Whether an attempt has started and its outcome is not known yet. */
  get inProgress(): boolean {
    return this.active;
  }

  /** Starts an attempt; exactly one event reports its outcome. */
  start(): void {
    this.active = true;
    const requestedAt = this.context.now;
    const ttlMs = Math.floor(this.context.settings.tuning.leaderLeaseUs / MILLISECOND);
    this.context.requestStore({ kind: 'grant', ttlMs }, 0, (reply) => {
      if (reply.kind === 'granted') this.readTerm({ id: reply.lease, requestedAt });
      else this.fail(RETRY_DELAY_US);
    });
  }

  private readTerm(granted: GrantedLease): void {
    this.context.requestStore({ kind: 'get', key: TERM_KEY }, 0, (reply) => {
      if (reply.kind === 'item' || reply.kind === 'missing') this.claimTerm(granted, reply);
      else this.revokeAndFail(granted, RETRY_DELAY_US);
    });
  }

  private claimTerm(granted: GrantedLease, termReply: StoreReply & { kind: 'item' | 'missing' }): void {
    const termVersion = termReply.kind === 'item' ? termReply.item.version : 0;
    const lastTerm = termReply.kind === 'item' ? decodeTerm(termReply.item.value) : TERM_BEFORE_FIRST;
    if (lastTerm === null) {
      this.context.error('leader.term_unreadable');
      this.revokeAndFail(granted, UNREADABLE_TERM_RETRY_DELAY_US);
      return;
    }
    const term: TermRecord = { number: lastTerm.number + 1, first: lastTerm.first };
    this.context.requestStore(this.claimTransaction(granted, term, termVersion), 0, (reply) => {
      if (reply.kind === 'ok') this.succeed(granted, term, reply.revision);
      else this.revokeAndFail(granted, reply.kind === 'conflict' ? 0 : RETRY_DELAY_US);
    });
  }

  /**
   * The transaction that writes the leader's key and the term; fails if the key is held or another term has started.
   */
  private claimTransaction(granted: GrantedLease, term: TermRecord, termVersion: number): StoreOperation {
    const { member } = this.context.settings;
    return {
      kind: 'txn',
      conditions: [
        { key: LEADER_KEY, version: 0 },
        { key: TERM_KEY, version: termVersion },
      ],
      writes: [
        {
          kind: 'put',
          key: LEADER_KEY,
          value: encodeLeader({ member, term: term.number }),
          lease: granted.id,
        },
        { kind: 'put', key: TERM_KEY, value: encodeTerm(term) },
      ],
    };
  }

  private succeed(granted: GrantedLease, term: TermRecord, keyVersion: number): void {
    this.active = false;
    const lease: LeaderLease = {
      term: term.number,
      keyVersion,
      leaseId: granted.id,
      heldSince: this.context.now,
      firstTerm: term.first,
      freshness: new CancellationFreshness(this.context.settings),
    };
    this.events.onAcquired(lease, granted.requestedAt);
  }

  private revokeAndFail(granted: GrantedLease, retryDelay: Micros): void {
    this.context.requestStore({ kind: 'revoke', lease: granted.id }, 2, () => undefined);
    this.fail(retryDelay);
  }

  private fail(retryDelay: Micros): void {
    this.active = false;
    this.events.onFailed(retryDelay);
  }
}
