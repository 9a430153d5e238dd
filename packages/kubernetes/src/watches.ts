/** Watches: each client is told of every change after its version, once and in order, until it is gone or must list again. */
import type { NodeContext } from '@shaleyoke/core/node/node-context';

import { type KubeAnswer, type KubeRequest, refuse } from './api.js';
import { BOOKMARK_EVERY, type Follow } from './follow.js';
import { selects } from './lists.js';
import { jobOf } from './render.js';
import { type Change, type KubeObject, objectsAfter } from './view.js';

/** Watches on a node at the same time. */
const MOST = 1_000;

interface Watch {
  readonly r: KubeRequest & { verb: 'watch' };
  readonly namespaces: ReadonlySet<string>;
  /** All changes up to this version have been told. */
  told: number;
}

export class Watches {
  private readonly open = new Map<number, Watch>();
  private ticking = false;

  constructor(
    private readonly ctx: NodeContext,
    private readonly follow: Follow,
    private readonly answer: (request: number, answer: KubeAnswer, last: boolean) => void,
  ) {}

  /** The view is no older than the request. */
  begin(request: number, r: KubeRequest & { verb: 'watch' }): void {
    if (this.open.size >= MOST) {
      this.answer(request, refuse(429, 'TooManyRequests', `${MOST} watches are open here`), true);
      return;
    }
    const { view } = this.follow;
    const w: Watch = { r, namespaces: new Set(r.namespaces), told: r.from ?? view.at };
    const missed = r.from === null ? [] : view.since(r.from);
    if (missed === null || (r.from !== null && r.from > view.at)) {
      this.answer(
        request,
        refuse(410, 'Expired', `resourceVersion ${r.from} is too old, or not of this service; list again`),
        true,
      );
      return;
    }
    this.open.set(request, w);
    this.follow.watch();
    if (r.from === null)
      for (const o of objectsAfter(view.objects, w.namespaces, ''))
        if (selects(r.selector, o)) this.event(request, 'ADDED', o, o.version);
    this.pass(request, w, missed);
    w.told = view.at;
    this.tick();
  }

  private event(
    request: number,
    type: 'ADDED' | 'MODIFIED' | 'DELETED',
    o: KubeObject,
    version: number,
  ): void {
    this.answer(request, { kind: 'event', type, object: jobOf({ ...o, version }), version }, false);
  }

  /** What enters or leaves a selection is added or deleted for its client, whatever it is for others. */
  private pass(request: number, w: Watch, changes: readonly Change[]): void {
    for (const c of changes) {
      if (c.version <= w.told) continue;
      const seen = (o: KubeObject | null): boolean =>
        o !== null && w.namespaces.has(o.namespace) && selects(w.r.selector, o);
      const [before, after] = [seen(c.before), seen(c.after)];
      // Deleted and created again between two looks: the one before has to be taken away first.
      const another = before && after && c.before!.record.uid !== c.after!.record.uid;
      if (before && (!after || another)) this.event(request, 'DELETED', c.before!, c.version);
      if (after) this.event(request, before && !another ? 'MODIFIED' : 'ADDED', c.after!, c.version);
    }
  }

  tell(changes: readonly Change[]): void {
    for (const [request, w] of this.open) {
      this.pass(request, w, changes);
      w.told = Math.max(w.told, this.follow.view.at);
    }
  }

  /** Bookmarks, while there is a watch that wants them. */
  private tick(): void {
    if (this.ticking || this.open.size === 0) return;
    this.ticking = true;
    this.ctx.after(BOOKMARK_EVERY, () => {
      this.ticking = false;
      for (const [request, w] of this.open)
        if (w.r.bookmarks) {
          const object = {
            kind: 'Job',
            apiVersion: 'batch/v1',
            metadata: { resourceVersion: String(w.told), creationTimestamp: null },
          };
          this.answer(request, { kind: 'event', type: 'BOOKMARK', object, version: w.told }, false);
        }
      this.tick();
    });
  }

  end(request: number): void {
    if (this.open.delete(request)) this.follow.unwatch();
  }

  /** Changes may be missing: every client begins anew. */
  endAll(): void {
    for (const request of [...this.open.keys()]) {
      this.end(request);
      this.answer(request, refuse(410, 'Expired', 'changes are no longer known; list again'), true);
    }
  }
}
