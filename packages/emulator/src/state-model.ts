/** Model of the state service: a key-value store with versions, leases and watches, in the time that it is given. */
import type {
  StoredItem,
  StoreEvent,
  StoreOperation,
  StoreReply,
} from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

/** Minimum number of past changes that are kept for watches, once there are as many. */
const HISTORY_LENGTH = 10_000;

type WatchOperation = StoreOperation & { readonly kind: 'watch' };

/** A token bucket: the amount spent and not yet refilled at a point in time. */
interface SpentBudget {
  updatedAt: Micros;
  amount: number;
}

const TOO_MANY_REQUESTS: StoreReply = { kind: 'failed', executed: false, cause: 'busy', reason: '429' };

/** A watch that waits for changes. */
interface OpenWatch {
  readonly operation: WatchOperation;
  readonly expiresAt: Micros;
  readonly onReply: (reply: StoreReply) => void;
}

/** The state service of a simulated or loopback deployment, with outages and limits. */
export class StateModel {
  /** Maximum size of a value, and maximum number of writes in a transaction; four times as many conditions are allowed. */
  limits = { valueBytes: 16 * 1024, ops: 16 };
  /** Limit of puts and deletes, with bursts of one second's worth; those of conflicting transactions count as well. */
  writesPerSecond = Infinity;
  /** Limit of requests, with bursts of one second's worth; renewals and opened watches count as well. */
  requestsPerSecond = Infinity;
  /** Requests that were answered with 429. */
  rateLimited = 0;
  private readonly spentRequests: SpentBudget = { updatedAt: 0, amount: 0 };
  private readonly spentWrites: SpentBudget = { updatedAt: 0, amount: 0 };
  /** Transactions that were rejected for exceeding `limits`. */
  oversizedTransactions = 0;
  /** End of the current or last outage. */
  downUntil: Micros = 0;
  /** Keys whose reads and transactions get no reply and aren't executed. */
  readonly silentKeys = new Set<string>();
  /** Puts and deletes of conflicting transactions, which count against the limit although they have no effect. */
  conflictingWrites = 0;
  /** Puts and deletes of successful transactions. */
  appliedWrites = 0;
  /** Increases with each change; a key's version is the revision of its last change. */
  revision = 1;
  private readonly items = new Map<string, StoredItem>();
  private readonly leases = new Map<number, { duration: Micros; expiresAt: Micros }>();
  private readonly history: StoreEvent[] = [];
  private watches: OpenWatch[] = [];
  private nextLease = 1;

  constructor(
    private readonly now: () => Micros,
    /** Sends a watch's reply a little later, so that it is never sent in the middle of a change. */
    private readonly defer: (run: () => void) => void,
  ) {}

  /** Whether there is an outage. */
  get isDown(): boolean {
    return this.now() < this.downUntil;
  }

  /** All requests are refused for this time; afterwards each lease has its full duration again. */
  outage(length: Micros): void {
    this.downUntil = this.now() + length;
    for (const lease of this.leases.values()) lease.expiresAt = this.downUntil + lease.duration;
  }

  /** Ends leases and watches that are due; to be called regularly. */
  expire(): void {
    const now = this.now();
    if (!this.isDown)
      for (const [id, lease] of this.leases)
        if (lease.expiresAt <= now) {
          this.leases.delete(id);
          this.deleteLeasedKeys(id);
        }
    // Open watches don't expire during an outage.
    if (this.isDown) return;
    const due = this.watches.filter((watch) => watch.expiresAt <= now);
    this.watches = this.watches.filter((watch) => watch.expiresAt > now);
    for (const watch of due) watch.onReply({ kind: 'events', events: [], revision: this.revision });
  }

  /** Deletes the keys that are attached to a lease. */
  private deleteLeasedKeys(id: number): void {
    for (const [key, item] of this.items)
      if (item.lease === id) {
        this.revision++;
        this.items.delete(key);
        this.publish({ kind: 'delete', key, version: this.revision });
      }
  }

  /** Adds a change to the history and answers the watches on its key. */
  private publish(event: StoreEvent): void {
    this.history.push(event);
    if (this.history.length > 2 * HISTORY_LENGTH) this.history.splice(0, HISTORY_LENGTH);
    this.watches = this.watches.filter((watch) => {
      if (!event.key.startsWith(watch.operation.prefix)) return true;
      this.defer(() => {
        watch.onReply(this.eventsFor(watch.operation));
      });
      return false;
    });
  }

  private eventsFor(op: WatchOperation): StoreReply {
    const first = this.history[0];
    if (this.history.length >= HISTORY_LENGTH && first !== undefined && op.after < first.version)
      return { kind: 'tooOld' };
    return {
      kind: 'events',
      events: this.history.filter((event) => event.version > op.after && event.key.startsWith(op.prefix)),
      revision: this.revision,
    };
  }

  /** Replies with the changes after a revision: at once if there are any, otherwise with the next one or at the timeout. */
  watch(op: WatchOperation, onReply: (reply: StoreReply) => void): void {
    if (this.isDown) {
      onReply({ kind: 'failed', executed: false, cause: 'refused', reason: '503' });
      return;
    }
    if (!this.trySpend(this.spentRequests, this.requestsPerSecond, 1)) {
      onReply(TOO_MANY_REQUESTS);
      return;
    }
    const reply = this.eventsFor(op);
    if (reply.kind !== 'events' || reply.events.length > 0) onReply(reply);
    else this.watches.push({ operation: op, expiresAt: this.now() + op.waitMs * MILLISECOND, onReply });
  }

  /** Executes any operation except watches. */
  apply(op: StoreOperation): StoreReply {
    if (this.isDown) return { kind: 'failed', executed: false, cause: 'refused', reason: '503' };
    this.expire();
    if (!this.trySpend(this.spentRequests, this.requestsPerSecond, 1)) return TOO_MANY_REQUESTS;
    if (this.silentKeys.size > 0 && this.touchesMuteKey(op))
      return { kind: 'failed', executed: null, cause: 'silent', reason: 'mute key' };
    switch (op.kind) {
      case 'get': {
        const item = this.items.get(op.key);
        return item === undefined ? { kind: 'missing', revision: this.revision } : { kind: 'item', item };
      }
      case 'list':
        return this.list(op);
      case 'txn':
        return this.transact(op);
      case 'grant': {
        const lease = this.nextLease++;
        this.leases.set(lease, {
          duration: op.ttlMs * MILLISECOND,
          expiresAt: this.now() + op.ttlMs * MILLISECOND,
        });
        return { kind: 'granted', lease };
      }
      case 'renew': {
        const lease = this.leases.get(op.lease);
        if (lease === undefined) return { kind: 'noLease' };
        lease.expiresAt = this.now() + lease.duration;
        return { kind: 'ok', revision: 0 };
      }
      case 'revoke':
        if (!this.leases.delete(op.lease)) return { kind: 'noLease' };
        this.deleteLeasedKeys(op.lease);
        return { kind: 'ok', revision: 0 };
      case 'watch':
        return { kind: 'tooOld' };
    }
  }

  private list(op: StoreOperation & { kind: 'list' }): StoreReply {
    const items = [...this.items.values()]
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
      (write) =>
        write.kind === 'put' && Buffer.byteLength(JSON.stringify(write.value)) > this.limits.valueBytes,
    );
    if (tooLarge || op.writes.length > this.limits.ops || op.conditions.length > this.limits.ops * 4) {
      this.oversizedTransactions++;
      return { kind: 'refused', reason: '400' };
    }
    if (!this.trySpend(this.spentWrites, this.writesPerSecond, op.writes.length)) return TOO_MANY_REQUESTS;
    for (const write of op.writes)
      if (write.kind === 'put' && write.lease !== undefined && !this.leases.has(write.lease))
        return { kind: 'noLease' };
    const failed = op.conditions
      .filter((c) => (this.items.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) {
      this.conflictingWrites += op.writes.length;
      return { kind: 'conflict', failed, revision: this.revision };
    }
    if (op.writes.length === 0) return { kind: 'ok', revision: this.revision };
    this.revision++;
    this.appliedWrites += op.writes.length;
    for (const write of op.writes) {
      if (write.kind === 'put') this.store(write.key, structuredClone(write.value), write.lease ?? null);
      else if (this.items.delete(write.key))
        this.publish({ kind: 'delete', key: write.key, version: this.revision });
    }
    return { kind: 'ok', revision: this.revision };
  }

  private touchesMuteKey(op: StoreOperation): boolean {
    if (op.kind === 'get') return this.silentKeys.has(op.key);
    return (
      op.kind === 'txn' &&
      (op.conditions.some((c) => this.silentKeys.has(c.key)) ||
        op.writes.some((write) => this.silentKeys.has(write.key)))
    );
  }

  /** Takes an amount from a token bucket that holds one second's worth; false: the limit is reached. */
  private trySpend(spent: SpentBudget, perSecond: number, amount: number): boolean {
    if (amount === 0 || perSecond === Infinity) return true;
    const now = this.now();
    const refilled = ((now - spent.updatedAt) / SECOND) * perSecond;
    const stillSpent = Math.max(0, spent.amount - refilled);
    if (stillSpent + amount > Math.max(perSecond, amount)) {
      this.rateLimited++;
      return false;
    }
    spent.updatedAt = now;
    spent.amount = stillSpent + amount;
    return true;
  }

  private store(key: string, value: unknown, lease: number | null): void {
    this.items.set(key, { key, value, version: this.revision, lease });
    this.publish({ kind: 'put', key, value, version: this.revision });
  }

  /** Writes a key without conditions, limits or outages, as an operator's tool would. */
  put(key: string, value: unknown): void {
    this.revision++;
    this.store(key, value, null);
  }

  /** All keys with this prefix. */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((k) => k.startsWith(prefix));
  }

  /** The current value of a key, also during an outage; undefined: there is none. */
  value(key: string): unknown {
    return this.items.get(key)?.value;
  }
}
