/** Paginated lists: all pages come from the snapshot of the first page. */
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';

import { type Json, type KubeAnswer, type KubeRequest, refuse, type Selector } from './api.js';
import { type KubeObject, type ObjectCache, type Objects, objectsAfter } from './object-cache.js';
import { jobOf, labelsOf } from './render.js';

/** Maximum number of objects in a page, whatever limit the client sets. */
const MAX_ITEMS = 500;
/** Snapshots kept for lists that have further pages. */
const MAX_SNAPSHOTS = 64;
/** Lifetime of such a snapshot. */
const SNAPSHOT_TTL: Micros = 120 * SECOND;

/** Whether an object has the name and all the labels of a selector. */
export const matchesSelector = (selector: Selector, object: KubeObject): boolean => {
  if (selector.name !== null && selector.name !== object.name) return false;
  const labels = labelsOf(object);
  return Object.entries(selector.labels).every(([k, v]) => labels[k] === v);
};

const encodeContinueToken = (version: number, after: string): string =>
  Buffer.from(JSON.stringify([version, after])).toString('base64url');
const decodeContinueToken = (token: string): readonly [number, string] | null => {
  try {
    const parsed: unknown = JSON.parse(Buffer.from(token, 'base64url').toString());
    return Array.isArray(parsed) && Number.isInteger(parsed[0]) && typeof parsed[1] === 'string'
      ? [parsed[0] as number, parsed[1]]
      : null;
  } catch {
    return null;
  }
};

/** Answers list requests and keeps the snapshots that continue tokens refer to. */
export class Lists {
  /** Snapshots by version; they share the structure that did not change. */
  private readonly snapshots = new Map<number, { readonly objects: Objects; readonly at: Micros }>();

  constructor(
    private readonly cache: ObjectCache,
    private readonly now: () => Micros,
  ) {}

  /** One page of a list. The cache has to be at least as recent as the request. */
  answer(query: KubeRequest & { verb: 'list' }): KubeAnswer {
    let version = this.cache.revision;
    let { objects } = this.cache;
    let after = '';
    if (query.token !== null) {
      const token = decodeContinueToken(query.token);
      if (token === null) return refuse(400, 'BadRequest', 'continue: is no token of this server');
      const snapshot = this.snapshots.get(token[0]);
      if (snapshot === undefined)
        return refuse(410, 'Expired', 'continue: too old, or of another node; list again from the beginning');
      [version, after] = token;
      ({ objects } = snapshot);
    }
    const items: Json[] = [];
    const maxItems = Math.min(query.limit ?? MAX_ITEMS, MAX_ITEMS);
    let lastKey = '';
    let more = false;
    for (const object of objectsAfter(objects, new Set(query.namespaces), after)) {
      if (!matchesSelector(query.selector, object)) continue;
      if (items.length >= maxItems) {
        more = true;
        break;
      }
      items.push(jobOf(object));
      lastKey = object.key;
    }
    if (more) this.keepSnapshot(version, objects);
    return { kind: 'list', version, items, token: more ? encodeContinueToken(version, lastKey) : null };
  }

  private keepSnapshot(version: number, objects: Objects): void {
    const now = this.now();
    this.snapshots.delete(version);
    this.snapshots.set(version, { objects, at: now });
    for (const [cachedVersion, snapshot] of this.snapshots)
      if (this.snapshots.size > MAX_SNAPSHOTS || snapshot.at < now - SNAPSHOT_TTL)
        this.snapshots.delete(cachedVersion);
      else break;
  }
}
