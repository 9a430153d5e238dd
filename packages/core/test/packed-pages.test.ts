/** Packed records: lost, late and doubled transactions, size limits, and the form of the version before. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { LEADER_KEY } from '@shaleyoke/core/codecs/keys';
import { bytesOf } from '@shaleyoke/core/codecs/value-size';
import type {
  StoredItem,
  StoreOperation,
  StoreReply,
  StoreWrite,
} from '@shaleyoke/core/domain/key-value-store';
import { TaskBitset } from '@shaleyoke/core/domain/task-bitset';
import { SECOND } from '@shaleyoke/core/domain/time';
import { NodeContext } from '@shaleyoke/core/node/node-context';
import { FencedWriter } from '@shaleyoke/core/storage/fenced-writer';
import { MachineStore } from '@shaleyoke/core/storage/machine-store';
import { PackedPages, pageRoom, readPage } from '@shaleyoke/core/storage/packed-pages';
import { ProgressStore } from '@shaleyoke/core/storage/progress-store';
import { Random } from '@shaleyoke/emulator/random';
import { settingsFor } from '@shaleyoke/emulator/site';
import { specOf } from '@shaleyoke/emulator/specs';

import { runningAttempt } from './cluster-fixtures.js';

const settings = settingsFor('n0', ['n0'], '[[cluster.teams]]\nname = "t"\n');

/** A store that loses requests and replies, and executes some late. */
class UnreliableStore {
  readonly items = new Map<string, StoredItem>();
  revision = 1;
  largest = 0;
  puts = 0;
  transactions = 0;
  refusals = 0;
  limits = { valueBytes: 16 * 1024, ops: 16 };
  /** Nothing is executed any more after so many transactions. */
  stopsAfter = Infinity;
  private late: { at: number; run: () => void }[] = [];

  constructor(
    readonly context: NodeContext,
    readonly random: Random,
    public failureRate: number,
  ) {
    this.items.set(LEADER_KEY, { key: LEADER_KEY, value: {}, version: 1, lease: null });
  }

  private apply(operation: StoreOperation): StoreReply {
    if (operation.kind === 'get') {
      const item = this.items.get(operation.key);
      return item === undefined ? { kind: 'missing', revision: this.revision } : { kind: 'item', item };
    }
    if (operation.kind !== 'txn') throw new Error(operation.kind);
    if (this.transactions >= this.stopsAfter)
      return { kind: 'failed', executed: null, cause: 'silent', reason: 'dead' };
    if (
      operation.writes.length > this.limits.ops ||
      operation.writes.some((write) => write.kind === 'put' && bytesOf(write.value) > this.limits.valueBytes)
    ) {
      this.refusals++;
      return { kind: 'refused', reason: '400' };
    }
    this.transactions++;
    const failed = operation.conditions
      .filter(({ key, version }) => (this.items.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed, revision: this.revision };
    this.revision++;
    for (const write of operation.writes) this.write(write);
    return { kind: 'ok', revision: this.revision };
  }

  private write(write: StoreWrite): void {
    this.puts++;
    if (write.kind === 'delete') {
      this.items.delete(write.key);
      return;
    }
    const value: unknown = JSON.parse(JSON.stringify(write.value));
    this.largest = Math.max(this.largest, JSON.stringify(value).length);
    this.items.set(write.key, { key: write.key, value, version: this.revision, lease: null });
  }

  runFor(duration: number): void {
    const end = this.context.now + duration;
    while (this.context.now < end) {
      this.context.now += 5_000;
      this.context.runDueTimers();
      for (const call of this.late.filter(({ at }) => at <= this.context.now)) call.run();
      this.late = this.late.filter(({ at }) => at > this.context.now);
      const effects = this.context.effects;
      this.context.effects = [];
      for (const effect of effects) {
        if (effect.kind !== 'storeRequest') continue;
        const failed: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: 'lost' };
        const fate = this.random.next();
        if (fate >= this.failureRate) this.context.handleStoreReply(effect.call, this.apply(effect.op));
        else {
          if (fate < this.failureRate / 3) this.apply(effect.op);
          else if (fate < this.failureRate / 1.5) {
            const { op } = effect;
            const at = this.context.now + this.random.below(20) * SECOND;
            this.late.push({ at, run: () => this.apply(op) });
          }
          this.context.handleStoreReply(effect.call, failed);
        }
      }
    }
  }

  under(prefix: string): StoredItem[] {
    return [...this.items.values()].filter((item) => item.key.startsWith(prefix));
  }
}

/** A store with a node and a writer that use it. */
const setUp = (seed: number, trouble: number, from = settings) => {
  const context = new NodeContext(from, () => 0);
  const store = new UnreliableStore(context, new Random(seed), trouble);
  const writer = new FencedWriter(context, 1, () => assert.fail('fenced'));
  return { context, store, writer };
};

/** No record of these tests may be unreadable. */
const failUnreadable = (key: string): void => {
  assert.fail(`${key} can't be read`);
};

test('no late, lost or doubled write ever takes back what was confirmed', () => {
  for (let seed = 1; seed <= 12; seed++) {
    const random = new Random(seed * 31);
    const { store, writer } = setUp(seed, 0.4);
    const current = new Map<string, number>();
    const confirmed = new Map<string, number>();
    const pages = new PackedPages(writer, 'q/', 2_000, {
      encode: (id) => ({ n: current.get(id) ?? -1, pad: 'x'.repeat(random.below(60)) }),
      move: () => assert.fail('nothing to empty'),
    });
    const stored = (id: string): number | undefined => {
      for (const item of store.under('q/')) {
        const record = readPage(item.value)?.[id] as { n: number } | undefined;
        if (record !== undefined) return record.n;
      }
      return undefined;
    };
    for (let step = 0; step < 150; step++) {
      const id = `run-${random.below(40)}`;
      if (random.chance(0.15) && current.has(id)) {
        pages.drop(id);
        current.delete(id);
        confirmed.delete(id);
      } else {
        current.set(id, step);
        pages.put(id, 100, 'now', () => {
          if (current.has(id)) confirmed.set(id, Math.max(step, confirmed.get(id) ?? 0));
        });
      }
      store.runFor(random.below(600) * 1_000);
      for (const [key, value] of confirmed)
        if (current.has(key))
          assert.ok(
            (stored(key) ?? -1) >= value,
            `seed ${seed} step ${step}: ${key} ${stored(key)} < ${value}`,
          );
    }
    store.failureRate = 0;
    pages.rewriteStalePages();
    store.runFor(60 * SECOND);
    for (const [id, n] of current) assert.equal(stored(id), n);
    for (const item of store.under('q/'))
      for (const id of Object.keys(readPage(item.value) ?? {}))
        assert.ok(current.has(id), 'dropped, yet stored');
    assert.ok(store.largest <= 2_000);
  }
});

const createMachine = (index: number): Machine => {
  const machine = new Machine(
    `m-${String(index).padStart(6, '0')}`,
    `10.1.${index >> 8}.${index & 255}:9000`,
    'box',
    'a',
    false,
    0,
  );
  machine.recorded = 'yes';
  return machine;
};

test('a thousand machines and their jobs take few writes, and come back whole', () => {
  const { context, store, writer } = setUp(1, 0);
  const machines = new Map<string, Machine>();
  const jobs = new Map<string, ActiveJob>();
  const findJob = (id: string): ActiveJob | undefined => jobs.get(id);
  const find = (name: string): Machine | undefined => machines.get(name);
  const machineStore = new MachineStore(writer, pageRoom(settings.maxValueBytes), find, () =>
    assert.fail('unreadable'),
  );
  const progressStore = new ProgressStore(context, writer, findJob, find);
  for (let i = 0; i < 1_000; i++) {
    const machine = createMachine(i);
    machines.set(machine.name, machine);
    machineStore.put(machine, () => undefined);
  }
  let placed = 0;
  const all = [...machines.values()];
  for (let i = 0; i < 200; i++) {
    const tasks = i === 0 ? 60_000 : 1 + (i % 80);
    const job = new ActiveJob(specOf(`run-${i}`, { tasks }), 1, i, 0);
    jobs.set(job.id, job);
    for (let index = 0; index < Math.min(tasks, 80); index++) {
      const machine = all[(i * 7 + index) % all.length]!;
      job.liveAttempts.set(index, runningAttempt(job, index, machine, { fencingToken: 1 }));
    }
    for (let index = 0; index < tasks; index += 3) job.done.add(index);
    progressStore.recordPlacement(job, () => placed++);
  }
  store.runFor(10 * SECOND);
  assert.equal(placed, 200);
  assert.ok(store.puts <= 40, `${store.puts} puts`);
  assert.ok(store.largest <= settings.maxValueBytes);

  const next = setUp(2, 0);
  const found = new MachineStore(
    next.writer,
    pageRoom(settings.maxValueBytes),
    () => undefined,
    failUnreadable,
  ).load(store.under('r/'), []);
  assert.equal(found.size, 1_000);
  const restoredJobs = new Map(
    [...jobs.values()].map((job) => [job.id, new ActiveJob(job.spec, 1, job.acceptedAt, 0)]),
  );
  new ProgressStore(next.context, next.writer, (id) => restoredJobs.get(id), find).load(
    store.under('q/'),
    store.under('p/'),
    restoredJobs.values(),
    true,
  );
  for (const job of jobs.values()) {
    const restored = restoredJobs.get(job.id)!;
    assert.equal(restored.done.count, job.done.count);
    for (const attempt of job.liveAttempts.values())
      assert.ok(restored.recordedMachines.has(attempt.machine.name));
  }
});

test('records of the version before are read and moved; what can not be read is never taken for absence', () => {
  const { context, store, writer } = setUp(1, 0);
  const bits = new TaskBitset(4);
  bits.add(2);
  const put = (key: string, value: unknown): void => {
    store.items.set(key, { key, value, version: 1, lease: null });
  };
  put('h/m-000001', { address: '10.1.0.1:9000', type: 'box', zone: 'a', spot: false, retiring: true });
  put('p/run-1', { machines: ['m-000001'], bits: bits.encode(0, 1) });
  put('q/3', 'torn');
  const machine = createMachine(1);
  machine.retirementReason = 'was retiring';
  machine.awaitingReconciliation = true;
  const jobs = new Map(
    ['run-1', 'run-2'].map((id) => [id, new ActiveJob(specOf(id, { tasks: 4 }), 1, 0, 0)]),
  );
  const find = (name: string): Machine | undefined => (name === machine.name ? machine : undefined);
  const machineStore = new MachineStore(writer, pageRoom(settings.maxValueBytes), find, () =>
    assert.fail('unreadable'),
  );
  assert.equal(machineStore.load([], store.under('h/')).get(machine.name)?.retiring, true);
  machineStore.adopt(store.under('h/'), find);
  const progressStore = new ProgressStore(context, writer, (id) => jobs.get(id), find);
  progressStore.load(store.under('q/'), store.under('p/'), jobs.values(), true);
  store.runFor(5 * SECOND);
  assert.deepEqual([...store.under('h/'), ...store.under('p/')], []);
  assert.equal(store.items.get('q/3')!.value, 'torn');
  const job = jobs.get('run-1')!;
  assert.ok(job.done.has(2) && job.unreconciledMachines.has(machine.name) && !job.progressUnreadable);
  assert.ok(jobs.get('run-2')!.progressUnreadable, 'its place may have been on the page that is torn');
  assert.deepEqual(
    (readPage(store.items.get('q/s0')!.value) as Record<string, { machines: string[] }>)['run-1']!.machines,
    [machine.name],
  );
});

const lowerLimits = settingsFor(
  'n0',
  ['n0'],
  '[[cluster.teams]]\nname = "t"\n',
  'value_kb = 2.0\ntxn_ops = 5',
);

/** What the version before leaves: pages of up to 16 KiB, `p/` for a job of very many tasks, all fields. */
const writeFormerRecords = (store: UnreliableStore) => {
  const machines = Array.from({ length: 240 }, (_, i) => createMachine(i));
  const put = (key: string, value: unknown): void => {
    assert.ok(bytesOf(value) <= 16 * 1024, key);
    store.items.set(key, { key, value, version: 2, lease: null });
  };
  const page = <T>(
    prefix: string,
    all: readonly T[],
    a: number,
    entry: (x: T) => [string, unknown],
  ): void => {
    for (let n = 0; n * a < all.length; n++)
      put(`${prefix}${n}`, { entries: Object.fromEntries(all.slice(n * a, (n + 1) * a).map(entry)) });
  };
  page('r/', machines, 110, (machine) => {
    const retiring = Number(machine.name.slice(2)) % 17 === 0;
    return [
      machine.name,
      { address: machine.address, type: 'box', zone: 'a', spot: false, retiring, standing: !retiring },
    ];
  });
  const expected = new Map<string, { names: string[]; done: number[]; tasks: number }>();
  for (let i = 0; i < 90; i++) {
    const tasks = 1 + ((i * 37) % 240);
    const names = Array.from(
      { length: Math.min(tasks, 60) },
      (_, k) => machines[(i * 11 + k * 3) % 240]!.name,
    );
    expected.set(`run-${i}`, { names, done: [...Array(tasks).keys()].filter((k) => k % 4 === 1), tasks });
  }
  const entry = ([id, w]: [string, { names: string[]; done: number[]; tasks: number }]): [
    string,
    unknown,
  ] => {
    const bits = new TaskBitset(w.tasks);
    for (const d of w.done) bits.add(d);
    return [id, { machines: w.names, bits: bits.encode(0, bits.bytes.length) }];
  };
  page('q/', [...expected], 14, entry);
  // 16 KiB: a segment of that version held 9,216 bytes, and its place followed from its number alone.
  const big = new TaskBitset(100_000);
  const done = [5, 70_000, 73_727, 73_728, 73_735, 99_999];
  for (const d of done) big.add(d);
  const names = machines.slice(0, 200).map((machine) => machine.name);
  put('p/run-900', { machines: names, bits: big.encode(0, 9_216) });
  put('p/run-900/1', { machines: [], bits: big.encode(9_216, 18_432) });
  expected.set('run-900', { names, done, tasks: 100_000 });
  return { machines, expected };
};

test('under lower limits all pages that the version before left are emptied, and no crash on the way loses a record', () => {
  let steps = 1;
  for (let stopsAfter = 0; stopsAfter <= steps; stopsAfter += 1 + Math.floor(stopsAfter / 12)) {
    const first = setUp(1, 0, lowerLimits);
    const { store } = first;
    store.limits = { valueBytes: 2_048, ops: 5 };
    const { machines, expected } = writeFormerRecords(store);
    for (const leader of [0, 1]) {
      const { context, writer } = leader === 0 ? first : setUp(2, 0, lowerLimits);
      const current = leader === 0 ? store : new UnreliableStore(context, new Random(1), 0);
      if (current !== store) {
        for (const [key, item] of store.items) current.items.set(key, item);
        current.revision = store.revision;
        current.limits = store.limits;
      }
      current.stopsAfter = leader === 0 ? stopsAfter : Infinity;
      const own = new Map(
        machines.map((machine) => [
          machine.name,
          new Machine(machine.name, machine.address, 'box', 'a', false, 0),
        ]),
      );
      for (const machine of own.values()) machine.awaitingReconciliation = true;
      const find = (name: string): Machine | undefined => own.get(name);
      const jobs = new Map(
        [...expected].map(([id, w]) => [id, new ActiveJob(specOf(id, { tasks: w.tasks }), 1, 0, 0)]),
      );
      const machineStore = new MachineStore(
        writer,
        pageRoom(lowerLimits.maxValueBytes),
        find,
        failUnreadable,
      );
      const found = machineStore.load(current.under('r/'), current.under('h/'));
      assert.equal(found.size, 240);
      for (const [name, rec] of found) {
        const machine = own.get(name)!;
        machine.preprovisioned = rec.preprovisioned;
        machine.retirementReason = rec.retiring ? 'was retiring' : null;
        assert.equal(rec.retiring, Number(name.slice(2)) % 17 === 0, `stops after ${stopsAfter}: ${name}`);
      }
      const progressStore = new ProgressStore(context, writer, (id) => jobs.get(id), find);
      progressStore.load(current.under('q/'), current.under('p/'), jobs.values(), true);
      for (const [id, w] of expected) {
        const job = jobs.get(id)!;
        assert.equal(job.done.count, w.done.length, `stops after ${stopsAfter} leader ${leader}: ${id}`);
        for (const d of w.done) assert.ok(job.done.has(d), `${id}/${d}`);
        for (const n of w.names)
          assert.ok(
            job.unreconciledMachines.has(n),
            `stops after ${stopsAfter} leader ${leader}: ${id} ${n}`,
          );
      }
      for (let i = 0; i < 250; i++) {
        machineStore.compact();
        progressStore.compact(jobs.values());
        current.runFor(SECOND / 4);
      }
      if (leader === 0) continue;
      steps = Math.max(steps, store.transactions + current.transactions);
      assert.equal(current.refusals, 0);
      for (const item of [...current.under('q/'), ...current.under('r/'), ...current.under('p/')])
        assert.ok(bytesOf(item.value) <= 2_048, `${item.key}: ${bytesOf(item.value)} bytes`);
      for (const item of [...current.under('q/'), ...current.under('r/')])
        if (!item.key.includes('/s')) assert.deepEqual(item.value, { entries: {} }, item.key);
    }
  }
  assert.ok(steps > 20, `${steps} steps`);
});

test('a write that the service refuses is found, reported and kept from blocking the others', () => {
  const { context, store, writer } = setUp(1, 0);
  store.limits = { valueBytes: 700, ops: 3 };
  let refused = 0;
  const done: number[] = [];
  for (let i = 0; i < 12; i++)
    writer.put(
      `x/${i}`,
      () => 'y'.repeat(i === 5 ? 900 : 100),
      () => done.push(i),
      {
        onRefused: () => refused++,
      },
    );
  store.runFor(20 * SECOND);
  assert.equal(refused, 1);
  assert.deepEqual(done.length, 11);
  // Smaller limits than announced: pages are made smaller, and every record gets its place.
  const pages: PackedPages = new PackedPages(writer, 'q/', pageRoom(settings.maxValueBytes), {
    encode: (id) => ({ id, pad: 'z'.repeat(60) }),
    move: (id, then) => {
      pages.put(
        id,
        110,
        'later',
        () => {
          then(true);
        },
        () => {
          then(false);
        },
      );
    },
  });
  for (let i = 0; i < 40; i++) pages.put(`run-${i}`, 110, 'now', () => undefined);
  for (let i = 0; i < 200; i++) {
    pages.compact();
    store.runFor(SECOND / 2);
  }
  const stored = new Set(store.under('q/').flatMap((item) => Object.keys(readPage(item.value) ?? {})));
  assert.equal(stored.size, 40);
  assert.ok(context.now > 0 && store.under('q/').every((item) => bytesOf(item.value) <= 700));
});

test('a machine left out of a record on its way counts as not on record until it is written again', () => {
  // Else a start there between the making of a record and its confirmation would be on no record, and the
  // next leader could start the task again elsewhere.
  const { context, store, writer } = setUp(1, 0);
  const machine = createMachine(1);
  const job = new ActiveJob(specOf('run-1'), 1, 0, 0);
  const find = (name: string): Machine | undefined => (name === machine.name ? machine : undefined);
  const progressStore = new ProgressStore(context, writer, (id) => (id === job.id ? job : undefined), find);
  job.recordedMachines.add(machine.name);
  progressStore.recordPlacement(job, () => undefined);
  context.now += SECOND;
  context.runDueTimers();
  assert.ok(
    context.effects.some((e) => e.kind === 'storeRequest'),
    'on its way',
  );
  assert.ok(!job.recordedMachines.has(machine.name));
  store.runFor(SECOND);
  assert.ok(!job.recordedMachines.has(machine.name));
});
