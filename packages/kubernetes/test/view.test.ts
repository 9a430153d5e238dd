/** The view against a plain ledger: lists that are put together from several moments, and changes told more than once. */
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

/** A ledger of what happens to three objects; each has its manifest put and removed with it. */
const ledgerOf = (steps: readonly number[]): { events: StoreEvent[]; stores: Map<string, StoredItem>[] } => {
  const events: StoreEvent[] = [];
  const stores = [new Map<string, StoredItem>()];
  const put = (store: Map<string, StoredItem>, key: string, value: unknown, version: number): void => {
    events.push({ kind: 'put', key, value, version });
    store.set(key, { key, value, version, lease: null });
  };
  steps.forEach((s, i) => {
    const version = i + 1;
    const store = new Map(stores.at(-1));
    const key = objectKey('n', NAMES[s % NAMES.length]!);
    const before = store.get(key)?.value as ObjectRecord | undefined;
    if (before === undefined) {
      put(store, key, record(`u${version}`, 0), version);
      put(store, manifestKey(`u${version}`, 0), { v: 1, text: '{"metadata":{}}' }, version);
    } else if (s % 2 === 0) put(store, key, record(before.uid, before.status.done + 1), version);
    else
      for (const gone of [manifestKey(before.uid, 0), key]) {
        events.push({ kind: 'delete', key: gone, version });
        store.delete(gone);
      }
    stores.push(store);
  });
  return { events, stores };
};

const shown = (v: ObjectCache): string[] =>
  NAMES.map((n) => v.get(objectKey('n', n)))
    .filter((o) => o !== null)
    .map((o) => `${o.name} ${o.record.uid} ${o.version}`);
const wanted = (store: ReadonlyMap<string, StoredItem>): string[] =>
  NAMES.filter((n) => store.has(objectKey('n', n))).map((n) => {
    const it = store.get(objectKey('n', n))!;
    return `${n} ${(it.value as ObjectRecord).uid} ${it.version}`;
  });

test('whatever is told again, late or in parts, the view is the ledger’s, and so are its changes', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(11), { minLength: 1, maxLength: 60 }),
      fc.nat(),
      fc.nat(8),
      fc.array(fc.tuple(fc.nat(12), fc.nat(12)), { maxLength: 30 }),
      (steps, start, spread, batches) => {
        const { events, stores } = ledgerOf(steps);
        const end = stores.length - 1;
        const from = start % stores.length;
        const to = Math.min(end, from + spread);
        const v = new ObjectCache();
        // Each key is read at a moment of its own between the first page and the last.
        const items: StoredItem[] = [];
        const keys = new Set(events.map((e) => e.key));
        [...keys].sort().forEach((key, i, all) => {
          const at = from + Math.floor(((to - from) * i) / all.length);
          const it = stores[at]!.get(key);
          if (it !== undefined) items.push(it);
        });
        v.reset(items, from);
        const between = (a: number, b: number): StoreEvent[] =>
          events.filter((e) => e.version > a && e.version <= b);
        v.apply(between(from, to), to);
        v.resetHistory();
        assert.deepEqual(shown(v), wanted(stores[to]!));
        const told: string[] = [];
        const lines = (changes: ReturnType<ObjectCache['apply']>): string[] =>
          changes.map((c) => `${c.version} ${c.before?.record.uid ?? '-'} ${c.after?.record.uid ?? '-'}`);
        for (const [back, on] of [...batches, [0, end] as const]) {
          // Two polls overlap: what one brought comes again with the other, and older than what is known.
          const since = Math.max(to, v.revision - back);
          const until = Math.min(end, since + on);
          told.push(...lines(v.apply(between(since, until), until)));
          assert.deepEqual(shown(v), wanted(stores[v.revision]!), `at ${v.revision}`);
        }
        assert.equal(v.revision, end);
        const all = [];
        for (const e of between(to, end)) {
          if (!e.key.startsWith('k/o/')) continue;
          const uid = (n: number): string =>
            (stores[n]!.get(e.key)?.value as ObjectRecord | undefined)?.uid ?? '-';
          all.push(`${e.version} ${uid(e.version - 1)} ${uid(e.version)}`);
        }
        assert.deepEqual(told, all);
        assert.deepEqual(lines([...(v.changesSince(to) ?? [])]), all);
        assert.equal(to === 0 ? null : v.changesSince(to - 1), null);
      },
    ),
    { seed: 8, numRuns: 600 },
  );
});
