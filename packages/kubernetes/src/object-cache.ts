/**
 * A node's cache of all objects at one store revision, with the recent changes that led to it. It does no I/O: the
 * caller feeds it listed items and watch events. The object map is persistent (structural sharing), so that a paginated
 * list can hold on to the snapshot of its first page without a copy.
 */
import type { StoredItem, StoreEvent } from '@shaleyoke/core/domain/key-value-store';
import { Order, RedBlackTree } from 'effect';

import {
  guardKey,
  MANIFEST_PREFIX,
  OBJECT_PREFIX,
  type ObjectRecord,
  parseObjectKey,
  readManifestChunk,
  readObject,
} from './records.js';
import { readToken, TOKEN_PREFIX, type TokenRecord } from './tokens.js';

/** An object with its stored record and manifest. */
export interface KubeObject {
  readonly key: string;
  readonly namespace: string;
  readonly name: string;
  readonly record: ObjectRecord;
  /** The manifest as the client sent it. */
  readonly manifest: Readonly<Record<string, unknown>>;
  /** Store revision of the last change. */
  readonly version: number;
}

/** One change of an object; `before` is null for a creation and `after` for a deletion. */
export interface Change {
  readonly version: number;
  readonly before: KubeObject | null;
  readonly after: KubeObject | null;
}

/** Objects by key, in key order. */
export type Objects = RedBlackTree.RedBlackTree<string, KubeObject>;

/** The uid in a guard's key; null for any other key. */
const uidOfGuardKey = (key: string): string | null => {
  const uid = key.startsWith(MANIFEST_PREFIX) ? key.slice(MANIFEST_PREFIX.length).split('/')[0]! : '';
  return uid !== '' && key === guardKey(uid) ? uid : null;
};

/** Maximum number of changes kept for watches that resume. */
const MAX_HISTORY = 5_000;

/** Applies store items and events, and answers lookups and watch resumptions. */
export class ObjectCache {
  /** The current snapshot. */
  objects: Objects = RedBlackTree.empty<string, KubeObject>(Order.string);
  /** Store revision up to which the cache is complete; -1 before the first load. */
  revision = -1;
  /** Every change after this revision is in the history. */
  historyStart = -1;
  private history: Change[] = [];
  private readonly chunks = new Map<string, string>();
  /** Versions of the guards of chunks whose object is not created yet, by uid. */
  readonly guards = new Map<string, number>();
  /** Bearer tokens by id. */
  readonly tokens = new Map<string, TokenRecord>();
  /** Keys of objects that can't be decoded. */
  readonly unreadable = new Set<string>();

  /** Replaces the content by a list that was read in pages, the first one at revision `from`. */
  reset(items: readonly StoredItem[], from: number): void {
    this.objects = RedBlackTree.empty<string, KubeObject>(Order.string);
    this.chunks.clear();
    this.tokens.clear();
    this.guards.clear();
    this.unreadable.clear();
    this.history = [];
    for (const item of items) this.applyOther(item.key, item.value, item.version);
    for (const item of items) this.applyObject(item.key, item.value, item.version);
    this.revision = from;
    this.historyStart = from;
  }

  /** Starts the history at the current revision: earlier changes come from pages read at different revisions. */
  resetHistory(): void {
    this.history = [];
    this.historyStart = this.revision;
  }

  /** Applies a manifest chunk, a guard or a token. */
  private applyOther(key: string, value: unknown, version: number): void {
    const guardedUid = uidOfGuardKey(key);
    if (guardedUid !== null) this.guards.set(guardedUid, version);
    else if (key.startsWith(MANIFEST_PREFIX)) {
      const chunk = readManifestChunk(value);
      if (chunk !== null) this.chunks.set(key.slice(MANIFEST_PREFIX.length), chunk.text);
    } else if (key.startsWith(TOKEN_PREFIX)) {
      const id = key.slice(TOKEN_PREFIX.length);
      const token = readToken(value);
      // A token that can't be decoded grants no access.
      if (token === null) this.tokens.delete(id);
      else this.tokens.set(id, token);
    }
  }

  /** Number of objects. */
  get count(): number {
    return RedBlackTree.size(this.objects);
  }

  /** The object at a key; null if there is none or it can't be decoded. */
  get(key: string): KubeObject | null {
    const found = RedBlackTree.findFirst(this.objects, key);
    return found._tag === 'Some' ? found.value : null;
  }

  private manifestOf(record: ObjectRecord): Record<string, unknown> | null {
    let text = '';
    for (let index = 0; index < record.pieces; index++) {
      const chunk = this.chunks.get(`${record.uid}/${index}`);
      if (chunk === undefined) return null;
      text += chunk;
    }
    try {
      return JSON.parse(text) as Record<string, unknown>;
    } catch {
      return null;
    }
  }

  private applyObject(key: string, value: unknown, version: number): KubeObject | null {
    if (!key.startsWith(OBJECT_PREFIX)) return null;
    const before = this.get(key);
    if (before !== null && before.version >= version) return before;
    const name = parseObjectKey(key);
    const record = name === null ? null : readObject(value);
    const sameObject = before !== null && before.record.uid === record?.uid;
    const manifest = record === null ? null : sameObject ? before.manifest : this.manifestOf(record);
    if (name === null || record === null || manifest === null) {
      // Written by another version, or corrupt: hidden from clients and never overwritten.
      this.unreadable.add(key);
      return null;
    }
    this.unreadable.delete(key);
    const object: KubeObject = { key, ...name, record, manifest, version };
    this.objects = RedBlackTree.insert(RedBlackTree.removeFirst(this.objects, key), key, object);
    return object;
  }

  /**
   * Applies events in order; `revision` is the one up to which they are complete. Events at or below the cache's own
   * revision are skipped. Returns the changes of objects.
   */
  apply(events: readonly StoreEvent[], revision: number): Change[] {
    const fresh = events.filter((e) => e.version > this.revision);
    // An object and its manifest arrive in one transaction, in any order within it.
    for (const event of fresh)
      if (event.kind === 'put') this.applyOther(event.key, event.value, event.version);
    const changes: Change[] = [];
    for (const event of fresh) {
      const before = this.get(event.key);
      if (event.kind === 'put') {
        const after = this.applyObject(event.key, event.value, event.version);
        if (after !== null && after !== before) changes.push({ version: event.version, before, after });
        continue;
      }
      this.unreadable.delete(event.key);
      const guardedUid = uidOfGuardKey(event.key);
      if (guardedUid !== null) this.guards.delete(guardedUid);
      if (event.key.startsWith(MANIFEST_PREFIX)) this.chunks.delete(event.key.slice(MANIFEST_PREFIX.length));
      if (event.key.startsWith(TOKEN_PREFIX)) this.tokens.delete(event.key.slice(TOKEN_PREFIX.length));
      if (before === null) continue;
      this.objects = RedBlackTree.removeFirst(this.objects, event.key);
      changes.push({ version: event.version, before, after: null });
    }
    this.revision = Math.max(this.revision, revision);
    this.history.push(...changes);
    if (this.history.length > MAX_HISTORY) {
      const dropped = this.history.length - Math.floor(MAX_HISTORY / 2);
      // Watches that resume from before the dropped changes have to list again.
      this.historyStart = this.history[dropped - 1]!.version;
      this.history = this.history.slice(dropped);
    }
    return changes;
  }

  /** Changes after a version; null if they are no longer in the history. */
  changesSince(version: number): readonly Change[] | null {
    if (version < this.historyStart) return null;
    return this.history.filter((c) => c.version > version);
  }

  /** Chunk indexes by uid, for uids that have chunks or a guard but no object. */
  orphanedManifests(): Map<string, number[]> {
    const orphans = new Map<string, number[]>([...this.guards.keys()].map((uid) => [uid, []]));
    const referenced = new Set([...RedBlackTree.values(this.objects)].map((o) => o.record.uid));
    for (const key of this.chunks.keys()) {
      const [uid, index] = key.split('/');
      if (uid === undefined || referenced.has(uid)) continue;
      const indexes = orphans.get(uid) ?? [];
      orphans.set(uid, indexes);
      indexes.push(Number(index));
    }
    return orphans;
  }
}

/** Objects of the given namespaces after a key, in key order. */
export function* objectsAfter(
  objects: Objects,
  namespaces: ReadonlySet<string>,
  after: string,
): Iterable<KubeObject> {
  for (const [key, object] of RedBlackTree.greaterThan(objects, after))
    if (key > after && namespaces.has(object.namespace)) yield object;
}
