/**
 * Keeps a node's object cache up to date on demand. Without requests there is no store traffic. Each request is
 * answered from a state at least as recent as the request itself, so that a client may switch nodes and still read its
 * own writes. All watches share one long poll.
 */
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import type { NodeContext } from '@shaleyoke/core/node/node-context';

import { type Change, ObjectCache } from './object-cache.js';
import { KEY_PREFIX } from './records.js';

/** Requests within this time share one store request; the delay is longer where the store's request rate is low. */
const MIN_BATCH_DELAY: Micros = 5 * MILLISECOND;
/** Share of the store's request rate that refreshes of one node may use, however many clients there are. */
const MAX_REQUEST_SHARE = 0.06;
const POLL_MS = 20_000;
const PAGE_SIZE = 500;
const RETRY_DELAY: Micros = 500 * MILLISECOND;

/** Refreshes an object cache before reads and follows changes while there are watches. */
export class CacheSync {
  /** Complete after the first successful `sync`. */
  readonly cache = new ObjectCache();
  private loaded = false;
  private pendingCallbacks: ((ok: boolean) => void)[] = [];
  private refreshing = false;
  private refreshScheduled = false;
  private watchers = 0;
  private polling = false;
  private readonly batchDelayUs: Micros;

  constructor(
    private readonly context: NodeContext,
    /** `changed` gets the changes in order; `lost` says that some may be missing, so that every watch has to end. */
    private readonly listener: { changed(changes: readonly Change[]): void; lost(): void },
  ) {
    this.batchDelayUs = Math.max(
      MIN_BATCH_DELAY,
      Math.round(SECOND / (MAX_REQUEST_SHARE * context.settings.storeRequestsPerS)),
    );
  }

  /**
   * Calls `then(true)` once the cache is at least as recent as this call, `then(false)` if the store doesn't answer.
   */
  sync(then: (ok: boolean) => void): void {
    this.pendingCallbacks.push(then);
    this.scheduleRefresh();
  }

  private scheduleRefresh(): void {
    if (this.refreshScheduled || this.refreshing) return;
    this.refreshScheduled = true;
    this.context.after(this.batchDelayUs, () => {
      this.refreshScheduled = false;
      this.refresh();
    });
  }

  private refresh(): void {
    const callbacks = this.pendingCallbacks;
    this.pendingCallbacks = [];
    if (callbacks.length === 0) return;
    this.refreshing = true;
    const done = (ok: boolean): void => {
      this.refreshing = false;
      for (const then of callbacks)
        this.context.runGuarded('kube.sync', () => {
          then(ok);
        });
      if (this.pendingCallbacks.length > 0) this.scheduleRefresh();
    };
    if (this.loaded) this.catchUp(done);
    else this.load(done);
  }

  /** Fetches all changes up to now in one request, which also returns the current revision. */
  private catchUp(then: (ok: boolean) => void): void {
    this.context.requestStore(
      { kind: 'watch', prefix: KEY_PREFIX, after: this.cache.revision, waitMs: 0 },
      1,
      (result) => {
        if (result.kind === 'events') {
          this.applyEvents(result.events, result.revision);
          then(true);
        } else if (result.kind === 'tooOld') {
          this.invalidate();
          this.load(then);
        } else then(false);
      },
    );
  }

  private applyEvents(events: Parameters<ObjectCache['apply']>[0], revision: number): void {
    const changes = this.cache.apply(events, revision);
    if (changes.length > 0) this.listener.changed(changes);
  }

  private invalidate(): void {
    if (!this.loaded) return;
    this.loaded = false;
    this.listener.lost();
  }

  /**
   * Reads everything in pages. The pages are of different revisions, so the events since the first page's revision are
   * applied on top.
   */
  private load(then: (ok: boolean) => void, after = '', found: StoredItem[] = [], firstRevision = -1): void {
    const operation = {
      kind: 'list',
      prefix: KEY_PREFIX,
      limit: PAGE_SIZE,
      ...(after === '' ? {} : { after }),
    } as const;
    this.context.requestStore(operation, 1, (result) => {
      if (result.kind !== 'items') {
        then(false);
        return;
      }
      found.push(...result.items);
      const startRevision = firstRevision < 0 ? result.revision : firstRevision;
      const lastItem = result.items.at(-1);
      if (result.more && lastItem !== undefined) {
        this.load(then, lastItem.key, found, startRevision);
        return;
      }
      this.cache.reset(found, startRevision);
      this.context.requestStore(
        { kind: 'watch', prefix: KEY_PREFIX, after: startRevision, waitMs: 0 },
        1,
        (watched) => {
          if (watched.kind === 'events') {
            this.cache.apply(watched.events, watched.revision);
            this.cache.resetHistory();
            this.loaded = true;
            if (this.watchers > 0) this.poll();
          }
          then(watched.kind === 'events');
        },
      );
    });
  }

  /** Follows changes by long polling until `removeWatcher`. */
  addWatcher(): void {
    this.watchers++;
    this.poll();
  }

  /** Ends what `addWatcher` began; without watchers no further poll starts. */
  removeWatcher(): void {
    this.watchers--;
  }

  private poll(): void {
    if (this.polling || this.watchers === 0 || !this.loaded) return;
    this.polling = true;
    this.context.requestStore(
      { kind: 'watch', prefix: KEY_PREFIX, after: this.cache.revision, waitMs: POLL_MS },
      2,
      (result) => {
        this.polling = false;
        if (result.kind === 'events') {
          this.applyEvents(result.events, result.revision);
          this.poll();
        } else if (result.kind === 'tooOld') this.invalidate();
        else
          this.context.after(RETRY_DELAY, () => {
            this.poll();
          });
      },
    );
  }
}

/** Interval of bookmark events, which tell a watch's client its current version. */
export const BOOKMARK_INTERVAL: Micros = 15 * SECOND;
