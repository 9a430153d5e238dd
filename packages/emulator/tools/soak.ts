/**
 * A randomized fault-injection test: controllers of the built program run as separate processes on the loopback
 * interface against simulated store, cloud, workers and users. Invariants are checked on what users and workers
 * observe.
 *
 *     npx tsx packages/emulator/tools/soak.ts --seeds 1..50 --jobs 6 --out soak.json
 *     npx tsx packages/emulator/tools/soak.ts --seeds 17..17 --until 20 --troubles controllerKilled,storeDown
 *
 * Exit codes: 0 if all seeds passed, 1 if any did not, 2 for invalid arguments, 130 if interrupted.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { cpus, tmpdir, totalmem } from 'node:os';
import { dirname, join, resolve } from 'node:path';

import { Command, InvalidArgumentError } from 'commander';

import { FAULT_KINDS, type FaultKind } from '../src/soak/fault-schedule.js';
import { type SoakOptions, SoakRun, type SoakSummary } from '../src/soak/soak-run.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;
const DEFAULT_PROGRAM = 'target/main.js';
const MAX_SEED = 2 ** 30;
/** Memory per process, and per simulated worker; the tool uses at most half of the machine's memory. */
const CONTROLLER_MB = 120;
const RUN_PROCESS_MB = 150;
const WORKER_MB = 0.2;
const MILLIS_PER_S = 1_000;

interface SoakArguments {
  readonly seeds: readonly number[];
  readonly jobs: number;
  readonly controllers: number;
  readonly workers: number;
  readonly until: number;
  readonly submitMs: number;
  readonly troubles: readonly FaultKind[];
  readonly program: string;
  readonly rulesOnly: boolean;
  readonly out?: string;
}

const wholeNumber =
  (option: string, least: number, most: number) =>
  (value: string): number => {
    const number = Number(value);
    if (!Number.isInteger(number) || number < least || number > most)
      throw new InvalidArgumentError(`${option}: give a whole number from ${least} to ${most}`);
    return number;
  };

const seedRange = (value: string): number[] => {
  const match = /^(\d+)\.\.(\d+)$/.exec(value);
  const [from, to] = match === null ? [NaN, NaN] : [Number(match[1]), Number(match[2])];
  if (!(from >= 1 && to >= from && to <= MAX_SEED))
    throw new InvalidArgumentError('--seeds: give a range like 1..50');
  return Array.from({ length: to - from + 1 }, (_, i) => from + i);
};

const isFaultKind = (name: string): name is FaultKind => (FAULT_KINDS as readonly string[]).includes(name);

const faultKindList = (value: string): FaultKind[] => {
  const names = value.split(',');
  const unknown = names.find((name) => !isFaultKind(name));
  if (unknown !== undefined)
    throw new InvalidArgumentError(
      `--troubles: no trouble ${unknown}; give some of ${FAULT_KINDS.join(',')}`,
    );
  return names.filter(isFaultKind);
};

const builtProgram = (value: string): string => {
  const file = resolve(value);
  if (!existsSync(file))
    throw new InvalidArgumentError(`--program: there is no ${file}; run npm run build, or name a bundle`);
  return file;
};

const writableFile = (value: string): string => {
  const file = resolve(value);
  if (!existsSync(dirname(file)))
    throw new InvalidArgumentError(
      `--out: there is no folder ${dirname(file)}; name a file in one that exists`,
    );
  return file;
};

const checkMemory = ({ jobs, seeds, controllers, workers }: SoakArguments): void => {
  const atOnce = Math.min(jobs, seeds.length);
  const neededMb = atOnce * (RUN_PROCESS_MB + controllers * CONTROLLER_MB + workers * WORKER_MB);
  const allowedMb = totalmem() / 2 ** 20 / 2;
  if (neededMb <= allowedMb) return;
  console.error(
    `error: needs ${Math.round(neededMb)} MB, more than half of the machine's memory: fewer --jobs, --controllers or --workers`,
  );
  process.exit(EXIT_USAGE);
};

const optionsOf = (given: SoakArguments, seed: number): SoakOptions => ({
  seed,
  program: [process.execPath, given.program],
  controllers: given.controllers,
  workers: given.workers,
  faultMs: given.until * MILLIS_PER_S,
  faultKinds: given.troubles,
  submitIntervalMs: given.submitMs,
  checksTimedRules: !given.rulesOnly,
});

const runInProcess = async (given: SoakArguments, seed: number): Promise<SoakSummary> => {
  const run = new SoakRun(optionsOf(given, seed));
  const interrupt = (): void => {
    run.stop();
    process.exit(EXIT_INTERRUPTED);
  };
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  return run.run();
};

/** Runs a seed in a separate process, so that concurrent seeds don't delay each other's timers. */
const runInChildProcess = (
  given: SoakArguments,
  seed: number,
  folder: string,
  children: Set<ChildProcess>,
): Promise<SoakSummary | null> =>
  new Promise((resolveSummary) => {
    const out = join(folder, `${seed}.json`);
    const child = spawn(
      process.execPath,
      [
        ...process.execArgv,
        process.argv[1]!,
        ...['--seeds', `${seed}..${seed}`, '--controllers', String(given.controllers)],
        ...['--workers', String(given.workers), '--until', String(given.until)],
        ...['--submit-ms', String(given.submitMs), '--troubles', given.troubles.join(',')],
        ...['--program', given.program, '--out', out],
        ...(given.rulesOnly ? ['--rules-only'] : []),
      ],
      { stdio: ['ignore', 'ignore', 'inherit'] },
    );
    children.add(child);
    child.on('exit', () => {
      children.delete(child);
      const summaries = existsSync(out) ? (JSON.parse(readFileSync(out, 'utf8')) as SoakSummary[]) : [];
      resolveSummary(summaries[0] ?? null);
    });
  });

const printSummary = (summary: SoakSummary): void => {
  const { seed, result, troubles, violations, jobs, unfinished, requests, answers } = summary;
  const { longestUnansweredS, latenessS, tookS } = summary;
  const counts = `${troubles.length} faults, ${jobs} jobs, ${requests} requests, ${answers} responses`;
  const times = `longest time without a response ${longestUnansweredS.toFixed(1)} s, timers late by ${latenessS.toFixed(2)} s, took ${tookS.toFixed(0)} s`;
  console.log(`seed ${seed}: ${result}; ${counts}, ${unfinished.length} unfinished; ${times}`);
  if (result === 'passed') return;
  for (const line of troubles) console.log(`  ${line}`);
  for (const { rule, text } of violations) console.log(`  ${rule}: ${text}`);
};

const runAll = async (given: SoakArguments): Promise<SoakSummary[]> => {
  if (given.seeds.length === 1) {
    const summary = await runInProcess(given, given.seeds[0]!);
    printSummary(summary);
    return [summary];
  }
  const folder = mkdtempSync(join(tmpdir(), 'shaleyoke-soak-results-'));
  const children = new Set<ChildProcess>();
  const interrupt = (): void => {
    for (const child of children) child.kill('SIGINT');
    process.exit(EXIT_INTERRUPTED);
  };
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  const waiting = [...given.seeds];
  const summaries: SoakSummary[] = [];
  const runNext = async (): Promise<void> => {
    for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
      const summary = await runInChildProcess(given, seed, folder, children);
      if (summary === null) console.log(`seed ${seed}: ended without a result`);
      else {
        printSummary(summary);
        summaries.push(summary);
      }
    }
  };
  await Promise.all(Array.from({ length: given.jobs }, runNext));
  rmSync(folder, { recursive: true, force: true });
  return summaries.sort((left, right) => left.seed - right.seed);
};

const soak = async (given: SoakArguments): Promise<void> => {
  checkMemory(given);
  const summaries = await runAll(given);
  const count = (result: string): number => summaries.filter((summary) => summary.result === result).length;
  const missing = given.seeds.length - summaries.length;
  console.log(
    `${given.seeds.length} seeds: ${count('passed')} passed, ${count('failed')} failed, ${count('inconclusive')} inconclusive, ${missing} without a result`,
  );
  if (given.out !== undefined) writeFileSync(given.out, `${JSON.stringify(summaries, null, 1)}\n`);
  process.exit(count('passed') === given.seeds.length ? 0 : EXIT_FAILED);
};

await new Command('soak')
  .description('run a randomized fault-injection test with controller processes on the loopback interface')
  .exitOverride((error) => {
    process.exit(error.exitCode === 0 ? 0 : EXIT_USAGE);
  })
  .option('--seeds <range>', 'range of seeds to run', seedRange, [1])
  .option(
    '--jobs <count>',
    'number of concurrent seeds',
    wholeNumber('--jobs', 1, 32),
    Math.max(1, cpus().length - 2),
  )
  .option('--controllers <count>', 'number of controllers', wholeNumber('--controllers', 1, 9), 3)
  .option('--workers <count>', 'number of workers in the cloud', wholeNumber('--workers', 2, 1_000), 12)
  .option('--until <seconds>', 'duration of fault injection', wholeNumber('--until', 1, 600), 40)
  .option('--submit-ms <ms>', 'interval between job submissions', wholeNumber('--submit-ms', 10, 60_000), 500)
  .option('--troubles <kinds>', 'comma-separated kinds of faults to inject', faultKindList, [...FAULT_KINDS])
  .option('--program <file>', 'the built program', builtProgram, DEFAULT_PROGRAM)
  .option(
    '--rules-only',
    'ignore rules that depend on durations, for a machine that is busy with other work',
    false,
  )
  .option('--out <file>', 'JSON file for the summaries', writableFile)
  .action(soak)
  .parseAsync();
