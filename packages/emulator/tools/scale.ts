/**
 * Measures how the costs of control grow with the size of a deployment. Machines, cloud and state service are emulated.
 *
 *     npx tsx packages/emulator/tools/scale.ts slopes --machines 300,1000,3000 --out slopes.json
 *     npx tsx packages/emulator/tools/scale.ts polls --jobs 500,2000,8000
 *     npx tsx packages/emulator/tools/scale.ts hollow --workers 1000 --starts 200 --out hollow.json
 */
import { spawnSync } from 'node:child_process';
import { accessSync, constants, readFileSync, writeFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import { dirname, resolve } from 'node:path';

import { Command, InvalidArgumentError } from 'commander';

import { capacityRows, capacityTable, type Stored, withTable } from '../src/scale/capacity.js';
import { runHollow } from '../src/scale/hollow.js';
import { measurePollLoad } from '../src/scale/poll-load.js';
import { measureSize, type SizeReport } from '../src/scale/slopes.js';
import { fitLine } from '../src/scale/statistics.js';
import { readMeasurements } from '../src/scale/stored.js';

const EXIT_USAGE = 2;
const CONTROLLER = [
  process.execPath,
  '--import',
  'tsx',
  new URL('../../cli/src/main.ts', import.meta.url).pathname,
];
const MOST_MACHINES = 20_000;
const MOST_POLLED_JOBS = 20_000;
const MOST_BURST_TASKS = 40_000;
/** Tasks of a burst for each machine, where the command line does not say. */
const BURST_PER_MACHINE = 1.5;

const wholeNumber =
  (name: string, most: number) =>
  (value: string): number => {
    const number = Number(value);
    if (!Number.isInteger(number) || number < 1 || number > most)
      throw new InvalidArgumentError(`${name}: expected a whole number from 1 to ${most}`);
    return number;
  };

const listOf =
  (one: (value: string) => number) =>
  (value: string): number[] =>
    value.split(',').map(one);

/** A file that can be written; checked before anything starts. */
const writableFile = (value: string): string => {
  const file = resolve(value);
  try {
    accessSync(dirname(file), constants.W_OK);
  } catch {
    throw new InvalidArgumentError(`--out: the folder ${dirname(file)} can't be written`);
  }
  return file;
};

/** With the command, commit and time that it came of. */
const store = (file: string, result: unknown): void => {
  const git = spawnSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' });
  const stored: Stored<unknown> = {
    command: `scale ${process.argv.slice(2).join(' ')}`,
    commit: git.status === 0 ? git.stdout.trim() : 'unknown',
    at: new Date().toISOString(),
    result,
  };
  writeFileSync(file, `${JSON.stringify(stored, null, 1)}\n`);
};

const columns: readonly (readonly [string, (r: SizeReport) => string])[] = [
  ['machines', (r) => String(r.machines)],
  ['tasks', (r) => String(r.burst.tasks)],
  ['all started s', (r) => r.burst.allStartedS?.toFixed(1) ?? 'no'],
  ['all done', (r) => (r.burst.allDone ? 'yes' : 'no')],
  ['rest core', (r) => r.rest.coreShare.toFixed(3)],
  ['ms/start', (r) => r.burst.coreMsPerStart.toFixed(3)],
  ['starts/core s', (r) => r.burst.startsPerCoreSecond.toFixed(0)],
  ['plan p50/p99 ms', (r) => `${ms(r.burst.plans.wholeUs.p50)}/${ms(r.burst.plans.wholeUs.p99)}`],
  ['longest step ms', (r) => ms(r.burst.longestStepUs)],
  ['start p50/p99 s', (r) => `${r.burst.timeToStartS.p50.toFixed(1)}/${r.burst.timeToStartS.p99.toFixed(1)}`],
  ['urgent p99 s', (r) => r.burst.urgentTimeToStartS.p99.toFixed(2)],
  ['puts/start', (r) => r.burst.putsPerStart.toFixed(3)],
  ['takeover s', (r) => (r.takeover.readyAfterS === null ? 'no' : r.takeover.readyAfterS.toFixed(1))],
];

const ms = (us: number): string => (us / 1000).toFixed(1);

const printTable = (sizes: readonly SizeReport[]): void => {
  console.log(columns.map(([name]) => name).join(' | '));
  for (const size of sizes) console.log(columns.map(([, value]) => value(size)).join(' | '));
};

interface SlopesOptions {
  readonly machines: number[];
  readonly burst?: number;
  readonly seed: number;
  readonly out?: string;
}

const slopes = (options: SlopesOptions): void => {
  const sizes = options.machines.map((machines) => {
    const burstTasks = options.burst ?? Math.round(BURST_PER_MACHINE * machines);
    console.error(`${machines} machines, ${burstTasks} tasks`);
    return measureSize({ machines, burstTasks, seed: options.seed });
  });
  const over = (value: (r: SizeReport) => number): ReturnType<typeof fitLine> =>
    fitLine(sizes.map((r) => ({ x: r.machines, y: value(r) })));
  const fits = {
    restCoreShare: over((r) => r.rest.coreShare),
    coreMsPerStart: over((r) => r.burst.coreMsPerStart),
    planP99Us: over((r) => r.burst.plans.wholeUs.p99),
    takeoverCoreS: over((r) => r.takeover.coreS),
  };
  printTable(sizes);
  if (options.out !== undefined) store(options.out, { sizes, fits });
  if (sizes.some((r) => r.brokenRules.length > 0)) {
    console.error('rules broken:', sizes.flatMap((r) => r.brokenRules).join('; '));
    process.exitCode = 1;
  }
};

interface HollowCommandOptions {
  readonly workers: number;
  readonly controllers: number;
  readonly processes: number;
  readonly seconds: number;
  readonly starts: number;
  readonly taskS: number;
  readonly reportS: number;
  readonly leaseS: number;
  readonly writeRps: number;
  readonly killLeaderAt?: number;
  readonly heapMb: number;
  readonly out?: string;
}

/** What a hollow worker takes, measured; and what a process takes besides. */
const WORKER_MB = 0.1;
const PROCESS_MB = 120;

const expectedMemoryMb = (o: HollowCommandOptions): number =>
  o.workers * WORKER_MB + o.processes * PROCESS_MB + o.controllers * (PROCESS_MB + o.heapMb);

const hollow = async (o: HollowCommandOptions): Promise<void> => {
  const needed = expectedMemoryMb(o);
  const most = totalmem() / 2 ** 20 / 2;
  if (needed > most) {
    const text = `needs up to ${Math.round(needed)} MB, over half of the machine's memory`;
    console.error(`error: ${text}: fewer --workers, --controllers or a smaller --heap-mb`);
    process.exit(EXIT_USAGE);
  }
  const report = await runHollow({
    workers: o.workers,
    controllers: o.controllers,
    processes: Math.min(o.processes, o.workers),
    seconds: o.seconds,
    startsPerSecond: o.starts,
    taskSeconds: o.taskS,
    reportSeconds: o.reportS,
    leaseSeconds: o.leaseS,
    stateWriteRps: o.writeRps,
    killLeaderAt: o.killLeaderAt ?? null,
    heapMb: o.heapMb,
    program: CONTROLLER,
  });
  const { usage, ...rest } = report;
  console.log(JSON.stringify(rest, null, 1));
  console.log('role | core | memory MB | sockets');
  for (const u of usage)
    console.log(`${u.role} | ${u.coreShare.toFixed(3)} | ${u.memoryMb.toFixed(0)} | ${u.sockets}`);
  if (o.out !== undefined) store(o.out, report);
  if (report.endedByThemselves.length > 0 || report.settledS === null) process.exitCode = 1;
};

const program = new Command('scale').exitOverride((e) => {
  process.exit(e.exitCode === 0 ? 0 : EXIT_USAGE);
});
program
  .command('slopes')
  .description("the leader's costs over a range of sizes, in simulated time")
  .option(
    '--machines <list>',
    'sizes, separated by commas',
    listOf(wholeNumber('--machines', MOST_MACHINES)),
    [300, 1000, 3000],
  )
  .option('--burst <tasks>', 'tasks submitted at once', wholeNumber('--burst', MOST_BURST_TASKS))
  .option('--seed <number>', 'seed of the emulated world', wholeNumber('--seed', 2 ** 31), 1)
  .option('--out <file>', 'where the result goes as JSON', writableFile)
  .action(slopes);
interface PollsOptions {
  readonly jobs: number[];
  readonly controllers: number;
  readonly seed: number;
  readonly out?: string;
}

const polls = ({ jobs, controllers, seed, out }: PollsOptions): void => {
  const reports = jobs.map((count) => measurePollLoad({ jobs: count, controllers, seed }));
  console.log('jobs | phase | answered | p50/p99 ms | longest unanswered s | requests | requests/answer');
  for (const { jobs: count, warm, cold, idleRequests } of reports) {
    for (const [phase, figures] of Object.entries({ warm, cold })) {
      const answered = `${figures.answered} of ${figures.polls}`;
      const latency = `${figures.latencyP50Ms.toFixed(0)}/${figures.latencyP99Ms.toFixed(0)}`;
      const requests = `${figures.storeRequests} (idle ${idleRequests})`;
      const unanswered = figures.longestUnansweredS.toFixed(1);
      const each = figures.requestsPerAnswer.toFixed(3);
      console.log([count, phase, answered, latency, unanswered, requests, each].join(' | '));
    }
  }
  if (out !== undefined) store(out, reports);
  if (reports.some(({ brokenRules }) => brokenRules.length > 0)) {
    console.error('rules broken:', reports.flatMap(({ brokenRules }) => brokenRules).join('; '));
    process.exitCode = 1;
  }
};

program
  .command('polls')
  .description(
    'what polls of unfinished jobs cost the store, as usual and after a restart, in simulated time',
  )
  .option(
    '--jobs <list>',
    'numbers of unfinished jobs, separated by commas',
    listOf(wholeNumber('--jobs', MOST_POLLED_JOBS)),
    [500, 2000, 8000],
  )
  .option('--controllers <count>', 'controllers', wholeNumber('--controllers', 9), 3)
  .option('--seed <number>', 'seed of the emulated world', wholeNumber('--seed', 2 ** 31), 1)
  .option('--out <file>', 'where the result goes as JSON', writableFile)
  .action(polls);
program
  .command('capacity')
  .description('makes the table of a page anew from stored results')
  .argument('<page>', 'a Markdown file with the marks of a table')
  .argument('<folder>', 'slopes.json and hollow-*.json')
  .action((page: string, folder: string) => {
    try {
      const table = capacityTable(capacityRows(readMeasurements(folder)));
      writeFileSync(page, withTable(readFileSync(page, 'utf8'), table));
    } catch (e) {
      console.error(`error: ${(e as Error).message}`);
      process.exitCode = EXIT_USAGE;
    }
  });
program
  .command('hollow')
  .description('real controllers on loopback, with hollow workers, cloud and state service')
  .option('--workers <count>', 'workers', wholeNumber('--workers', MOST_MACHINES), 100)
  .option('--controllers <count>', 'controller processes', wholeNumber('--controllers', 9), 7)
  .option('--processes <count>', 'processes that share the workers', wholeNumber('--processes', 100), 4)
  .option('--seconds <count>', 'how long work comes', wholeNumber('--seconds', 600), 30)
  .option('--starts <rate>', 'task starts a second that are asked for', wholeNumber('--starts', 20_000), 50)
  .option('--task-s <seconds>', 'run time of a task', wholeNumber('--task-s', 600), 10)
  .option('--report-s <seconds>', "workers' interval of reports", wholeNumber('--report-s', 60), 3)
  .option('--lease-s <seconds>', "workers' lease", wholeNumber('--lease-s', 600), 30)
  .option('--write-rps <rate>', 'puts a second of the state service', wholeNumber('--write-rps', 100_000), 25)
  .option('--kill-leader-at <seconds>', 'kills the leader then', wholeNumber('--kill-leader-at', 600))
  .option('--heap-mb <megabytes>', 'heap of a controller', wholeNumber('--heap-mb', 4_096), 512)
  .option('--out <file>', 'where the result goes as JSON', writableFile)
  .action(hollow);
await program.parseAsync();
