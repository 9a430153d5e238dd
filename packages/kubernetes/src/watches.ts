/**
 * Watches: each client gets every change after its version exactly once and in order, until it disconnects or has to
 * list again.
 */
import type { NodeContext } from '@shaleyoke/core/node/node-context';

import { type KubeAnswer, type KubeRequest, refuse } from './api.js';
import { BOOKMARK_INTERVAL, type CacheSync } from './cache-sync.js';
import { matchesSelector } from './lists.js';
import { type Change, type KubeObject, objectsAfter } from './object-cache.js';
import { jobOf } from './render.js';

/** Maximum number of concurrent watches on a node. */
const MAX_WATCHES = 1_000;

interface Watch {
  readonly query: KubeRequest & { verb: 'watch' };
  readonly namespaces: ReadonlySet<string>;
  /** All changes up to this version were sent. */
  sentUpTo: number;
}

/** The open watches of a node's clients. */
export class Watches {
  private readonly open = new Map<number, Watch>();
  private bookmarksScheduled = false;

  constructor(
    private readonly context: NodeContext,
    private readonly cacheSync: CacheSync,
    private readonly answer: (request: number, answer: KubeAnswer, last: boolean) => void,
  ) {}

  /** Starts a watch. The cache has to be at least as recent as the request. */
  begin(request: number, query: KubeRequest & { verb: 'watch' }): void {
    if (this.open.size >= MAX_WATCHES) {
      this.answer(request, refuse(429, 'TooManyRequests', `${MAX_WATCHES} watches are open here`), true);
      return;
    }
    const { cache } = this.cacheSync;
    const watch: Watch = {
      query,
      namespaces: new Set(query.namespaces),
      sentUpTo: query.from ?? cache.revision,
    };
    const missed = query.from === null ? [] : cache.changesSince(query.from);
    if (missed === null || (query.from !== null && query.from > cache.revision)) {
      this.answer(
        request,
        refuse(
          410,
          'Expired',
          `resourceVersion ${query.from} is too old, or not of this service; list again`,
        ),
        true,
      );
      return;
    }
    this.open.set(request, watch);
    this.cacheSync.addWatcher();
    if (query.from === null)
      for (const object of objectsAfter(cache.objects, watch.namespaces, ''))
        if (matchesSelector(query.selector, object)) this.sendEvent(request, 'ADDED', object, object.version);
    this.sendChanges(request, watch, missed);
    watch.sentUpTo = cache.revision;
    this.scheduleBookmarks();
  }

  private sendEvent(
    request: number,
    type: 'ADDED' | 'MODIFIED' | 'DELETED',
    object: KubeObject,
    version: number,
  ): void {
    this.answer(request, { kind: 'event', type, object: jobOf({ ...object, version }), version }, false);
  }

  /** An object that enters or leaves a watch's selection is ADDED or DELETED for its client. */
  private sendChanges(request: number, watch: Watch, changes: readonly Change[]): void {
    for (const change of changes) {
      if (change.version <= watch.sentUpTo) continue;
      const isSelected = (o: KubeObject | null): boolean =>
        o !== null && watch.namespaces.has(o.namespace) && matchesSelector(watch.query.selector, o);
      const [before, after] = [isSelected(change.before), isSelected(change.after)];
      // Deleted and created again between two polls: the client needs a DELETED event for the first object.
      const replaced = before && after && change.before!.record.uid !== change.after!.record.uid;
      if (before && (!after || replaced)) this.sendEvent(request, 'DELETED', change.before!, change.version);
      if (after)
        this.sendEvent(request, before && !replaced ? 'MODIFIED' : 'ADDED', change.after!, change.version);
    }
  }

  /** Sends changes to all watches that select them. */
  broadcast(changes: readonly Change[]): void {
    for (const [request, watch] of this.open) {
      this.sendChanges(request, watch, changes);
      watch.sentUpTo = Math.max(watch.sentUpTo, this.cacheSync.cache.revision);
    }
  }

  /** Sends bookmarks periodically while there are watches. */
  private scheduleBookmarks(): void {
    if (this.bookmarksScheduled || this.open.size === 0) return;
    this.bookmarksScheduled = true;
    this.context.after(BOOKMARK_INTERVAL, () => {
      this.bookmarksScheduled = false;
      for (const [request, watch] of this.open)
        if (watch.query.bookmarks) {
          const object = {
            kind: 'Job',
            apiVersion: 'batch/v1',
            metadata: { resourceVersion: String(watch.sentUpTo), creationTimestamp: null },
          };
          this.answer(request, { kind: 'event', type: 'BOOKMARK', object, version: watch.sentUpTo }, false);
        }
      this.scheduleBookmarks();
    });
  }

  /** Closes a watch whose client is gone. */
  end(request: number): void {
    if (this.open.delete(request)) this.cacheSync.removeWatcher();
  }

  /** Closes all watches after changes may have been lost; their clients have to list again. */
  endAll(): void {
    for (const request of [...this.open.keys()]) {
      this.end(request);
      this.answer(request, refuse(410, 'Expired', 'changes are no longer known; list again'), true);
    }
  }
}
