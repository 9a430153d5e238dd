/** Tests the scale tool: arguments, a small simulated size, a hollow run with a killed leader, and the capacity page. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { commandRunner } from '../src/command-runner.js';
import { capacityRows, capacityTable, replaceTable } from '../src/scale/capacity.js';
import { runHollow } from '../src/scale/hollow.js';
import { measurePollLoad } from '../src/scale/poll-load.js';
import { measureSize } from '../src/scale/slopes.js';
import { fitLine, summarize } from '../src/scale/statistics.js';
import { readMeasurements } from '../src/scale/stored-measurements.js';

const path = (relative: string): string => new URL(relative, import.meta.url).pathname;
const scale = commandRunner([process.execPath, '--import', 'tsx', path('../tools/scale.ts')]);
const PROGRAM = [process.execPath, '--import', 'tsx', path('../../cli/src/main.ts')];

test('invalid arguments are reported before anything starts', async () => {
  const invalid: [args: string[], message: RegExp][] = [
    [['slopes', '--machines', '0'], /--machines.*1 to/],
    [['slopes', '--machines', '300,-5'], /--machines.*1 to/],
    [['slopes', '--machines', '99999'], /--machines.*1 to/],
    [['slopes', '--out', '/no/such/folder/x.json'], /--out.*can't be written/],
    [['hollow', '--workers', '1.5'], /--workers.*whole number/],
    [
      ['hollow', '--heap-mb', '4096', '--controllers', '9', '--workers', '20000'],
      /half of the machine's memory/,
    ],
    [['hollow', '--colour', 'red'], /unknown option/],
    [['polls', '--jobs', '0'], /--jobs.*1 to/],
    [['polls', '--jobs', '500,x'], /--jobs.*whole number/],
    [['sleep'], /unknown command/],
    [['capacity', 'docs/CAPACITY.md', '/no/such/folder'], /error: .*\/no\/such\/folder/],
  ];
  for (const [args, message] of invalid) {
    const { exitCode, output } = await scale(...args);
    assert.equal(exitCode, 2, `${args.join(' ')}: ${output}`);
    assert.match(output, message, args.join(' '));
  }
});

test('summaries and linear fits are computed', () => {
  assert.deepEqual(summarize([3, 1, 2]), { count: 3, total: 6, p50: 2, p99: 3, max: 3 });
  const line = fitLine([1, 2, 3].map((x) => ({ x, y: 2 * x + 1 })));
  assert.ok(Math.abs(line.slope - 2) < 1e-9 && Math.abs(line.intercept - 1) < 1e-9 && line.residual < 1e-9);
});

test('a small size is measured: all tasks start and end, and a new leader restores the state', () => {
  const size = measureSize({ machines: 60, burstTasks: 260, seed: 3 });
  assert.deepEqual(size.brokenRules, []);
  assert.ok(size.burst.tasks > 80 && size.burst.allStartedS !== null && size.burst.allDone);
  assert.ok(size.burst.starts >= size.burst.tasks);
  assert.ok(size.rest.coreS > 0 && size.burst.puts > 0 && size.burst.plans.wholeUs.count > 0);
  assert.ok(size.takeover.readyAfterS !== null);
});

test('polls are measured in steady state and after a restart', () => {
  const { warm, cold, brokenRules } = measurePollLoad({ jobs: 60, controllers: 3, seed: 2 });
  assert.deepEqual(brokenRules, []);
  for (const phase of [warm, cold]) {
    assert.ok(phase.answered > 0.95 * phase.polls, `${phase.answered} of ${phase.polls}`);
    assert.ok(phase.longestUnansweredS < 15, `${phase.longestUnansweredS} s`);
  }
  assert.ok(warm.requestsPerAnswer < 1.5, `${warm.requestsPerAnswer}`);
});

test('controller processes with a hundred hollow workers survive the loss of the leader', async () => {
  const report = await runHollow({
    workers: 100,
    controllers: 3,
    processes: 2,
    seconds: 14,
    startsPerSecond: 40,
    taskSeconds: 3,
    reportSeconds: 2,
    leaseSeconds: 30,
    stateWriteRps: 50,
    killLeaderAt: 3,
    heapMb: 256,
    program: PROGRAM,
  });
  assert.deepEqual(report.endedByThemselves, []);
  assert.notEqual(report.settledS, null);
  assert.notEqual(report.newLeaderAfterS, null);
  assert.ok(report.startedTasks > 0 && report.submitted > 0);
  assert.equal(report.leasesEnded, 0);
  // The two remaining controllers, two worker processes, and this process.
  assert.equal(report.usage.length, 5);
});

test("the capacity page's table matches the stored measurements", () => {
  const page = readFileSync(path('../../../docs/CAPACITY.md'), 'utf8');
  const rows = capacityRows(readMeasurements(path('../../../docs/capacity')));
  assert.equal(page, replaceTable(page, capacityTable(rows)));
  for (const row of rows) assert.ok(Number.isFinite(row.demand), `${row.role}: ${row.requirement}`);
});
