/**
 * One leader with a lease and a term in the state service. The leader's right ends by its own steady
 * clock, counted from when the last successful renewal was sent, less what clocks may drift.
 */
import type { NodeContext } from '../node/node-context.js';
import { LEAD, TERM } from '../codecs/keys.js';
import {
  decodeLeader,
  decodeTerm,
  encodeLeader,
  encodeTerm,
  type LeaderRecord,
  type TermRecord,
} from '../codecs/leadership-codec.js';
import type { StoreReply } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import { CLOCK_DRIFT, CancellationFreshness } from './cancellation-freshness.js';

/** Of the lease's length: how long one look at the leader's key lasts, so that a lost link shows soon. */
const WATCH_PART = 0.5;

/** The newest office that this node knows of, and when it last had word that it is held. */
interface Seen extends LeaderRecord {
  readonly at: Micros;
}

export interface LeaderLease {
  readonly term: number;
  /** Version of the leader's key: the condition that fences every write of the leader. */
  readonly keyVersion: number;
  readonly leaseId: number;
  /** When the key was surely ours. */
  readonly heldSince: Micros;
  /** Nothing was ever rented, and which machines stood ready before is not on record yet: part of the term's record. */
  readonly firstTerm: boolean;
  /** What its holder knows of cancellations, and since when. */
  readonly freshness: CancellationFreshness;
}

/** Where no term's record is there: nobody ever led. */
const NO_TERM: TermRecord = { number: 0, first: true };

export class LeaderElection {
  lease: LeaderLease | null = null;
  /** Who was last known to lead; null when that office is known to have ended. */
  private lastKnownLeader: Seen | null = null;
  /** The highest term that this node has heard of. */
  private lastTerm = 0;
  private leaseValidUntil: Micros = 0;
  /** When this process last gave an office up on purpose. */
  resignedAt: Micros | null = null;
  /** Told of each renewal that was answered. */
  onRenewed: (() => void) | null = null;
  private holdOffUntil: Micros = 0;
  private looking = false;
  private acquiring = false;
  private renewSeq = 0;
  private suspended = false;

  constructor(
    private readonly ctx: NodeContext,
    private readonly onWon: (office: LeaderLease) => void,
    private readonly onLost: () => void,
  ) {}

  private get ttl(): Micros {
    return this.ctx.settings.tuning.leaderLeaseUs;
  }

  /**
   * Whether orders and 200s may be sent now: the office is held, and what others were told of cancellations is known. A
   * lease that is renewed shows only the first: where only answers were lost, or a watch hung, renewals went on while
   * others were told of cancellations (ran_cancelled, in generated histories).
   */
  canActAsLeader(): boolean {
    const { now } = this.ctx;
    return this.lease !== null && now < this.leaseValidUntil && this.lease.freshness.isFresh(now);
  }

  /** The office is held, but for long nothing was learned of what others were told: watches and lists fail here. */
  get missesCancellations(): boolean {
    const { now } = this.ctx;
    return (
      this.lease !== null &&
      now < this.leaseValidUntil &&
      this.lease.freshness.isLost(now, this.lease.heldSince)
    );
  }

  /**
   * Who leads, as far as this node may say so: a name without word for a whole lease is worth nothing. A node that
   * had lost the state service once named a deposed leader for as long, which sent workers back to it: none of them
   * came to the one that led, and all leases ran out.
   */
  get leader(): string | null {
    if (this.lease !== null) return this.ctx.settings.member;
    return this.lastKnownLeader !== null && this.ctx.now < this.lastKnownLeader.at + this.ttl
      ? this.lastKnownLeader.member
      : null;
  }

  /**
   * Word of a leader itself, by the peers' address. A higher term is proof that all earlier offices have ended, ours
   * too: it is only written when nobody holds the leader's key. Returns whether the word is of the newest office known.
   */
  recordPeerClaim(member: string, term: number): boolean {
    if (!this.ctx.settings.peers.some((p) => p.member === member)) return false;
    if (this.lease !== null && term > this.lease.term) this.stepDown('succeeded');
    // What was held back on its way may be of an office that is over.
    if (this.lease !== null || term < this.lastTerm) return false;
    if (term === this.lastTerm && this.lastKnownLeader?.member !== member) return false;
    if (this.lastKnownLeader?.member !== member) this.ctx.info('leader.announced', { member, term });
    this.recordLeader(member, term);
    return true;
  }

  private recordLeader(member: string, term: number): void {
    this.lastTerm = Math.max(this.lastTerm, term);
    this.lastKnownLeader = { member, term, at: this.ctx.now };
  }

  start(): void {
    this.look();
  }

  /** Gives the office up on purpose, so that a node that reaches the workers can take it. */
  resign(holdOff: Micros, reason: string): void {
    const office = this.lease;
    if (office === null) return;
    this.ctx.info('leader.resigned', { term: office.term, reason });
    this.resignedAt = this.ctx.now;
    this.holdOffUntil = this.ctx.now + holdOff;
    this.leaseValidUntil = 0;
    this.ctx.requestStore({ kind: 'revoke', lease: office.leaseId }, 0, () => {
      this.stepDown('resigned');
    });
  }

  stepDown(reason: string): void {
    if (this.lease === null) return;
    this.ctx.info('leader.stepped_down', { term: this.lease.term, reason });
    this.lease = null;
    this.leaseValidUntil = 0;
    this.suspended = false;
    this.lastKnownLeader = null;
    this.ctx.emit({ kind: 'role', leader: false });
    this.onLost();
    this.look();
  }

  private again(delay: Micros): void {
    this.looking = false;
    this.ctx.after(delay, () => {
      this.look();
    });
  }

  private look(): void {
    if (this.looking || this.acquiring || this.lease !== null) return;
    this.looking = true;
    this.ctx.requestStore({ kind: 'get', key: LEAD }, 0, (r) => {
      if (r.kind === 'item') {
        const lead = decodeLeader(r.item.value);
        if (lead?.member === this.ctx.settings.member && r.item.lease !== null) {
          // The state service's word for our own name: a predecessor of this process, surely dead, or an
          // attempt of ours whose answer was lost. Either way nobody acts under it.
          this.ctx.info('leader.predecessor_found', { term: lead.term });
          this.ctx.requestStore({ kind: 'revoke', lease: r.item.lease }, 0, () => {
            this.again(0);
          });
          return;
        }
        // An answer that was long on its way may be older than what a peer has told.
        if (lead !== null && lead.term >= this.lastTerm) this.recordLeader(lead.member, lead.term);
        this.watch(r.item.version);
      } else if (r.kind === 'missing') {
        this.lastKnownLeader = null;
        this.looking = false;
        this.acquire();
      } else {
        this.again(300 * MILLI);
      }
    });
  }

  private watch(after: number): void {
    const of = this.lastKnownLeader;
    const waitMs = Math.floor((this.ttl * WATCH_PART) / MILLI);
    this.ctx.requestStore({ kind: 'watch', prefix: LEAD, after, waitMs }, 0, (r) => {
      if (r.kind === 'events') {
        if (r.events.length > 0) {
          this.again(0);
          return;
        }
        // Nothing has changed: the same office is still held.
        if (of !== null && of.term === this.lastTerm && this.lastKnownLeader !== null)
          this.recordLeader(of.member, of.term);
        this.watch(Math.max(after, r.revision));
      } else {
        this.again(r.kind === 'tooOld' ? 0 : 500 * MILLI);
      }
    });
  }

  private acquire(): void {
    if (this.acquiring || this.lease !== null) return;
    if (this.ctx.now < this.holdOffUntil) {
      this.again(500 * MILLI);
      return;
    }
    this.acquiring = true;
    const sent = this.ctx.now;
    this.ctx.requestStore({ kind: 'grant', ttlMs: Math.floor(this.ttl / MILLI) }, 0, (g) => {
      if (g.kind !== 'granted') {
        this.giveUp(null, 300 * MILLI);
        return;
      }
      this.ctx.requestStore({ kind: 'get', key: TERM }, 0, (t) => {
        if (t.kind === 'item' || t.kind === 'missing') this.claim(sent, g.lease, t);
        else this.giveUp(g.lease, 300 * MILLI);
      });
    });
  }

  private claim(sent: Micros, lease: number, t: StoreReply & { kind: 'item' | 'missing' }): void {
    const version = t.kind === 'item' ? t.item.version : 0;
    const last = t.kind === 'item' ? decodeTerm(t.item.value) : NO_TERM;
    if (last === null) {
      this.ctx.error('leader.term_unreadable');
      this.giveUp(lease, SECOND);
      return;
    }
    const term = last.number + 1;
    const { first } = last;
    const { member } = this.ctx.settings;
    this.ctx.requestStore(
      {
        kind: 'txn',
        conditions: [
          { key: LEAD, version: 0 },
          { key: TERM, version },
        ],
        writes: [
          { kind: 'put', key: LEAD, value: encodeLeader({ member, term }), lease },
          { kind: 'put', key: TERM, value: encodeTerm({ number: term, first }) },
        ],
      },
      0,
      (r) => {
        if (r.kind !== 'ok') {
          this.giveUp(lease, r.kind === 'conflict' ? 0 : 300 * MILLI);
          return;
        }
        this.acquiring = false;
        this.recordLeader(member, term);
        this.lease = {
          term,
          keyVersion: r.revision,
          leaseId: lease,
          heldSince: this.ctx.now,
          firstTerm: first,
          freshness: new CancellationFreshness(this.ctx.settings),
        };
        this.extend(sent);
        this.ctx.emit({ kind: 'role', leader: true });
        this.ctx.info('leader.elected', { term });
        this.renewLater(this.lease);
        this.onWon(this.lease);
      },
    );
  }

  private giveUp(lease: number | null, delay: Micros): void {
    if (lease !== null) this.ctx.requestStore({ kind: 'revoke', lease }, 2, () => undefined);
    this.acquiring = false;
    this.again(delay);
  }

  private extend(sent: Micros): void {
    this.leaseValidUntil = Math.max(
      this.leaseValidUntil,
      sent + Math.floor(this.ttl * (1 - CLOCK_DRIFT)) - 20 * MILLI,
    );
  }

  private renewLater(office: LeaderLease): void {
    const seq = ++this.renewSeq;
    this.ctx.after(Math.floor(this.ttl / 5), () => {
      this.renew(office, seq);
    });
  }

  private renew(office: LeaderLease, seq: number): void {
    if (this.lease !== office || seq !== this.renewSeq) return;
    const sent = this.ctx.now;
    this.ctx.requestStore({ kind: 'renew', lease: office.leaseId }, 0, (r) => {
      if (this.lease !== office) return;
      if (r.kind === 'ok') {
        this.onRenewed?.();
        if (this.holdOffUntil <= this.ctx.now) this.extend(sent);
      } else if (r.kind === 'noLease') {
        this.stepDown('lease ended');
        return;
      }
      this.noteRight(office);
      this.renewLater(office);
    });
  }

  private noteRight(office: LeaderLease): void {
    const before = this.suspended;
    this.suspended = !this.canActAsLeader();
    // The office is held, but what others were told is not known.
    const behind = this.suspended && this.ctx.now < this.leaseValidUntil;
    if (this.suspended)
      this.ctx.info('leader.suspended', { term: office.term, ...(behind ? { behind } : {}) });
    else if (before) this.ctx.info('leader.resumed', { term: office.term });
  }
}
