/**
 * Literal records as stored in the key-value store. Other versions of the program read and write the same records, so no
 * name in these examples may change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import {
  decodeActiveJob,
  decodeEndedJob,
  encodeActiveJob,
  encodeEndedJob,
} from '@shaleyoke/core/codecs/job-codec';
import {
  ACTIVE_JOBS_PREFIX,
  activeJobKey,
  endedJobKey,
  LARGE_PROGRESS_PREFIX,
  LEADER_KEY,
  LEGACY_MACHINES_PREFIX,
  legacyMachineKey,
  MACHINE_PAGES_PREFIX,
  MACHINE_TYPES_KEY,
  PROGRESS_PAGES_PREFIX,
  progressKey,
  RUNTIME_SUMMARY_KEY,
  TERM_KEY,
} from '@shaleyoke/core/codecs/keys';
import { decodeLeader, decodeTerm, encodeLeader, encodeTerm } from '@shaleyoke/core/codecs/leadership-codec';
import { decodeMachine, encodeMachine } from '@shaleyoke/core/codecs/machine-codec';
import { decodeMachineTypes, encodeMachineTypes } from '@shaleyoke/core/codecs/machine-type-codec';
import { decodeProgress, encodeProgress } from '@shaleyoke/core/codecs/progress-codec';
import { SECOND } from '@shaleyoke/core/domain/time';
import { readPage } from '@shaleyoke/core/storage/packed-pages';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

/** The value as it would be read back: the store keeps only what JSON can represent. */
const stored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

const STORED_SPEC = {
  id: 'run-412',
  class: 'train',
  team: 'vision',
  shape: 'gang',
  priority: 2,
  tasks: 16,
  cores: 8,
  gpus: 1,
  memoryGb: 64,
  image: 'img-07',
  imageGb: 6.2,
  types: ['g8'],
  zone: null,
  sameZone: true,
  spread: false,
  spot: true,
  estimateUs: 240_000_000,
  checkpointUs: 30_000_000,
  saveUs: 4_000_000,
  deadlineUs: 900_000_000,
};
const SPEC = makeJobSpec('run-412', {
  class: 'train',
  team: 'vision',
  shape: 'gang',
  priority: 2,
  tasks: 16,
  cores: 8,
  gpus: 1,
  memoryGb: 64,
  image: 'img-07',
  imageGb: 6.2,
  machineTypes: ['g8'],
  sameZone: true,
  spot: true,
  estimatedRunUs: 240 * SECOND,
  checkpointIntervalUs: 30 * SECOND,
  checkpointDurationUs: 4 * SECOND,
  deadlineUs: 900 * SECOND,
});

test('a job that has not ended', () => {
  const record = { spec: STORED_SPEC, at: 1_796_126_400_000_000 };
  assert.deepEqual(stored(encodeActiveJob(SPEC, 1_796_126_400_000_000)), record);
  assert.deepEqual(decodeActiveJob(record), { spec: SPEC, acceptedAt: 1_796_126_400_000_000 });
});

test('a job that waits for its dependencies', () => {
  const record = {
    awaiting: { spec: STORED_SPEC, at: 5, needs: { start: 'run-4', rests: '0,11' } },
  };
  const waiting = { ...SPEC, dependsOn: ['run-40', 'run-411'] };
  assert.deepEqual(stored(encodeActiveJob(waiting, 5)), record);
  assert.deepEqual(decodeActiveJob(record), { spec: waiting, acceptedAt: 5 });
});

test('a job that has ended', () => {
  const spec = { id: 'run-412', shape: 'gang', tasks: 16, cores: 8 };
  const record = { stage: 'done', done: 16, spec, at: 7 };
  assert.deepEqual(stored(encodeEndedJob(SPEC, 'done', 16, 7)), record);
  assert.deepEqual(decodeEndedJob(record), { stage: 'done', done: 16, shape: 'gang', endedAt: 7 });
  // The previous version omits the end time.
  const former = { stage: 'cancelled', done: 0, spec };
  assert.deepEqual(decodeEndedJob(former), { stage: 'cancelled', done: 0, shape: 'gang', endedAt: null });
});

test('unreadable job records are decoded as null', () => {
  for (const value of [
    null,
    7,
    [],
    {},
    { spec: {}, at: 1 },
    { spec: STORED_SPEC },
    { awaiting: { spec: STORED_SPEC, at: 1 } },
  ])
    assert.equal(decodeActiveJob(value), null, JSON.stringify(value));
  for (const value of [null, {}, { stage: 'queued', spec: STORED_SPEC }, { stage: 'done' }])
    assert.equal(decodeEndedJob(value), null, JSON.stringify(value));
});

test('a machine, with and without flags', () => {
  const plain = { address: '10.1.0.7:90', type: 'g8', zone: 'a' };
  const flagged = { ...plain, spot: true, retiring: true, standing: true };
  const decodedFlagged = { ...plain, spot: true, retiring: true, preprovisioned: true };
  const unsetFlags = { spot: false, retiring: false, preprovisioned: false };
  assert.deepEqual(stored(encodeMachine({ ...plain, ...unsetFlags })), plain);
  assert.deepEqual(stored(encodeMachine(decodedFlagged)), flagged);
  assert.deepEqual(decodeMachine(plain), { ...plain, ...unsetFlags });
  assert.deepEqual(decodeMachine(flagged), decodedFlagged);
  assert.equal(decodeMachine({ address: '10.1.0.7:90', type: 'g8' }), null);
});

test('progress on a page, and a part of the progress of a large job', () => {
  const onPage = { machines: ['m-1', 'm-2'], bits: 'Aw==' };
  const part = { ...onPage, from: 96 };
  assert.deepEqual(stored(encodeProgress({ ...onPage, from: null })), onPage);
  assert.deepEqual(stored(encodeProgress(part)), part);
  assert.deepEqual(decodeProgress(onPage), { ...onPage, from: null });
  assert.deepEqual(decodeProgress(part), part);
  assert.equal(decodeProgress({ machines: [] }), null);
});

test('machine types', () => {
  const record = [
    {
      name: 'g8',
      cores: 32,
      gpus: 8,
      memoryGb: 256,
      cacheGb: 100,
      fetchGbPerS: 0.5,
      price: 12.5,
      spotPrice: 4.25,
      bootUs: 45_000_000,
      zones: ['a', 'b'],
    },
  ];
  const types = decodeMachineTypes(record);
  assert.equal(types?.[0]?.bootUs, 45 * SECOND);
  assert.deepEqual(stored(encodeMachineTypes(types ?? [])), record);
  for (const wrong of [
    { ...record[0], cores: -1 },
    { ...record[0], bootUs: 0.5 },
    { ...record[0], zones: [1] },
    {},
  ])
    assert.equal(decodeMachineTypes([record[0], wrong]), null);
  assert.equal(decodeMachineTypes({}), null);
});

test("the leader's key and the term", () => {
  assert.deepEqual(stored(encodeLeader({ member: 'dock-1', term: 7 })), { member: 'dock-1', term: 7 });
  assert.deepEqual(decodeLeader({ member: 'dock-1', term: 7 }), { member: 'dock-1', term: 7 });
  assert.equal(decodeLeader({ member: 'dock-1' }), null);
  assert.deepEqual(stored(encodeTerm({ number: 7, first: true })), { n: 7, first: true });
  assert.deepEqual(stored(encodeTerm({ number: 7, first: false })), { n: 7 });
  assert.deepEqual(decodeTerm({ n: 7, first: true }), { number: 7, first: true });
  assert.deepEqual(decodeTerm({ n: 7 }), { number: 7, first: false });
  assert.equal(decodeTerm({}), null);
});

test('learned run times: the ratio to the estimate, with 1 marking a run that was stopped early', () => {
  const record = {
    'train|g8': [
      [1.1, 0],
      [0.5, 1],
    ],
    train: [
      [1.1, 0],
      [0.5, 1],
    ],
    '': [
      [1.1, 0],
      [0.5, 1],
    ],
  };
  const estimates = new RuntimeEstimates();
  estimates.recordRun('train', 'g8', 100 * SECOND, 110 * SECOND, true);
  estimates.recordRun('train', 'g8', 100 * SECOND, 50 * SECOND, false);
  assert.deepEqual(stored(estimates.toStored(16_000)), record);
  const restored = new RuntimeEstimates();
  restored.restore(record);
  assert.deepEqual(stored(restored.toStored(16_000)), record);
});

test('keys', () => {
  assert.deepEqual(
    [LEADER_KEY, TERM_KEY, MACHINE_TYPES_KEY, RUNTIME_SUMMARY_KEY],
    ['lead', 'term', 'types', 'timings'],
  );
  assert.deepEqual(
    [
      ACTIVE_JOBS_PREFIX,
      PROGRESS_PAGES_PREFIX,
      MACHINE_PAGES_PREFIX,
      LARGE_PROGRESS_PREFIX,
      LEGACY_MACHINES_PREFIX,
    ],
    ['j/', 'q/', 'r/', 'p/', 'h/'],
  );
  assert.deepEqual(
    [activeJobKey('run-1'), endedJobKey('run-1'), legacyMachineKey('m-1')],
    ['j/run-1', 't/run-1', 'h/m-1'],
  );
  assert.deepEqual([progressKey('run-1', 0), progressKey('run-1', 3)], ['p/run-1', 'p/run-1/1000003']);
});

test('records written by a leader have exactly these fields', () => {
  const simulation = new ClusterSimulation(new Random(5), 3);
  simulation.addMachines(2);
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-1', { tasks: 5, estimatedRunUs: 60 * SECOND }));
  simulation.submit(makeJobSpec('run-2', { dependsOn: ['run-1'] }));
  simulation.submit(makeJobSpec('run-3', { tasks: 1, estimatedRunUs: SECOND }));
  simulation.runFor(60 * SECOND);
  const fieldsOf = (value: unknown): string[] => Object.keys(value as object).sort();
  const entriesOf = (prefix: string): unknown[] =>
    simulation.keys(prefix).flatMap((key) => {
      assert.match(key, new RegExp(`^${prefix}s\\d+$`));
      assert.deepEqual(fieldsOf(simulation.value(key)), ['entries']);
      return Object.values(readPage(simulation.value(key)) ?? {});
    });
  assert.deepEqual(fieldsOf(simulation.value('lead')), ['member', 'term']);
  assert.deepEqual(fieldsOf(simulation.value('term')), ['n']);
  assert.deepEqual(fieldsOf(simulation.value('j/run-1')), ['at', 'spec']);
  assert.deepEqual(fieldsOf((simulation.value('j/run-1') as { spec: unknown }).spec), fieldsOf(STORED_SPEC));
  assert.deepEqual(fieldsOf(simulation.value('j/run-2')), ['awaiting']);
  assert.deepEqual(fieldsOf((simulation.value('j/run-2') as { awaiting: unknown }).awaiting), [
    'at',
    'needs',
    'spec',
  ]);
  assert.deepEqual(fieldsOf(simulation.value('t/run-3')), ['at', 'done', 'spec', 'stage']);
  const progress = entriesOf('q/');
  assert.ok(progress.length > 0);
  for (const entry of progress) assert.deepEqual(fieldsOf(entry), ['bits', 'machines']);
  const machines = entriesOf('r/');
  assert.ok(machines.length > 0);
  for (const entry of machines)
    for (const field of fieldsOf(entry))
      assert.ok(['address', 'type', 'zone', 'spot', 'retiring', 'standing'].includes(field), field);
  assert.deepEqual(fieldsOf((simulation.value('types') as unknown[])[0]), [
    'bootUs',
    'cacheGb',
    'cores',
    'fetchGbPerS',
    'gpus',
    'memoryGb',
    'name',
    'price',
    'spotPrice',
    'zones',
  ]);
});
