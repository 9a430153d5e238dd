/**
 * The object cache against a plain event history: lists of pages from several revisions, and events received
 * repeatedly.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { StoredItem, StoreEvent } from '@shaleyoke/core/domain/key-value-store';
import { ObjectCache } from '@shaleyoke/kubernetes/object-cache';
import { manifestKey, newStatus, objectKey, type ObjectRecord } from '@shaleyoke/kubernetes/records';
import fc from 'fast-check';

const NAMES = ['a', 'b', 'c'];
const record = (uid: string, done: number): ObjectRecord => ({
  v: 1,
  uid,
  id: `run-${uid}`,
  at: 1,
  pieces: 1,
  status: { ...newStatus(), done },
  deleting: null,
});

/** A history of three objects, each stored and deleted with its manifest, and the store after each step. */
const historyOf = (steps: readonly number[]): { events: StoreEvent[]; stores: Map<string, StoredItem>[] } => {
  const events: StoreEvent[] = [];
  const stores = [new Map<string, StoredItem>()];
  const put = (store: Map<string, StoredItem>, key: string, value: unknown, version: number): void => {
    events.push({ kind: 'put', key, value, version });
    store.set(key, { key, value, version, lease: null });
  };
  steps.forEach((step, i) => {
    const version = i + 1;
    const store = new Map(stores.at(-1));
    const key = objectKey('n', NAMES[step % NAMES.length]!);
    const before = store.get(key)?.value as ObjectRecord | undefined;
    if (before === undefined) {
      put(store, key, record(`u${version}`, 0), version);
      put(store, manifestKey(`u${version}`, 0), { v: 1, text: '{"metadata":{}}' }, version);
    } else if (step % 2 === 0) put(store, key, record(before.uid, before.status.done + 1), version);
    else
      for (const gone of [manifestKey(before.uid, 0), key]) {
        events.push({ kind: 'delete', key: gone, version });
        store.delete(gone);
      }
    stores.push(store);
  });
  return { events, stores };
};

const cachedObjects = (cache: ObjectCache): string[] =>
  NAMES.map((n) => cache.get(objectKey('n', n)))
    .filter((o) => o !== null)
    .map((o) => `${o.name} ${o.record.uid} ${o.version}`);
const storedObjects = (store: ReadonlyMap<string, StoredItem>): string[] =>
  NAMES.filter((n) => store.has(objectKey('n', n))).map((n) => {
    const item = store.get(objectKey('n', n))!;
    return `${n} ${(item.value as ObjectRecord).uid} ${item.version}`;
  });

test('with repeated, late and partial events the cache and its changes equal those of the history', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(11), { minLength: 1, maxLength: 60 }),
      fc.nat(),
      fc.nat(8),
      fc.array(fc.tuple(fc.nat(12), fc.nat(12)), { maxLength: 30 }),
      (steps, start, spread, batches) => {
        const { events, stores } = historyOf(steps);
        const end = stores.length - 1;
        const from = start % stores.length;
        const to = Math.min(end, from + spread);
        const cache = new ObjectCache();
        // Each key is read at its own revision between the first page and the last.
        const items: StoredItem[] = [];
        const keys = new Set(events.map((e) => e.key));
        [...keys].sort().forEach((key, i, all) => {
          const at = from + Math.floor(((to - from) * i) / all.length);
          const item = stores[at]!.get(key);
          if (item !== undefined) items.push(item);
        });
        cache.reset(items, from);
        const between = (a: number, b: number): StoreEvent[] =>
          events.filter((e) => e.version > a && e.version <= b);
        cache.apply(between(from, to), to);
        cache.resetHistory();
        assert.deepEqual(cachedObjects(cache), storedObjects(stores[to]!));
        const told: string[] = [];
        const lines = (changes: ReturnType<ObjectCache['apply']>): string[] =>
          changes.map((c) => `${c.version} ${c.before?.record.uid ?? '-'} ${c.after?.record.uid ?? '-'}`);
        for (const [back, forward] of [...batches, [0, end] as const]) {
          // Overlapping polls: events that are already applied come again.
          const since = Math.max(to, cache.revision - back);
          const until = Math.min(end, since + forward);
          told.push(...lines(cache.apply(between(since, until), until)));
          assert.deepEqual(
            cachedObjects(cache),
            storedObjects(stores[cache.revision]!),
            `at ${cache.revision}`,
          );
        }
        assert.equal(cache.revision, end);
        const all = [];
        for (const event of between(to, end)) {
          if (!event.key.startsWith('k/o/')) continue;
          const uid = (version: number): string =>
            (stores[version]!.get(event.key)?.value as ObjectRecord | undefined)?.uid ?? '-';
          all.push(`${event.version} ${uid(event.version - 1)} ${uid(event.version)}`);
        }
        assert.deepEqual(told, all);
        assert.deepEqual(lines([...(cache.changesSince(to) ?? [])]), all);
        assert.equal(to === 0 ? null : cache.changesSince(to - 1), null);
      },
    ),
    { seed: 8, numRuns: 600 },
  );
});
