/** The state service as a model: told the time, it answers; nobody waits in it. */
import type {
  StoredItem,
  StoreEvent,
  StoreOperation,
  StoreReply,
} from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

/** What the service keeps of past changes for watches. */
const HISTORY = 10_000;

type WatchOp = StoreOperation & { readonly kind: 'watch' };

/** What was spent of a budget that is refilled as time passes. */
interface SpentBudget {
  at: Micros;
  amount: number;
}

const TOO_MANY_REQUESTS: StoreReply = { kind: 'failed', executed: false, cause: 'busy', reason: '429' };

interface Watch {
  readonly op: WatchOp;
  readonly until: Micros;
  readonly reply: (r: StoreReply) => void;
}

export class StateModel {
  /** What a transaction may hold. */
  limits = { valueBytes: 16 * 1024, ops: 16 };
  /** Puts and deletes that it takes in a second, with bursts of one second's worth; those of failing transactions count. */
  writesPerSecond = Infinity;
  /** Requests that it takes in a second, with bursts of one second's worth; renewals and opened watches count. */
  requestsPerSecond = Infinity;
  /** Requests that were answered with 429. */
  overLimit = 0;
  private readonly spentRequests: SpentBudget = { at: 0, amount: 0 };
  private readonly spentWrites: SpentBudget = { at: 0, amount: 0 };
  /** Requests with more than that, refused. */
  refusals = 0;
  downUntil: Micros = 0;
  /** Keys that nothing is told of: whoever asks about one gets no answer, and nothing is carried out. */
  readonly mute = new Set<string>();
  /** Puts and deletes of transactions whose conditions failed: they count against the limit all the same. */
  wasted = 0;
  /** Puts and deletes carried out. */
  changes = 0;
  revision = 1;
  private readonly kv = new Map<string, StoredItem>();
  private readonly leases = new Map<number, { ttl: Micros; ends: Micros }>();
  private readonly history: StoreEvent[] = [];
  private watches: Watch[] = [];
  private nextLease = 1;

  constructor(
    private readonly now: () => Micros,
    /** Carries a watch's answer out a little later, so that it never comes in the middle of a change. */
    private readonly later: (run: () => void) => void,
  ) {}

  get down(): boolean {
    return this.now() < this.downUntil;
  }

  /** Nothing is answered for so long; then every lease has its full time again. */
  outage(length: Micros): void {
    this.downUntil = this.now() + length;
    for (const l of this.leases.values()) l.ends = this.downUntil + l.ttl;
  }

  /** To be called as time passes: ends leases and watches. */
  expire(): void {
    const now = this.now();
    if (!this.down)
      for (const [id, l] of this.leases)
        if (l.ends <= now) {
          this.leases.delete(id);
          this.dropLease(id);
        }
    // Open watches wait in an outage.
    if (this.down) return;
    const due = this.watches.filter((w) => w.until <= now);
    this.watches = this.watches.filter((w) => w.until > now);
    for (const w of due) w.reply({ kind: 'events', events: [], revision: this.revision });
  }

  private dropLease(id: number): void {
    for (const [key, it] of this.kv)
      if (it.lease === id) {
        this.revision++;
        this.kv.delete(key);
        this.note({ kind: 'delete', key, version: this.revision });
      }
  }

  private note(e: StoreEvent): void {
    this.history.push(e);
    if (this.history.length > 2 * HISTORY) this.history.splice(0, HISTORY);
    this.watches = this.watches.filter((w) => {
      if (!e.key.startsWith(w.op.prefix)) return true;
      this.later(() => {
        w.reply(this.eventsFor(w.op));
      });
      return false;
    });
  }

  private eventsFor(op: WatchOp): StoreReply {
    const first = this.history[0];
    if (this.history.length >= HISTORY && first !== undefined && op.after < first.version)
      return { kind: 'tooOld' };
    return {
      kind: 'events',
      events: this.history.filter((h) => h.version > op.after && h.key.startsWith(op.prefix)),
      revision: this.revision,
    };
  }

  watch(op: WatchOp, reply: (r: StoreReply) => void): void {
    if (this.down) {
      reply({ kind: 'failed', executed: false, cause: 'refused', reason: '503' });
      return;
    }
    if (!this.spend(this.spentRequests, this.requestsPerSecond, 1)) {
      reply(TOO_MANY_REQUESTS);
      return;
    }
    const r = this.eventsFor(op);
    if (r.kind !== 'events' || r.events.length > 0) reply(r);
    else this.watches.push({ op, until: this.now() + op.waitMs * MILLI, reply });
  }

  apply(op: StoreOperation): StoreReply {
    if (this.down) return { kind: 'failed', executed: false, cause: 'refused', reason: '503' };
    this.expire();
    if (!this.spend(this.spentRequests, this.requestsPerSecond, 1)) return TOO_MANY_REQUESTS;
    if (this.mute.size > 0 && this.asksMute(op))
      return { kind: 'failed', executed: null, cause: 'silent', reason: 'mute key' };
    switch (op.kind) {
      case 'get': {
        const item = this.kv.get(op.key);
        return item === undefined ? { kind: 'missing', revision: this.revision } : { kind: 'item', item };
      }
      case 'list':
        return this.list(op);
      case 'txn':
        return this.transact(op);
      case 'grant': {
        const lease = this.nextLease++;
        this.leases.set(lease, { ttl: op.ttlMs * MILLI, ends: this.now() + op.ttlMs * MILLI });
        return { kind: 'granted', lease };
      }
      case 'renew': {
        const l = this.leases.get(op.lease);
        if (l === undefined) return { kind: 'noLease' };
        l.ends = this.now() + l.ttl;
        return { kind: 'ok', revision: 0 };
      }
      case 'revoke':
        if (!this.leases.delete(op.lease)) return { kind: 'noLease' };
        this.dropLease(op.lease);
        return { kind: 'ok', revision: 0 };
      case 'watch':
        return { kind: 'tooOld' };
    }
  }

  private list(op: StoreOperation & { kind: 'list' }): StoreReply {
    const items = [...this.kv.values()]
      .filter((i) => i.key.startsWith(op.prefix) && (op.after === undefined || i.key > op.after))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      kind: 'items',
      items: items.slice(0, op.limit),
      more: items.length > op.limit,
      revision: this.revision,
    };
  }

  private transact(op: StoreOperation & { kind: 'txn' }): StoreReply {
    const tooLarge = op.writes.some(
      (w) => w.kind === 'put' && Buffer.byteLength(JSON.stringify(w.value)) > this.limits.valueBytes,
    );
    if (tooLarge || op.writes.length > this.limits.ops || op.conditions.length > this.limits.ops * 4) {
      this.refusals++;
      return { kind: 'refused', reason: '400' };
    }
    if (!this.spend(this.spentWrites, this.writesPerSecond, op.writes.length)) return TOO_MANY_REQUESTS;
    for (const w of op.writes)
      if (w.kind === 'put' && w.lease !== undefined && !this.leases.has(w.lease)) return { kind: 'noLease' };
    const failed = op.conditions
      .filter((c) => (this.kv.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) {
      this.wasted += op.writes.length;
      return { kind: 'conflict', failed, revision: this.revision };
    }
    if (op.writes.length === 0) return { kind: 'ok', revision: this.revision };
    this.revision++;
    this.changes += op.writes.length;
    for (const w of op.writes) {
      if (w.kind === 'put') this.set(w.key, structuredClone(w.value), w.lease ?? null);
      else if (this.kv.delete(w.key)) this.note({ kind: 'delete', key: w.key, version: this.revision });
    }
    return { kind: 'ok', revision: this.revision };
  }

  private asksMute(op: StoreOperation): boolean {
    if (op.kind === 'get') return this.mute.has(op.key);
    return (
      op.kind === 'txn' &&
      (op.conditions.some((c) => this.mute.has(c.key)) || op.writes.some((w) => this.mute.has(w.key)))
    );
  }

  /** Takes an amount from a budget, with bursts of one second's worth; false: the limit is reached. */
  private spend(spent: SpentBudget, perSecond: number, amount: number): boolean {
    if (amount === 0 || perSecond === Infinity) return true;
    const now = this.now();
    const refilled = ((now - spent.at) / SECOND) * perSecond;
    const before = Math.max(0, spent.amount - refilled);
    if (before + amount > Math.max(perSecond, amount)) {
      this.overLimit++;
      return false;
    }
    spent.at = now;
    spent.amount = before + amount;
    return true;
  }

  private set(key: string, value: unknown, lease: number | null): void {
    this.kv.set(key, { key, value, version: this.revision, lease });
    this.note({ kind: 'put', key, value, version: this.revision });
  }

  /** Writes a value as an operator's tool would. */
  put(key: string, value: unknown): void {
    this.revision++;
    this.set(key, value, null);
  }

  keys(prefix: string): string[] {
    return [...this.kv.keys()].filter((k) => k.startsWith(prefix));
  }

  value(key: string): unknown {
    return this.kv.get(key)?.value;
  }
}
