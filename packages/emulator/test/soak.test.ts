/** Tests the soak checkers on valid histories and on violations, and the fault schedule, links, ports and options. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '@shaleyoke/core/domain/job';

import { commandRunner } from '../src/command-runner.js';
import { Random } from '../src/random.js';
import { checkHistory, type Violation } from '../src/soak/checkers.js';
import { describeFaults, FAULT_KINDS, generateFaults } from '../src/soak/fault-schedule.js';
import { FaultyLink } from '../src/soak/faulty-link.js';
import type { RequestEvent, SoakEvent, SoakHistory, TaskEvent } from '../src/soak/history.js';
import { reservePorts } from '../src/soak/port-block.js';
import { resultOf } from '../src/soak/soak-run.js';
import { makeJobSpec } from '../src/specs.js';

const JOB = 'run-1';
const CANCEL_GRACE_MS = 30_000;

const request = (at: number, more: Partial<RequestEvent> = {}): RequestEvent => ({
  kind: 'request',
  at,
  sentAt: at - 10,
  job: JOB,
  request: 'poll',
  controller: 'dock-0',
  status: 200,
  stage: 'queued',
  ...more,
});

const accepted = (at: number, job = JOB): RequestEvent =>
  request(at, { request: 'submit', status: 201, job });

const task = (kind: 'arrived' | 'left', at: number, more: Partial<TaskEvent> = {}): TaskEvent => ({
  kind,
  at,
  job: JOB,
  index: 0,
  attempt: 1,
  machine: 'm-1',
  done: false,
  ...more,
});

const historyOf = (events: readonly SoakEvent[], spec: Partial<JobSpec> = {}): SoakHistory => ({
  events: [...events].sort((left, right) => left.at - right.at),
  jobs: new Map([
    [JOB, makeJobSpec(JOB, { tasks: 1, ...spec })],
    ['run-2', makeJobSpec('run-2', { tasks: 1 })],
  ]),
  impossibleJobs: new Set(['run-800000']),
  machines: new Map([
    ['m-1', { type: 'box', zone: 'zone-a', spot: false }],
    ['m-2', { type: 'box', zone: 'zone-b', spot: false }],
    ['m-3', { type: 'box', zone: 'zone-a', spot: true }],
  ]),
  teamCores: new Map([['t', 4]]),
  cancelGraceMs: CANCEL_GRACE_MS,
  endedAt: 300_000,
});

/** A history that violates no rule. */
const VALID_HISTORY: readonly SoakEvent[] = [
  accepted(100),
  task('arrived', 200),
  request(300, { stage: 'running' }),
  task('left', 400, { done: true }),
  request(500, { stage: 'done' }),
];

const requestsEvery = (ms: number, from: number, to: number, more: Partial<RequestEvent>): RequestEvent[] =>
  Array.from({ length: Math.floor((to - from) / ms) + 1 }, (_, i) => request(from + i * ms, more));

const NO_RESPONSE: Partial<RequestEvent> = { status: null, stage: null };

/** Histories that each violate one rule. */
const VIOLATIONS: readonly {
  readonly rule: string;
  readonly why: string;
  readonly events: readonly SoakEvent[];
  readonly spec?: Partial<JobSpec>;
}[] = [
  {
    rule: 'ran_twice',
    why: 'a task on two machines',
    events: [task('arrived', 200), task('arrived', 300, { machine: 'm-2', attempt: 2 })],
  },
  {
    rule: 'quota',
    why: 'five cores with a limit of four',
    events: [task('arrived', 200)],
    spec: { cores: 5 },
  },
  {
    rule: 'wrong_place',
    why: 'a zone that the job excludes',
    events: [task('arrived', 200)],
    spec: { zone: 'zone-b' },
  },
  {
    rule: 'wrong_place',
    why: 'a machine type that the job excludes',
    events: [task('arrived', 200)],
    spec: { machineTypes: ['x'] },
  },
  {
    rule: 'wrong_place',
    why: 'a spot machine for a job that excludes them',
    events: [task('arrived', 200, { machine: 'm-3' })],
  },
  {
    rule: 'wrong_place',
    why: 'two zones for a job that needs a single one',
    events: [task('arrived', 200), task('arrived', 300, { machine: 'm-2', index: 1 })],
    spec: { sameZone: true, tasks: 2 },
  },
  {
    rule: 'ran_cancelled',
    why: 'a task outlives the grace period',
    events: [
      accepted(100),
      task('arrived', 200),
      request(300, { request: 'cancel', stage: 'withdrawn' }),
      task('left', 301 + CANCEL_GRACE_MS),
    ],
  },
  {
    rule: 'ran_cancelled',
    why: 'a task starts after the grace period',
    events: [
      accepted(100),
      request(300, { request: 'cancel', stage: 'withdrawn' }),
      task('arrived', 400 + CANCEL_GRACE_MS),
    ],
  },
  {
    rule: 'forgotten',
    why: 'an accepted job gets 404',
    events: [accepted(100), request(300, { status: 404, stage: null })],
  },
  {
    rule: 'forgotten',
    why: 'a repeated submission gets 422',
    events: [accepted(100), request(300, { request: 'submit', status: 422, stage: null })],
  },
  {
    rule: 'forgotten',
    why: 'no response for 90 s while other jobs get responses',
    events: [
      accepted(100),
      ...requestsEvery(5_000, 5_000, 100_000, NO_RESPONSE),
      ...requestsEvery(1_000, 1_000, 100_000, { job: 'run-2' }),
    ],
  },
  {
    rule: 'forgotten',
    why: 'no response for any job for 75 s after the faults',
    events: [
      accepted(100),
      { kind: 'faultsEnded', at: 10_000 },
      ...requestsEvery(5_000, 12_000, 90_000, NO_RESPONSE),
      ...requestsEvery(1_000, 1_000, 90_000, { job: 'run-2', ...NO_RESPONSE }),
    ],
  },
  { rule: 'invented', why: 'a job that was never submitted', events: [request(300, { job: 'run-900000' })] },
  {
    rule: 'accepted_impossible',
    why: 'a job that is too large for any machine',
    events: [request(300, { job: 'run-800000', status: 201 })],
  },
  {
    rule: 'not_done',
    why: 'no task has completed',
    events: [accepted(100), request(300, { stage: 'done' })],
  },
  {
    rule: 'not_done',
    why: 'one of two tasks of an array has completed',
    events: [accepted(100), task('left', 200, { done: true }), request(300, { stage: 'done' })],
    spec: { tasks: 2 },
  },
  {
    rule: 'went_back',
    why: 'queued after done',
    events: [...VALID_HISTORY, request(900, { stage: 'queued' })],
  },
  {
    rule: 'went_back',
    why: 'cancelled without a request',
    events: [accepted(100), request(300, { stage: 'withdrawn' })],
  },
  { rule: 'nothing_ran', why: 'no task has started', events: [accepted(100)] },
  {
    rule: 'ended_by_itself',
    why: 'a controller process exits',
    events: [{ kind: 'controllerExited', at: 10, controller: 'dock-0', code: 1 }],
  },
  {
    rule: 'error_logged',
    why: 'a violated invariant is logged',
    events: [
      { kind: 'errorLogged', at: 10, controller: 'dock-0', event: 'invariant.violated', line: 'a line' },
    ],
  },
  {
    rule: 'left_waiting',
    why: 'a job waits despite free capacity',
    events: [
      { kind: 'faultsEnded', at: 10 },
      ...Array.from({ length: 95 }, (_, i) => ({
        kind: 'waitingDespiteCapacity' as const,
        at: 1_000 * (i + 1),
        jobs: [JOB],
      })),
    ],
  },
];

const rulesOf = (violations: readonly Violation[]): string[] => violations.map(({ rule }) => rule);

test('a valid history has no violations', () => {
  assert.deepEqual(checkHistory(historyOf(VALID_HISTORY)), []);
});

for (const { rule, why, events, spec } of VIOLATIONS)
  test(`a violation is found: ${rule}, ${why}`, () => {
    assert.ok(rulesOf(checkHistory(historyOf(events, spec))).includes(rule));
  });

test('allowed histories are not reported as violations', () => {
  const allowed: readonly (readonly SoakEvent[])[] = [
    // The task had left the first machine before it started on the second.
    [...VALID_HISTORY, task('arrived', 600, { machine: 'm-2' }), task('left', 700, { machine: 'm-2' })],
    // The 404 belongs to a request that was sent before the job was accepted.
    [request(200, { sentAt: 50, status: 404, stage: null }), ...VALID_HISTORY],
    // The response was sent before the job ended.
    [...VALID_HISTORY, request(600, { sentAt: 450, stage: 'running' })],
    // No job gets responses, for less than 75 s after the faults.
    [
      ...VALID_HISTORY,
      { kind: 'faultsEnded', at: 50_000 },
      ...requestsEvery(5_000, 5_000, 120_000, NO_RESPONSE),
      ...requestsEvery(1_000, 1_000, 120_000, { job: 'run-2', ...NO_RESPONSE }),
    ],
    // The wait is interrupted by a period without free capacity.
    [
      ...VALID_HISTORY,
      { kind: 'faultsEnded', at: 10 },
      ...Array.from({ length: 120 }, (_, i) => ({
        kind: 'waitingDespiteCapacity' as const,
        at: 1_000 * (i + 1) + (i >= 60 ? 10_000 : 0),
        jobs: [JOB],
      })),
    ],
  ];
  for (const [i, events] of allowed.entries())
    assert.deepEqual(checkHistory(historyOf(events)), [], `history ${i}`);
});

test('a gang may be reported as done once one of its tasks has completed', () => {
  const events = [
    accepted(100),
    task('arrived', 150),
    task('left', 200, { done: true }),
    request(300, { stage: 'done' }),
  ];
  assert.deepEqual(checkHistory(historyOf(events, { shape: 'gang', tasks: 2 })), []);
});

test('a late run never passes, and its timed rules are not evaluated', () => {
  const timed: Violation = { rule: 'ran_cancelled', timed: true, text: '' };
  const untimed: Violation = { rule: 'went_back', timed: false, text: '' };
  assert.equal(resultOf([], false), 'passed');
  assert.equal(resultOf([], true), 'inconclusive');
  assert.equal(resultOf([timed], false), 'failed');
  assert.equal(resultOf([timed], true), 'inconclusive');
  assert.equal(resultOf([timed, untimed], true), 'failed');
  // If timed rules are excluded, lateness does not affect the result.
  for (const isLate of [false, true]) {
    assert.equal(resultOf([timed], isLate, false), 'passed');
    assert.equal(resultOf([timed, untimed], isLate, false), 'failed');
  }
});

test('a seed always generates the same faults, and restricting the kinds keeps their times', () => {
  const all = generateFaults(7, 60_000, 3);
  assert.deepEqual(generateFaults(7, 60_000, 3), all);
  assert.equal(describeFaults(all).length, all.length);
  const kind = all[0]!.kind;
  assert.deepEqual(
    generateFaults(7, 60_000, 3, [kind]),
    all.filter((trouble) => trouble.kind === kind),
  );
  const kinds = new Set(
    Array.from({ length: 40 }, (_, i) => generateFaults(i + 1, 60_000, 3))
      .flat()
      .map((trouble) => trouble.kind),
  );
  assert.equal(kinds.size, FAULT_KINDS.length);
  const overlapping = all.filter((a) =>
    all.some((b) => b !== a && b.startMs < a.startMs + a.durationMs && a.startMs < b.startMs + b.durationMs),
  );
  assert.ok(overlapping.length > 0);
});

test('a link blocks requests and responses, and loses responses', async () => {
  const link = new FaultyLink(new Random(1), () => performance.now());
  let executed = 0;
  const execute = (): Promise<{ status: number; body: Buffer }> => {
    executed++;
    return Promise.resolve({ status: 200, body: Buffer.alloc(0) });
  };
  link.block(150, 'requests');
  const blockedRequest = link.exchange(execute);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(executed, 0);
  assert.equal((await blockedRequest)?.status, 200);
  link.block(60_000, 'responses');
  const blockedResponse = link.exchange(execute);
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(executed, 2);
  link.heal();
  assert.equal((await blockedResponse)?.status, 200);
  link.responseLossRate = 1;
  assert.equal(await link.exchange(execute), null);
  assert.equal(executed, 3);
});

test('two runs never reserve the same ports', async () => {
  const first = await reservePorts(290, 6);
  const second = await reservePorts(290, 6);
  first.lock.close();
  second.lock.close();
  assert.equal(new Set([...first.ports, ...second.ports]).size, 12);
});

test('invalid arguments of the soak tool are reported before anything starts', async () => {
  const soak = commandRunner([
    process.execPath,
    '--import',
    'tsx',
    new URL('../tools/soak.ts', import.meta.url).pathname,
  ]);
  const invalid: [args: string[], message: RegExp][] = [
    [['--seeds', '5'], /--seeds: give a range like 1\.\.50/],
    [['--seeds', '5..1'], /--seeds: give a range/],
    [['--jobs', '0'], /--jobs: give a whole number from 1 to/],
    [['--workers', '1.5'], /--workers: give a whole number/],
    [['--troubles', 'storeDown,rain'], /--troubles: no trouble rain; give some of controllerKilled/],
    [['--program', '/no/such/main.js'], /--program: there is no .*; run npm run build/],
    [['--out', '/no/such/folder/x.json'], /--out: there is no folder/],
    [['--colour', 'red'], /unknown option/],
    [
      ['--seeds', '1..30', '--jobs', '30', '--controllers', '9', '--program', 'package.json'],
      /half of the machine's memory: fewer --jobs/,
    ],
  ];
  for (const [args, message] of invalid) {
    const { exitCode, output } = await soak(...args);
    assert.equal(exitCode, 2, `${args.join(' ')}: ${output}`);
    assert.match(output, message, args.join(' '));
  }
});
