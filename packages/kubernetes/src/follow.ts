/**
 * Keeps a node's view as new as it has to be. Nothing is asked for while nobody asks; a question is answered from a
 * state that is no older than the question, whatever node was asked before; watches share one long poll.
 */
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import type { NodeContext } from '@shaleyoke/core/node/node-context';

import { ROOT } from './records.js';
import { type Change, View } from './view.js';

/** Questions that come within this time share one request, or for longer where requests are scarce. */
const GATHER: Micros = 5 * MILLI;
/** Share of all requests that one node's questions may take, whoever asks how often. */
const SHARE = 0.06;
const POLL_MS = 20_000;
const PAGE = 500;
const RETRY: Micros = 500 * MILLI;

export class Follow {
  readonly view = new View();
  private loaded = false;
  private waiting: ((ok: boolean) => void)[] = [];
  private asking = false;
  private gathering = false;
  private watchers = 0;
  private polling = false;
  private readonly gatherUs: Micros;

  constructor(
    private readonly ctx: NodeContext,
    /** Told of changes in their order; `lost` where some may be missing, and every watch has to end. */
    private readonly host: { changed(changes: readonly Change[]): void; lost(): void },
  ) {
    this.gatherUs = Math.max(GATHER, Math.round(SECOND / (SHARE * ctx.settings.storeRequestsPerS)));
  }

  /** `then(true)`: the view is no older than this call. `then(false)`: the state service does not answer. */
  sync(then: (ok: boolean) => void): void {
    this.waiting.push(then);
    this.gather();
  }

  private gather(): void {
    if (this.gathering || this.asking) return;
    this.gathering = true;
    this.ctx.after(this.gatherUs, () => {
      this.gathering = false;
      this.ask();
    });
  }

  private ask(): void {
    const asked = this.waiting;
    this.waiting = [];
    if (asked.length === 0) return;
    this.asking = true;
    const done = (ok: boolean): void => {
      this.asking = false;
      for (const then of asked)
        this.ctx.guard('kube.sync', () => {
          then(ok);
        });
      if (this.waiting.length > 0) this.gather();
    };
    if (this.loaded) this.catchUp(done);
    else this.load(done);
  }

  /** What changed up to now, in one request: it names the ledger's number as well. */
  private catchUp(then: (ok: boolean) => void): void {
    this.ctx.requestStore({ kind: 'watch', prefix: ROOT, after: this.view.at, waitMs: 0 }, 1, (r) => {
      if (r.kind === 'events') {
        this.take(r.events, r.revision);
        then(true);
      } else if (r.kind === 'tooOld') {
        this.forget();
        this.load(then);
      } else then(false);
    });
  }

  private take(events: Parameters<View['apply']>[0], revision: number): void {
    const changes = this.view.apply(events, revision);
    if (changes.length > 0) this.host.changed(changes);
  }

  private forget(): void {
    if (!this.loaded) return;
    this.loaded = false;
    this.host.lost();
  }

  /** Reads all objects. Pages are of different moments: what changed meanwhile is put right from the first's on. */
  private load(then: (ok: boolean) => void, after = '', found: StoredItem[] = [], from = -1): void {
    const op = { kind: 'list', prefix: ROOT, limit: PAGE, ...(after === '' ? {} : { after }) } as const;
    this.ctx.requestStore(op, 1, (r) => {
      if (r.kind !== 'items') {
        then(false);
        return;
      }
      found.push(...r.items);
      const first = from < 0 ? r.revision : from;
      const last = r.items.at(-1);
      if (r.more && last !== undefined) {
        this.load(then, last.key, found, first);
        return;
      }
      this.view.reset(found, first);
      this.ctx.requestStore({ kind: 'watch', prefix: ROOT, after: first, waitMs: 0 }, 1, (w) => {
        if (w.kind === 'events') {
          this.view.apply(w.events, w.revision);
          this.view.settle();
          this.loaded = true;
          if (this.watchers > 0) this.poll();
        }
        then(w.kind === 'events');
      });
    });
  }

  /** Somebody watches: changes are told as they come, until `unwatch`. */
  watch(): void {
    this.watchers++;
    this.poll();
  }

  unwatch(): void {
    this.watchers--;
  }

  private poll(): void {
    if (this.polling || this.watchers === 0 || !this.loaded) return;
    this.polling = true;
    this.ctx.requestStore({ kind: 'watch', prefix: ROOT, after: this.view.at, waitMs: POLL_MS }, 2, (r) => {
      this.polling = false;
      if (r.kind === 'events') {
        this.take(r.events, r.revision);
        this.poll();
      } else if (r.kind === 'tooOld') this.forget();
      else
        this.ctx.after(RETRY, () => {
          this.poll();
        });
    });
  }
}

/** How often a watch is told that it is still there. */
export const BOOKMARK_EVERY: Micros = 15 * SECOND;
