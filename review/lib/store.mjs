/**
 * Stand-in of the state service: one store with a door (an address) for each controller, so that a single controller can be
 * refused. Follows "Controller nodes -> state service" of the protocol.
 */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

import { serve, unpack } from './wire.mjs';

const HISTORY = 10_000;

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = performance.now();
  }
  take(amount) {
    const now = performance.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < Math.min(amount, this.rate)) return false;
    this.tokens -= amount;
    return true;
  }
}

export class Store {
  constructor({ rps, writeRps, valueKb, txnOps }) {
    this.limits = { valueBytes: valueKb * 1024, ops: txnOps };
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.ledger = 1;
    this.items = new Map();
    this.grants = new Map();
    this.nextGrant = 1;
    this.history = [];
    this.watches = new Set();
    this.down = false;
    this.doors = [];
    /** `onTxn(door, transaction)` is called for each transaction that was carried out. */
    this.onTxn = null;
    /** `delay(door, kind)` in ms before a request is answered (it is carried out at once). */
    this.delay = () => 0;
    this.timer = setInterval(() => this.expire(), 20);
  }

  /** Opens a door and returns it. `door.refused`: its requests get 503, its open watches wait. */
  async open(name) {
    const door = { name, refused: false, server: null, address: '' };
    door.server = await serve((request, reply) => this.handle(door, request, reply));
    door.address = door.server.address;
    this.doors.push(door);
    return door;
  }

  close() {
    clearInterval(this.timer);
    for (const door of this.doors) door.server.close();
  }

  setDown(down) {
    this.down = down;
    if (!down) {
      const now = performance.now();
      for (const grant of this.grants.values()) grant.endsAt = now + grant.life;
      this.flushWatches();
    }
  }

  setRefused(door, refused) {
    door.refused = refused;
    if (!refused) this.flushWatches();
  }

  expire() {
    if (this.down) return;
    const now = performance.now();
    for (const [id, grant] of this.grants) if (grant.endsAt <= now) this.endGrant(id);
    for (const watch of [...this.watches])
      if (watch.endsAt <= now && !watch.door.refused) this.answerWatch(watch);
  }

  endGrant(id) {
    this.grants.delete(id);
    const keys = [...this.items.values()].filter((item) => item.permit === id).map((item) => item.key);
    if (keys.length === 0) return;
    this.ledger++;
    for (const key of keys) {
      this.items.delete(key);
      this.history.push({ remove: key, stamp: this.ledger });
    }
    this.flushWatches();
  }

  eventsFor({ under, since }) {
    return this.history.filter(
      (event) => event.stamp > since && (event.set ?? event.remove).startsWith(under),
    );
  }

  answerWatch(watch) {
    this.watches.delete(watch);
    watch.reply(200, { ledger: this.ledger, events: this.eventsFor(watch) });
  }

  flushWatches() {
    if (this.down) return;
    for (const watch of [...this.watches])
      if (!watch.door.refused && this.eventsFor(watch).length > 0) this.answerWatch(watch);
  }

  handle(door, { method, path, query, body }, replyNow) {
    const kind = path.startsWith('/kv')
      ? 'read'
      : path === '/txn'
        ? 'txn'
        : path === '/follow'
          ? 'follow'
          : 'grant';
    const wait = this.delay(door, kind);
    const reply = wait > 0 ? (...answer) => setTimeout(() => replyNow(...answer), wait) : replyNow;
    if (this.down || door.refused) return reply(503, { error: 'trouble' });
    if (!this.requests.take(1)) return reply(429);
    this.expire();
    if (method === 'GET' && path === '/kv') return this.list(query, reply);
    if (method === 'GET' && path.startsWith('/kv/')) {
      const item = this.items.get(decodeURIComponent(path.slice(4)));
      if (item === undefined) return reply(404, { ledger: this.ledger });
      return reply(200, item);
    }
    if (method === 'GET' && path === '/follow') return this.follow(door, query, reply);
    if (method === 'POST' && path === '/txn') return this.txn(door, unpack(body), reply);
    if (method === 'POST' && path === '/grants') {
      const { life_ms: life } = unpack(body);
      const permit = this.nextGrant++;
      this.grants.set(permit, { life, endsAt: performance.now() + life });
      return reply(200, { permit });
    }
    const match = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
    if (match !== null) {
      const id = Number(match[1]);
      const grant = this.grants.get(id);
      if (grant === undefined) return reply(404);
      if (method === 'DELETE') this.endGrant(id);
      else grant.endsAt = performance.now() + grant.life;
      return reply(200);
    }
    return reply(400, { error: 'malformed' });
  }

  list(query, reply) {
    const under = query.get('under') ?? '';
    const since = query.get('since');
    const page = Math.min(1000, Number(query.get('page') ?? 1000));
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(under) && (since === null || key > since))
      .sort();
    const rows = [];
    let bytes = 0;
    for (const key of keys.slice(0, page)) {
      const item = this.items.get(key);
      bytes += Buffer.byteLength(JSON.stringify(item));
      if (rows.length > 0 && bytes > 512 * 1024) break;
      rows.push(item);
    }
    reply(200, { rows, more: rows.length < keys.length, ledger: this.ledger });
  }

  follow(door, query, reply) {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since') ?? 0);
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    const oldest = this.history.length > HISTORY ? this.history[this.history.length - HISTORY].stamp : 0;
    if (since < oldest - 1) return reply(410);
    const watch = { door, under, since, reply, endsAt: performance.now() + waitMs };
    if (waitMs === 0 || this.eventsFor(watch).length > 0) return this.answerWatch(watch);
    this.watches.add(watch);
    return undefined;
  }

  txn(door, transaction, reply) {
    const { when = [], writes = [] } = transaction;
    const tooLarge = writes.some(
      (write) =>
        write.set !== undefined && Buffer.byteLength(JSON.stringify(write.data)) > this.limits.valueBytes,
    );
    if (
      tooLarge ||
      writes.length > this.limits.ops ||
      when.length > 4 * this.limits.ops ||
      Buffer.byteLength(JSON.stringify(transaction)) > 64 * 1024
    )
      return reply(400, { error: 'beyond the limits' });
    if (!this.writes.take(writes.length)) return reply(429);
    for (const write of writes)
      if (write.set !== undefined && write.permit != null && !this.grants.has(write.permit))
        return reply(400, { error: 'no such lease' });
    const failed = when
      .filter(({ key, stamp }) => (this.items.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return reply(409, { failed, ledger: this.ledger });
    if (writes.length > 0) {
      this.ledger++;
      for (const write of writes) {
        if (write.set !== undefined) {
          this.items.set(write.set, {
            key: write.set,
            data: write.data,
            stamp: this.ledger,
            permit: write.permit ?? null,
          });
          this.history.push({ set: write.set, data: write.data, stamp: this.ledger });
        } else if (this.items.delete(write.remove))
          this.history.push({ remove: write.remove, stamp: this.ledger });
      }
      this.onTxn?.(door, transaction);
    }
    reply(200, { ledger: this.ledger });
    return this.flushWatches();
  }
}
