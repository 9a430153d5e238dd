// The state service: a linearizable key-value store with leases, watches and the limits of the settings.
import { Buffer } from 'node:buffer';
import { clearInterval, setImmediate, setInterval } from 'node:timers';

const KEPT_CHANGES = 10_000;

/** A budget per second with bursts of one second's worth. */
class Budget {
  constructor(perSecond, now) {
    this.perSecond = perSecond;
    this.now = now;
    this.left = perSecond;
    this.at = now();
  }

  take(amount) {
    const now = this.now();
    this.left = Math.min(this.perSecond, this.left + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.left < amount) return false;
    this.left -= amount;
    return true;
  }
}

/** One store; every controller reaches it through a handler of its own, so that troubles can hit one of them. */
export class Store {
  constructor({ rps, write_rps, value_kb, txn_ops }, now) {
    this.limits = { valueBytes: value_kb * 1024, ops: txn_ops };
    this.requests = new Budget(rps, now);
    this.writes = new Budget(write_rps, now);
    this.now = now;
    this.items = new Map();
    this.leases = new Map();
    this.changes = [];
    this.watches = new Set();
    this.ledger = 1;
    this.nextLease = 1;
    this.downUntil = 0;
    this.timer = setInterval(() => this.expire(), 20);
  }

  stop() {
    clearInterval(this.timer);
  }

  /** Everything gets 503; afterwards every lease has its full time again. */
  outage(ms) {
    this.downUntil = this.now() + ms;
    for (const lease of this.leases.values()) lease.endsAt = this.downUntil + lease.lifeMs;
  }

  expire() {
    const now = this.now();
    if (now < this.downUntil) return;
    for (const [id, lease] of this.leases) if (now >= lease.endsAt) this.endLease(id);
    for (const watch of [...this.watches]) if (now >= watch.endsAt) this.answer(watch);
  }

  endLease(id) {
    if (!this.leases.delete(id)) return false;
    for (const [key, item] of this.items)
      if (item.permit === id) {
        this.ledger++;
        this.items.delete(key);
        this.publish({ remove: key, stamp: this.ledger });
      }
    return true;
  }

  publish(event) {
    this.changes.push(event);
    if (this.changes.length > 2 * KEPT_CHANGES) this.changes.splice(0, KEPT_CHANGES);
    const key = event.set ?? event.remove;
    for (const watch of [...this.watches])
      if (key.startsWith(watch.under)) setImmediate(() => this.answer(watch));
  }

  eventsAfter(under, since) {
    return this.changes.filter(
      (event) => event.stamp > since && (event.set ?? event.remove).startsWith(under),
    );
  }

  answer(watch) {
    if (!this.watches.delete(watch)) return;
    watch.resolve([200, { ledger: this.ledger, events: this.eventsAfter(watch.under, watch.since) }]);
  }

  handle({ method, path, query, body }) {
    if (this.now() < this.downUntil) return [503, { error: 'trouble' }];
    this.expire();
    if (!this.requests.take(1)) return [429];
    if (path.startsWith('/kv/')) return this.get(decodeURIComponent(path.slice(4)));
    if (path === '/kv') return this.list(query);
    if (path === '/follow') return this.follow(query);
    if (path === '/txn') return this.transact(body);
    if (path === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { lifeMs: body.life_ms, endsAt: this.now() + body.life_ms });
      return [200, { permit: id }];
    }
    const id = Number(path.split('/')[2]);
    if (method === 'DELETE') return [this.endLease(id) ? 200 : 404];
    const lease = this.leases.get(id);
    if (lease === undefined) return [404];
    lease.endsAt = this.now() + lease.lifeMs;
    return [200];
  }

  get(key) {
    const item = this.items.get(key);
    if (item === undefined) return [404, { ledger: this.ledger }];
    return [200, { key, ...item }];
  }

  list(query) {
    const under = query.get('under') ?? '';
    const since = query.get('since');
    const all = [...this.items]
      .filter(([key]) => key.startsWith(under) && (since === null || key > since))
      .sort(([one], [other]) => (one < other ? -1 : 1));
    const page = Math.min(1000, Number(query.get('page') ?? 1000));
    const rows = all.slice(0, page).map(([key, item]) => ({ key, ...item }));
    return [200, { rows, more: all.length > page, ledger: this.ledger }];
  }

  follow(query) {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since') ?? 0);
    const oldest = this.changes[0];
    if (this.changes.length >= KEPT_CHANGES && oldest.stamp > since) return [410];
    const events = this.eventsAfter(under, since);
    if (events.length > 0) return [200, { ledger: this.ledger, events }];
    const endsAt = this.now() + Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    return new Promise((resolve) => {
      this.watches.add({ under, since, endsAt, resolve });
    });
  }

  transact({ when = [], writes = [] }) {
    const tooLarge = writes.some(
      ({ data }) => data !== undefined && Buffer.byteLength(JSON.stringify(data)) > this.limits.valueBytes,
    );
    if (tooLarge || writes.length > this.limits.ops || when.length > 4 * this.limits.ops) return [400];
    if (writes.length > 0 && !this.writes.take(writes.length)) return [429];
    if (writes.some(({ permit }) => permit !== undefined && permit !== null && !this.leases.has(permit)))
      return [400, { error: 'no such lease' }];
    const failed = when
      .filter(({ key, stamp }) => (this.items.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (writes.length === 0) return [200, { ledger: this.ledger }];
    this.ledger++;
    for (const { set, remove, data, permit } of writes) {
      if (set !== undefined) {
        this.items.set(set, { data, stamp: this.ledger, permit: permit ?? null });
        this.publish({ set, data, stamp: this.ledger });
      } else if (this.items.delete(remove)) this.publish({ remove, stamp: this.ledger });
    }
    return [200, { ledger: this.ledger }];
  }
}
