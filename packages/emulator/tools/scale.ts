/**
 * Measures how the costs of the control plane grow with the size of a deployment. Machines, cloud and key-value store are
 * simulated.
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

import { capacityRows, capacityTable, replaceTable, type StoredResult } from '../src/scale/capacity.js';
import { runHollow } from '../src/scale/hollow.js';
import { measurePollLoad } from '../src/scale/poll-load.js';
import { measureSize, type SizeReport } from '../src/scale/slopes.js';
import { fitLine } from '../src/scale/statistics.js';
import { readMeasurements } from '../src/scale/stored-measurements.js';

const EXIT_USAGE = 2;
const CONTROLLER_PROGRAM = [
  process.execPath,
  '--import',
  'tsx',
  new URL('../../cli/src/main.ts', import.meta.url).pathname,
];
const MAX_MACHINES = 20_000;
const MAX_POLLED_JOBS = 20_000;
const MAX_BURST_TASKS = 40_000;
/** Default number of tasks of a burst per machine. */
const BURST_TASKS_PER_MACHINE = 1.5;

const wholeNumber =
  (name: string, max: number) =>
  (value: string): number => {
    const number = Number(value);
    if (!Number.isInteger(number) || number < 1 || number > max)
      throw new InvalidArgumentError(`${name}: expected a whole number from 1 to ${max}`);
    return number;
  };

const numberList =
  (parseItem: (value: string) => number) =>
  (value: string): number[] =>
    value.split(',').map(parseItem);

/** Parses the name of an output file and checks that its folder is writable, before anything starts. */
const writableFile = (value: string): string => {
  const file = resolve(value);
  try {
    accessSync(dirname(file), constants.W_OK);
  } catch {
    throw new InvalidArgumentError(`--out: the folder ${dirname(file)} can't be written`);
  }
  return file;
};

/** Writes a result with the command, commit and time of the run. */
const storeResult = (file: string, result: unknown): void => {
  const git = spawnSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' });
  const stored: StoredResult<unknown> = {
    command: `scale ${process.argv.slice(2).join(' ')}`,
    commit: git.status === 0 ? git.stdout.trim() : 'unknown',
    at: new Date().toISOString(),
    result,
  };
  writeFileSync(file, `${JSON.stringify(stored, null, 1)}\n`);
};

const COLUMNS: readonly (readonly [string, (r: SizeReport) => string])[] = [
  ['machines', (r) => String(r.machines)],
  ['tasks', (r) => String(r.burst.tasks)],
  ['all started s', (r) => r.burst.allStartedS?.toFixed(1) ?? 'no'],
  ['all done', (r) => (r.burst.allDone ? 'yes' : 'no')],
  ['rest core', (r) => r.rest.coreShare.toFixed(3)],
  ['ms/start', (r) => r.burst.coreMsPerStart.toFixed(3)],
  ['starts/core s', (r) => r.burst.startsPerCoreSecond.toFixed(0)],
  ['plan p50/p99 ms', (r) => `${formatMs(r.burst.plans.wholeUs.p50)}/${formatMs(r.burst.plans.wholeUs.p99)}`],
  ['longest step ms', (r) => formatMs(r.burst.longestStepUs)],
  ['start p50/p99 s', (r) => `${r.burst.timeToStartS.p50.toFixed(1)}/${r.burst.timeToStartS.p99.toFixed(1)}`],
  ['urgent p99 s', (r) => r.burst.urgentTimeToStartS.p99.toFixed(2)],
  ['puts/start', (r) => r.burst.putsPerStart.toFixed(3)],
  ['takeover s', (r) => (r.takeover.readyAfterS === null ? 'no' : r.takeover.readyAfterS.toFixed(1))],
];

const formatMs = (us: number): string => (us / 1000).toFixed(1);

const printTable = (sizes: readonly SizeReport[]): void => {
  console.log(COLUMNS.map(([title]) => title).join(' | '));
  for (const size of sizes) console.log(COLUMNS.map(([, value]) => value(size)).join(' | '));
};

interface SlopesOptions {
  readonly machines: number[];
  readonly burst?: number;
  readonly seed: number;
  readonly out?: string;
}

const slopes = (options: SlopesOptions): void => {
  const sizes = options.machines.map((machines) => {
    const burstTasks = options.burst ?? Math.round(BURST_TASKS_PER_MACHINE * machines);
    console.error(`${machines} machines, ${burstTasks} tasks`);
    return measureSize({ machines, burstTasks, seed: options.seed });
  });
  const fitByMachines = (value: (r: SizeReport) => number): ReturnType<typeof fitLine> =>
    fitLine(sizes.map((r) => ({ x: r.machines, y: value(r) })));
  const fits = {
    restCoreShare: fitByMachines((r) => r.rest.coreShare),
    coreMsPerStart: fitByMachines((r) => r.burst.coreMsPerStart),
    planP99Us: fitByMachines((r) => r.burst.plans.wholeUs.p99),
    takeoverCoreS: fitByMachines((r) => r.takeover.coreS),
  };
  printTable(sizes);
  if (options.out !== undefined) storeResult(options.out, { sizes, fits });
  if (sizes.some((r) => r.brokenRules.length > 0)) {
    console.error('violated rules:', sizes.flatMap((r) => r.brokenRules).join('; '));
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

/** Memory of a hollow worker, and of a process besides its workers or its heap limit. */
const HOLLOW_WORKER_MB = 0.1;
const PROCESS_MB = 120;

const expectedMemoryMb = (options: HollowCommandOptions): number =>
  options.workers * HOLLOW_WORKER_MB +
  options.processes * PROCESS_MB +
  options.controllers * (PROCESS_MB + options.heapMb);

const hollow = async (options: HollowCommandOptions): Promise<void> => {
  const neededMb = expectedMemoryMb(options);
  const maxMemoryMb = totalmem() / 2 ** 20 / 2;
  if (neededMb > maxMemoryMb) {
    const text = `needs up to ${Math.round(neededMb)} MB, over half of the machine's memory`;
    console.error(`error: ${text}: fewer --workers, --controllers or a smaller --heap-mb`);
    process.exit(EXIT_USAGE);
  }
  const report = await runHollow({
    workers: options.workers,
    controllers: options.controllers,
    processes: Math.min(options.processes, options.workers),
    seconds: options.seconds,
    startsPerSecond: options.starts,
    taskSeconds: options.taskS,
    reportSeconds: options.reportS,
    leaseSeconds: options.leaseS,
    stateWriteRps: options.writeRps,
    killLeaderAt: options.killLeaderAt ?? null,
    heapMb: options.heapMb,
    program: CONTROLLER_PROGRAM,
  });
  const { usage, ...rest } = report;
  console.log(JSON.stringify(rest, null, 1));
  console.log('role | core | memory MB | sockets');
  for (const each of usage)
    console.log(
      `${each.role} | ${each.coreShare.toFixed(3)} | ${each.memoryMb.toFixed(0)} | ${each.sockets}`,
    );
  if (options.out !== undefined) storeResult(options.out, report);
  if (report.endedByThemselves.length > 0 || report.settledS === null) process.exitCode = 1;
};

const program = new Command('scale').exitOverride((error) => {
  process.exit(error.exitCode === 0 ? 0 : EXIT_USAGE);
});
program
  .command('slopes')
  .description("measure the leader's costs over a range of sizes, in simulated time")
  .option(
    '--machines <list>',
    'comma-separated numbers of machines',
    numberList(wholeNumber('--machines', MAX_MACHINES)),
    [300, 1000, 3000],
  )
  .option('--burst <tasks>', 'number of tasks in the burst', wholeNumber('--burst', MAX_BURST_TASKS))
  .option('--seed <number>', 'seed of the simulation', wholeNumber('--seed', 2 ** 31), 1)
  .option('--out <file>', 'JSON file for the result', writableFile)
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
  if (out !== undefined) storeResult(out, reports);
  if (reports.some(({ brokenRules }) => brokenRules.length > 0)) {
    console.error('violated rules:', reports.flatMap(({ brokenRules }) => brokenRules).join('; '));
    process.exitCode = 1;
  }
};

program
  .command('polls')
  .description(
    'measure the store requests for polls of unfinished jobs, in steady state and after a restart, in simulated time',
  )
  .option(
    '--jobs <list>',
    'comma-separated numbers of unfinished jobs',
    numberList(wholeNumber('--jobs', MAX_POLLED_JOBS)),
    [500, 2000, 8000],
  )
  .option('--controllers <count>', 'number of controllers', wholeNumber('--controllers', 9), 3)
  .option('--seed <number>', 'seed of the simulation', wholeNumber('--seed', 2 ** 31), 1)
  .option('--out <file>', 'JSON file for the result', writableFile)
  .action(polls);
program
  .command('capacity')
  .description('update the table of a page from stored results')
  .argument('<page>', 'a Markdown file with the table markers')
  .argument('<folder>', 'folder with slopes.json, hollow-*.json and rest-*.json')
  .action((page: string, folder: string) => {
    try {
      const table = capacityTable(capacityRows(readMeasurements(folder)));
      writeFileSync(page, replaceTable(readFileSync(page, 'utf8'), table));
    } catch (error) {
      console.error(`error: ${(error as Error).message}`);
      process.exitCode = EXIT_USAGE;
    }
  });
program
  .command('hollow')
  .description(
    'run controller processes on the loopback interface with simulated workers, cloud and key-value store',
  )
  .option('--workers <count>', 'number of workers', wholeNumber('--workers', MAX_MACHINES), 100)
  .option('--controllers <count>', 'number of controller processes', wholeNumber('--controllers', 9), 7)
  .option(
    '--processes <count>',
    'number of processes that simulate the workers',
    wholeNumber('--processes', 100),
    4,
  )
  .option('--seconds <count>', 'duration of job submission', wholeNumber('--seconds', 600), 30)
  .option('--starts <rate>', 'requested task starts per second', wholeNumber('--starts', 20_000), 50)
  .option('--task-s <seconds>', 'run time of a task', wholeNumber('--task-s', 600), 10)
  .option('--report-s <seconds>', "workers' heartbeat interval", wholeNumber('--report-s', 60), 3)
  .option('--lease-s <seconds>', "duration of the workers' leases", wholeNumber('--lease-s', 600), 30)
  .option(
    '--write-rps <rate>',
    'limit on puts per second to the key-value store',
    wholeNumber('--write-rps', 100_000),
    25,
  )
  .option(
    '--kill-leader-at <seconds>',
    'kill the leader after this time',
    wholeNumber('--kill-leader-at', 600),
  )
  .option('--heap-mb <megabytes>', 'heap limit of each controller', wholeNumber('--heap-mb', 4_096), 512)
  .option('--out <file>', 'JSON file for the result', writableFile)
  .action(hollow);
await program.parseAsync();
