/** Records packed into pages: lost, late and duplicated transactions, size limits, and the previous version's format. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { LEADER_KEY } from '@shaleyoke/core/codecs/keys';
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';
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
import { PackedPages, pageCapacity, readPage } from '@shaleyoke/core/storage/packed-pages';
import { ProgressStore } from '@shaleyoke/core/storage/progress-store';
import { Random } from '@shaleyoke/emulator/random';
import { settingsFor } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { runningAttempt } from './cluster-fixtures.js';

const settings = settingsFor('n0', ['n0'], '[[cluster.teams]]\nname = "t"\n');

/** A store that loses requests and replies, and executes some requests late. */
class UnreliableStore {
  /** Stored items by key. */
  readonly items = new Map<string, StoredItem>();
  /** The revision of the latest executed transaction. */
  revision = 1;
  /** The size in bytes of the largest value written so far. */
  largestValueBytes = 0;
  /** The number of executed writes, deletions included. */
  puts = 0;
  /** The number of transactions within the limits, conflicts included. */
  transactions = 0;
  /** The number of transactions refused because they exceed the limits. */
  refusals = 0;
  /** The limits of a value's size and of the writes in a transaction. */
  limits = { valueBytes: 16 * 1024, ops: 16 };
  /** The number of transactions after which no request is executed any more. */
  stopsAfter = Infinity;
  private delayedRequests: { at: number; run: () => void }[] = [];

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
      operation.writes.some(
        (write) => write.kind === 'put' && jsonByteLength(write.value) > this.limits.valueBytes,
      )
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
    this.largestValueBytes = Math.max(this.largestValueBytes, JSON.stringify(value).length);
    this.items.set(write.key, { key: write.key, value, version: this.revision, lease: null });
  }

  /** Advances the clock in steps of 5 ms: runs due timers and delayed requests, and answers the node's requests. */
  runFor(duration: number): void {
    const end = this.context.now + duration;
    while (this.context.now < end) {
      this.context.now += 5_000;
      this.context.runDueTimers();
      for (const call of this.delayedRequests.filter(({ at }) => at <= this.context.now)) call.run();
      this.delayedRequests = this.delayedRequests.filter(({ at }) => at > this.context.now);
      const effects = this.context.effects;
      this.context.effects = [];
      for (const effect of effects) {
        if (effect.kind !== 'storeRequest') continue;
        const failed: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: 'lost' };
        const draw = this.random.next();
        if (draw >= this.failureRate) this.context.handleStoreReply(effect.call, this.apply(effect.op));
        else {
          if (draw < this.failureRate / 3) this.apply(effect.op);
          else if (draw < this.failureRate / 1.5) {
            const { op } = effect;
            const at = this.context.now + this.random.below(20) * SECOND;
            this.delayedRequests.push({ at, run: () => this.apply(op) });
          }
          this.context.handleStoreReply(effect.call, failed);
        }
      }
    }
  }

  /** The stored items whose keys start with a prefix. */
  itemsUnder(prefix: string): StoredItem[] {
    return [...this.items.values()].filter((item) => item.key.startsWith(prefix));
  }
}

/** A node context and a fenced writer on an unreliable store. */
const createFixture = (seed: number, failureRate: number, nodeSettings = settings) => {
  const context = new NodeContext(nodeSettings, () => 0);
  const store = new UnreliableStore(context, new Random(seed), failureRate);
  const writer = new FencedWriter(context, 1, () => assert.fail('fenced'));
  return { context, store, writer };
};

/** Fails the test: no record here may be unreadable. */
const failUnreadable = (key: string): void => {
  assert.fail(`${key} cannot be read`);
};

test('no late, lost or duplicated write ever reverts a confirmed record', () => {
  for (let seed = 1; seed <= 12; seed++) {
    const random = new Random(seed * 31);
    const { store, writer } = createFixture(seed, 0.4);
    const current = new Map<string, number>();
    const confirmed = new Map<string, number>();
    const pages = new PackedPages(writer, 'q/', 2_000, {
      encode: (id) => ({ n: current.get(id) ?? -1, pad: 'x'.repeat(random.below(60)) }),
      move: () => assert.fail('no page has to be emptied'),
    });
    const stored = (id: string): number | undefined => {
      for (const item of store.itemsUnder('q/')) {
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
    for (const [id, value] of current) assert.equal(stored(id), value);
    for (const item of store.itemsUnder('q/'))
      for (const id of Object.keys(readPage(item.value) ?? {}))
        assert.ok(current.has(id), 'a dropped record is still stored');
    assert.ok(store.largestValueBytes <= 2_000);
  }
});

/** A machine on record, whose name and address follow from an index. */
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

test('a thousand machines and their jobs take few writes and are restored completely', () => {
  const { context, store, writer } = createFixture(1, 0);
  const machines = new Map<string, Machine>();
  const jobs = new Map<string, ActiveJob>();
  const findJob = (id: string): ActiveJob | undefined => jobs.get(id);
  const findMachine = (name: string): Machine | undefined => machines.get(name);
  const machineStore = new MachineStore(writer, pageCapacity(settings.maxValueBytes), findMachine, () =>
    assert.fail('unreadable'),
  );
  const progressStore = new ProgressStore(context, writer, findJob, findMachine);
  for (let i = 0; i < 1_000; i++) {
    const machine = createMachine(i);
    machines.set(machine.name, machine);
    machineStore.put(machine, () => undefined);
  }
  let placed = 0;
  const allMachines = [...machines.values()];
  for (let i = 0; i < 200; i++) {
    const tasks = i === 0 ? 60_000 : 1 + (i % 80);
    const job = new ActiveJob(makeJobSpec(`run-${i}`, { tasks }), 1, i, 0);
    jobs.set(job.id, job);
    for (let index = 0; index < Math.min(tasks, 80); index++) {
      const machine = allMachines[(i * 7 + index) % allMachines.length]!;
      job.liveAttempts.set(index, runningAttempt(job, index, machine, { fencingToken: 1 }));
    }
    for (let index = 0; index < tasks; index += 3) job.done.add(index);
    progressStore.recordPlacement(job, () => placed++);
  }
  store.runFor(10 * SECOND);
  assert.equal(placed, 200);
  assert.ok(store.puts <= 40, `${store.puts} puts`);
  assert.ok(store.largestValueBytes <= settings.maxValueBytes);

  const next = createFixture(2, 0);
  const restoredMachines = new MachineStore(
    next.writer,
    pageCapacity(settings.maxValueBytes),
    () => undefined,
    failUnreadable,
  ).load(store.itemsUnder('r/'), []);
  assert.equal(restoredMachines.size, 1_000);
  const restoredJobs = new Map(
    [...jobs.values()].map((job) => [job.id, new ActiveJob(job.spec, 1, job.acceptedAt, 0)]),
  );
  new ProgressStore(next.context, next.writer, (id) => restoredJobs.get(id), findMachine).load(
    store.itemsUnder('q/'),
    store.itemsUnder('p/'),
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

test('records of the previous version are read and moved; an unreadable page never counts as an absent record', () => {
  const { context, store, writer } = createFixture(1, 0);
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
    ['run-1', 'run-2'].map((id) => [id, new ActiveJob(makeJobSpec(id, { tasks: 4 }), 1, 0, 0)]),
  );
  const findMachine = (name: string): Machine | undefined => (name === machine.name ? machine : undefined);
  const machineStore = new MachineStore(writer, pageCapacity(settings.maxValueBytes), findMachine, () =>
    assert.fail('unreadable'),
  );
  assert.equal(machineStore.load([], store.itemsUnder('h/')).get(machine.name)?.retiring, true);
  machineStore.migrateLegacyRecords(store.itemsUnder('h/'), findMachine);
  const progressStore = new ProgressStore(context, writer, (id) => jobs.get(id), findMachine);
  progressStore.load(store.itemsUnder('q/'), store.itemsUnder('p/'), jobs.values(), true);
  store.runFor(5 * SECOND);
  assert.deepEqual([...store.itemsUnder('h/'), ...store.itemsUnder('p/')], []);
  assert.equal(store.items.get('q/3')!.value, 'torn');
  const job = jobs.get('run-1')!;
  assert.ok(job.done.has(2) && job.unreconciledMachines.has(machine.name) && !job.progressUnreadable);
  assert.ok(jobs.get('run-2')!.progressUnreadable, 'its progress may have been on the unreadable page');
  assert.deepEqual(
    (readPage(store.items.get('q/s0')!.value) as Record<string, { machines: string[] }>)['run-1']!.machines,
    [machine.name],
  );
});

/** Settings with lower store limits: values of 2 KiB and five writes in a transaction. */
const lowerLimits = settingsFor(
  'n0',
  ['n0'],
  '[[cluster.teams]]\nname = "t"\n',
  'value_kb = 2.0\ntxn_ops = 5',
);

/** Writes what the previous version leaves: pages of up to 16 KiB, `p/` keys for a job of very many tasks, all fields. */
const writeFormerRecords = (store: UnreliableStore) => {
  const machines = Array.from({ length: 240 }, (_, i) => createMachine(i));
  const put = (key: string, value: unknown): void => {
    assert.ok(jsonByteLength(value) <= 16 * 1024, key);
    store.items.set(key, { key, value, version: 2, lease: null });
  };
  const putPages = <T>(
    prefix: string,
    items: readonly T[],
    itemsPerPage: number,
    toEntry: (item: T) => [string, unknown],
  ): void => {
    for (let pageNumber = 0; pageNumber * itemsPerPage < items.length; pageNumber++)
      put(`${prefix}${pageNumber}`, {
        entries: Object.fromEntries(
          items.slice(pageNumber * itemsPerPage, (pageNumber + 1) * itemsPerPage).map(toEntry),
        ),
      });
  };
  putPages('r/', machines, 110, (machine) => {
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
  const progressEntry = ([id, progress]: [string, { names: string[]; done: number[]; tasks: number }]): [
    string,
    unknown,
  ] => {
    const bits = new TaskBitset(progress.tasks);
    for (const index of progress.done) bits.add(index);
    return [id, { machines: progress.names, bits: bits.encode(0, bits.bytes.length) }];
  };
  putPages('q/', [...expected], 14, progressEntry);
  // A segment of that version held 9,216 bytes under its limit of 16 KiB, and its offset followed from its number alone.
  const largeBits = new TaskBitset(100_000);
  const done = [5, 70_000, 73_727, 73_728, 73_735, 99_999];
  for (const index of done) largeBits.add(index);
  const names = machines.slice(0, 200).map((machine) => machine.name);
  put('p/run-900', { machines: names, bits: largeBits.encode(0, 9_216) });
  put('p/run-900/1', { machines: [], bits: largeBits.encode(9_216, 18_432) });
  expected.set('run-900', { names, done, tasks: 100_000 });
  return { machines, expected };
};

test('under lower limits all pages of the previous version are emptied, and no crash meanwhile loses a record', () => {
  let steps = 1;
  for (let stopsAfter = 0; stopsAfter <= steps; stopsAfter += 1 + Math.floor(stopsAfter / 12)) {
    const first = createFixture(1, 0, lowerLimits);
    const { store } = first;
    store.limits = { valueBytes: 2_048, ops: 5 };
    const { machines, expected } = writeFormerRecords(store);
    for (const leader of [0, 1]) {
      const { context, writer } = leader === 0 ? first : createFixture(2, 0, lowerLimits);
      const current = leader === 0 ? store : new UnreliableStore(context, new Random(1), 0);
      if (current !== store) {
        for (const [key, item] of store.items) current.items.set(key, item);
        current.revision = store.revision;
        current.limits = store.limits;
      }
      current.stopsAfter = leader === 0 ? stopsAfter : Infinity;
      const machinesByName = new Map(
        machines.map((machine) => [
          machine.name,
          new Machine(machine.name, machine.address, 'box', 'a', false, 0),
        ]),
      );
      for (const machine of machinesByName.values()) machine.awaitingReconciliation = true;
      const findMachine = (name: string): Machine | undefined => machinesByName.get(name);
      const jobs = new Map(
        [...expected].map(([id, progress]) => [
          id,
          new ActiveJob(makeJobSpec(id, { tasks: progress.tasks }), 1, 0, 0),
        ]),
      );
      const machineStore = new MachineStore(
        writer,
        pageCapacity(lowerLimits.maxValueBytes),
        findMachine,
        failUnreadable,
      );
      const restoredMachines = machineStore.load(current.itemsUnder('r/'), current.itemsUnder('h/'));
      assert.equal(restoredMachines.size, 240);
      for (const [name, record] of restoredMachines) {
        const machine = machinesByName.get(name)!;
        machine.preprovisioned = record.preprovisioned;
        machine.retirementReason = record.retiring ? 'was retiring' : null;
        assert.equal(record.retiring, Number(name.slice(2)) % 17 === 0, `stops after ${stopsAfter}: ${name}`);
      }
      const progressStore = new ProgressStore(context, writer, (id) => jobs.get(id), findMachine);
      progressStore.load(current.itemsUnder('q/'), current.itemsUnder('p/'), jobs.values(), true);
      for (const [id, progress] of expected) {
        const job = jobs.get(id)!;
        assert.equal(
          job.done.count,
          progress.done.length,
          `stops after ${stopsAfter} leader ${leader}: ${id}`,
        );
        for (const index of progress.done) assert.ok(job.done.has(index), `${id}/${index}`);
        for (const machineName of progress.names)
          assert.ok(
            job.unreconciledMachines.has(machineName),
            `stops after ${stopsAfter} leader ${leader}: ${id} ${machineName}`,
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
      for (const item of [
        ...current.itemsUnder('q/'),
        ...current.itemsUnder('r/'),
        ...current.itemsUnder('p/'),
      ])
        assert.ok(jsonByteLength(item.value) <= 2_048, `${item.key}: ${jsonByteLength(item.value)} bytes`);
      for (const item of [...current.itemsUnder('q/'), ...current.itemsUnder('r/')])
        if (!item.key.includes('/s')) assert.deepEqual(item.value, { entries: {} }, item.key);
    }
  }
  assert.ok(steps > 20, `${steps} steps`);
});

test('a write that the store refuses is identified and reported, and does not block the others', () => {
  const { context, store, writer } = createFixture(1, 0);
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
  // The limits are lower than announced: pages are made smaller until every record is stored.
  const pages: PackedPages = new PackedPages(writer, 'q/', pageCapacity(settings.maxValueBytes), {
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
  const stored = new Set(store.itemsUnder('q/').flatMap((item) => Object.keys(readPage(item.value) ?? {})));
  assert.equal(stored.size, 40);
  assert.ok(context.now > 0 && store.itemsUnder('q/').every((item) => jsonByteLength(item.value) <= 700));
});

test('a machine omitted from a record in flight counts as unrecorded until it is written again', () => {
  // Otherwise a task started there between the encoding of a record and its confirmation would be on no record, and the
  // next leader could start it again elsewhere.
  const { context, store, writer } = createFixture(1, 0);
  const machine = createMachine(1);
  const job = new ActiveJob(makeJobSpec('run-1'), 1, 0, 0);
  const findMachine = (name: string): Machine | undefined => (name === machine.name ? machine : undefined);
  const progressStore = new ProgressStore(
    context,
    writer,
    (id) => (id === job.id ? job : undefined),
    findMachine,
  );
  job.recordedMachines.add(machine.name);
  progressStore.recordPlacement(job, () => undefined);
  context.now += SECOND;
  context.runDueTimers();
  assert.ok(
    context.effects.some((e) => e.kind === 'storeRequest'),
    'the write is in flight',
  );
  assert.ok(!job.recordedMachines.has(machine.name));
  store.runFor(SECOND);
  assert.ok(!job.recordedMachines.has(machine.name));
});
