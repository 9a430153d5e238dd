/** Known failing tests: parses the list at the repository's root, and judges the results of a run by it. */

/** Maximum number of listed tests. */
export const MAX_KNOWN_RED = 3;
const SEPARATOR = ' | ';
const COMMENT = '#';

/** A listed test. */
export interface KnownRedTest {
  /** Title of the top-level test. */
  readonly test: string;
  /** Why it fails. */
  readonly cause: string;
  /** Reference to the open issue. */
  readonly issue: string;
}

/** The result of a top-level test. */
export interface TestResult {
  /** Title of the top-level test. */
  readonly name: string;
  /** False if it or one of its subtests failed. */
  readonly passed: boolean;
}

/** Whether a run of all tests passes. */
export interface Verdict {
  /** Outcomes of the listed tests, one per line. */
  readonly report: readonly string[];
  /** Reasons for failure; if empty, the run passes. */
  readonly problems: readonly string[];
}

/** The list has a malformed line, or too many lines. */
export class KnownRedListError extends Error {
  override readonly name = 'KnownRedListError';
}

/** Parses the list: one test per line, as `test | cause | issue`; lines that begin with `#` are comments. */
export const parseKnownRed = (text: string): KnownRedTest[] => {
  const lines = text.split('\n').filter((line) => line.trim() !== '' && !line.startsWith(COMMENT));
  if (lines.length > MAX_KNOWN_RED) {
    throw new KnownRedListError(`${lines.length} tests are listed, ${MAX_KNOWN_RED} at most may be`);
  }
  return lines.map((line) => {
    const [test, cause, issue, ...rest] = line.split(SEPARATOR).map((field) => field.trim());
    const isComplete = [test, cause, issue].every((field) => field !== undefined && field !== '');
    if (!isComplete || rest.length > 0) {
      throw new KnownRedListError(`expected "test${SEPARATOR}cause${SEPARATOR}issue": ${line}`);
    }
    return { test: test!, cause: cause!, issue: issue! };
  });
};

/** Tolerates failures of listed tests only. A listed name without a test is a problem as well. */
export const evaluateResults = (
  results: readonly TestResult[],
  knownRed: readonly KnownRedTest[],
): Verdict => {
  const listed = new Set(knownRed.map(({ test }) => test));
  const report: string[] = [];
  const problems: string[] = [];
  if (results.length === 0) problems.push('no test was run');
  for (const { name, passed } of results) if (!passed && !listed.has(name)) problems.push(`failed: ${name}`);
  for (const { test, cause, issue } of knownRed) {
    const runs = results.filter(({ name }) => name === test);
    if (runs.length === 0) problems.push(`listed as known red, but no test has this name: ${test}`);
    else {
      const outcome = runs.every(({ passed }) => passed) ? 'passed: take it off the list' : 'failed';
      report.push(`known red, ${outcome}: ${test} (${cause}; ${issue})`);
    }
  }
  return { report, problems };
};
