/**
 * All objects as one node knows them, at one number of the ledger, with the changes that led there. A state machine: it
 * is told of what the state service lists and of what changed. Maps share their structure, so that a list that is
 * read in parts keeps the moment of its first part at no cost.
 */
import type { StoredItem, StoreEvent } from '@shaleyoke/core/domain/key-value-store';
import { Order, RedBlackTree } from 'effect';

import { guardKey, MANIFESTS, nameOf, type ObjectRecord, OBJECTS, readObject, readPiece } from './records.js';
import { readToken, type TokenRecord, TOKENS } from './tokens.js';

export interface KubeObject {
  readonly key: string;
  readonly namespace: string;
  readonly name: string;
  readonly record: ObjectRecord;
  /** As it was sent. */
  readonly manifest: Readonly<Record<string, unknown>>;
  /** The ledger's number of its last change. */
  readonly version: number;
}

export interface Change {
  readonly version: number;
  readonly before: KubeObject | null;
  readonly after: KubeObject | null;
}

export type Objects = RedBlackTree.RedBlackTree<string, KubeObject>;

/** The uid of a guard's key; null for other keys. */
const guardedBy = (key: string): string | null => {
  const uid = key.startsWith(MANIFESTS) ? key.slice(MANIFESTS.length).split('/')[0]! : '';
  return uid !== '' && key === guardKey(uid) ? uid : null;
};

/** Changes that are kept for watches. */
const KEPT = 5_000;

export class View {
  objects: Objects = RedBlackTree.empty<string, KubeObject>(Order.string);
  /** The ledger's number up to which all is known; -1: nothing yet. */
  at = -1;
  /** All changes after this number are in `log`. */
  logFrom = -1;
  private log: Change[] = [];
  private readonly pieces = new Map<string, string>();
  /** By uid: version of the guard of pieces that wait for their object. */
  readonly guards = new Map<string, number>();
  /** By id. */
  readonly tokens = new Map<string, TokenRecord>();
  /** Records that can't be read, by key. */
  readonly unreadable = new Set<string>();

  /** Begins anew from a list that was read page by page, the first page at the number `from`. */
  reset(items: readonly StoredItem[], from: number): void {
    this.objects = RedBlackTree.empty<string, KubeObject>(Order.string);
    this.pieces.clear();
    this.tokens.clear();
    this.guards.clear();
    this.unreadable.clear();
    this.log = [];
    for (const it of items) this.putOther(it.key, it.value, it.version);
    for (const it of items) this.put(it.key, it.value, it.version);
    this.at = from;
    this.logFrom = from;
  }

  /** From now on watches may begin here: what came before was put together from several moments. */
  settle(): void {
    this.log = [];
    this.logFrom = this.at;
  }

  /** Pieces of manifests, their guards, and tokens. */
  private putOther(key: string, value: unknown, version: number): void {
    const guarded = guardedBy(key);
    if (guarded !== null) this.guards.set(guarded, version);
    else if (key.startsWith(MANIFESTS)) {
      const piece = readPiece(value);
      if (piece !== null) this.pieces.set(key.slice(MANIFESTS.length), piece.text);
    } else if (key.startsWith(TOKENS)) {
      const id = key.slice(TOKENS.length);
      const token = readToken(value);
      // One that can't be read opens nothing.
      if (token === null) this.tokens.delete(id);
      else this.tokens.set(id, token);
    }
  }

  get count(): number {
    return RedBlackTree.size(this.objects);
  }

  get(key: string): KubeObject | null {
    const found = RedBlackTree.findFirst(this.objects, key);
    return found._tag === 'Some' ? found.value : null;
  }

  private manifestOf(record: ObjectRecord): Record<string, unknown> | null {
    let text = '';
    for (let n = 0; n < record.pieces; n++) {
      const piece = this.pieces.get(`${record.uid}/${n}`);
      if (piece === undefined) return null;
      text += piece;
    }
    try {
      return JSON.parse(text) as Record<string, unknown>;
    } catch {
      return null;
    }
  }

  private put(key: string, value: unknown, version: number): KubeObject | null {
    if (!key.startsWith(OBJECTS)) return null;
    const before = this.get(key);
    if (before !== null && before.version >= version) return before;
    const name = nameOf(key);
    const record = name === null ? null : readObject(value);
    const same = before !== null && before.record.uid === record?.uid;
    const manifest = record === null ? null : same ? before.manifest : this.manifestOf(record);
    if (name === null || record === null || manifest === null) {
      // Another version's, or damaged: it is not shown, and nothing is written over it.
      this.unreadable.add(key);
      return null;
    }
    this.unreadable.delete(key);
    const object: KubeObject = { key, ...name, record, manifest, version };
    this.objects = RedBlackTree.insert(RedBlackTree.removeFirst(this.objects, key), key, object);
    return object;
  }

  /** Events after `at`, in their order, and the number up to which those are all. What is older is known. */
  apply(events: readonly StoreEvent[], revision: number): Change[] {
    const fresh = events.filter((e) => e.version > this.at);
    // An object and its manifest come in one transaction, in any order within it.
    for (const e of fresh) if (e.kind === 'put') this.putOther(e.key, e.value, e.version);
    const changes: Change[] = [];
    for (const e of fresh) {
      const before = this.get(e.key);
      if (e.kind === 'put') {
        const after = this.put(e.key, e.value, e.version);
        if (after !== null && after !== before) changes.push({ version: e.version, before, after });
        continue;
      }
      this.unreadable.delete(e.key);
      const guarded = guardedBy(e.key);
      if (guarded !== null) this.guards.delete(guarded);
      if (e.key.startsWith(MANIFESTS)) this.pieces.delete(e.key.slice(MANIFESTS.length));
      if (e.key.startsWith(TOKENS)) this.tokens.delete(e.key.slice(TOKENS.length));
      if (before === null) continue;
      this.objects = RedBlackTree.removeFirst(this.objects, e.key);
      changes.push({ version: e.version, before, after: null });
    }
    this.at = Math.max(this.at, revision);
    this.log.push(...changes);
    if (this.log.length > KEPT) {
      const dropped = this.log.length - Math.floor(KEPT / 2);
      // What was dropped is no longer known: watches from before it must begin anew.
      this.logFrom = this.log[dropped - 1]!.version;
      this.log = this.log.slice(dropped);
    }
    return changes;
  }

  /** Changes after a version; null where they are no longer known. */
  since(version: number): readonly Change[] | null {
    if (version < this.logFrom) return null;
    return this.log.filter((c) => c.version > version);
  }

  /** Uids of which there are pieces, or a guard, and no object; with the pieces. */
  unnamed(): Map<string, number[]> {
    const out = new Map<string, number[]>([...this.guards.keys()].map((uid) => [uid, []]));
    const named = new Set([...RedBlackTree.values(this.objects)].map((o) => o.record.uid));
    for (const key of this.pieces.keys()) {
      const [uid, n] = key.split('/');
      if (uid === undefined || named.has(uid)) continue;
      const list = out.get(uid) ?? [];
      out.set(uid, list);
      list.push(Number(n));
    }
    return out;
  }
}

/** Objects of some namespaces from a key on, in the order of keys. */
export function* objectsAfter(
  objects: Objects,
  namespaces: ReadonlySet<string>,
  after: string,
): Iterable<KubeObject> {
  for (const [key, o] of RedBlackTree.greaterThan(objects, after))
    if (key > after && namespaces.has(o.namespace)) yield o;
}
