/**
 * Runs tests with Node's test runner and ignores only the failures of tests that KNOWN-RED.txt lists.
 *
 *     npx tsx packages/emulator/tools/run-tests.ts packages/core/test/*.test.ts
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { evaluateResults, KnownRedListError, parseKnownRed, type TestResult } from '../src/known-red.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const REPORTER = new URL('test-results-reporter.mjs', import.meta.url).pathname;

/** Runs the tests with the spec reporter on standard output, and collects the results of top-level tests. */
const runTests = (files: readonly string[]): { results: TestResult[]; endedNormally: boolean } => {
  const folder = mkdtempSync(join(tmpdir(), 'shaleyoke-tests-'));
  const resultsFile = join(folder, 'results.jsonl');
  try {
    const testRun = spawnSync(
      process.execPath,
      [
        '--import',
        import.meta.resolve('tsx'),
        '--test',
        '--test-reporter=spec',
        '--test-reporter-destination=stdout',
        `--test-reporter=${REPORTER}`,
        `--test-reporter-destination=${resultsFile}`,
        ...files,
      ],
      { stdio: 'inherit' },
    );
    const lines = existsSync(resultsFile) ? readFileSync(resultsFile, 'utf8').trim().split('\n') : [];
    const results = lines.filter((line) => line !== '').map((line) => JSON.parse(line) as TestResult);
    return { results, endedNormally: testRun.status === 0 || testRun.status === 1 };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const main = (files: readonly string[]): number => {
  if (files.length === 0) {
    console.error('error: no test files given; usage: run-tests.ts FILE...');
    return EXIT_USAGE;
  }
  const knownRed = existsSync(KNOWN_RED_FILE) ? parseKnownRed(readFileSync(KNOWN_RED_FILE, 'utf8')) : [];
  const { results, endedNormally } = runTests(files);
  const { report, problems } = evaluateResults(results, knownRed);
  for (const line of report) console.log(line);
  const all = endedNormally ? problems : [...problems, 'the test runner did not end normally'];
  for (const problem of all) console.error(`error: ${problem}`);
  return all.length === 0 ? 0 : EXIT_FAILED;
};

try {
  process.exitCode = main(process.argv.slice(2));
} catch (error) {
  if (!(error instanceof KnownRedListError)) throw error;
  console.error(`error: ${KNOWN_RED_FILE}: ${error.message}`);
  process.exitCode = EXIT_USAGE;
}
