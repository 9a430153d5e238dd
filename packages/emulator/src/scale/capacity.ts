/**
 * What control needs at the size that the operators expect, worked out from stored measurements: every figure of
 * `docs/CAPACITY.md`'s table comes from here, so that page and measurement can't drift apart.
 */
import type { HollowReport } from './hollow.js';
import type { SizeReport } from './slopes.js';
import { fitLine, type Line, type Point } from './statistics.js';

/** The size that the operators wrote of. */
export const TARGET = {
  workers: 12_000,
  jobsPerDay: 230_000,
  startsPerSecond: 11_000,
  tasksRunning: 51_000,
  urgentStartS: 1.6,
  configurationChangesPerDay: 9_300,
  workerCoreShare: 0.023,
  workerMemoryMb: 64,
  workerBytesPerSecond: 24 * 1024,
} as const;

/** Not measured, and not in the letter: named as assumptions on the page. */
export const ASSUMED = {
  /** The core is single-threaded: the leader has one whole core of its machine. */
  leaderCores: 1,
  leaderMemoryMb: 4_096,
  /** As the largest deployment of today has them. */
  statePutsPerSecond: 25,
  stateBytesPerSecond: 25 * 16 * 1024,
  cloudCallsPerSecond: 6,
  cloudListPage: 500,
  leaderSockets: 20_000,
  /** The largest load balancer's share of a peak hour in jobs, as a multiple of the day's mean. */
  jobPeak: 4,
  putsPerJob: 3,
  /** From a silent leader to its successor's first plan, at most. */
  takeoverS: 20,
  /** A worker reports each change, but no more often. */
  mostReportsPerWorkerPerSecond: 2,
  reportEveryS: 3,
  secondsPerDay: 86_400,
  attemptsPerTerm: 2 ** 24,
} as const;

export interface Stored<T> {
  /** Command, commit and time of the run. */
  readonly command: string;
  readonly commit: string;
  readonly at: string;
  readonly result: T;
}

export interface StoredSlopes {
  readonly sizes: readonly SizeReport[];
}

export interface Measurements {
  readonly slopes: Stored<StoredSlopes>;
  /** Runs of different sizes under load, without a killed leader. */
  readonly hollow: readonly Stored<HollowReport>[];
  /** Runs of different sizes in which hardly anything is started. */
  readonly rest: readonly Stored<HollowReport>[];
}

/** How a figure was come by. */
export type Kind = 'measured' | 'extrapolated' | 'estimated';

export interface CapacityRow {
  readonly role: string;
  readonly what: string;
  readonly unit: string;
  readonly need: number;
  readonly budget: number;
  readonly kind: Kind;
  /** Workers at which the need passes the budget, with the load in proportion; infinite where it does not grow with them. */
  readonly crossedAt: number;
  readonly mechanism: string;
}

const at = (line: Line, x: number): number => line.intercept + line.slope * x;

/** Where a line passes a budget; infinite where it never does. */
const crossing = (line: Line, budget: number): number =>
  line.slope <= 0 ? Infinity : Math.max(0, (budget - line.intercept) / line.slope);

/** A need that is the same at any size. */
const constant = (value: number): Line => ({ intercept: value, slope: 0, residual: 0 });

const rate = (perWorker: number): Line => ({ intercept: 0, slope: perWorker, residual: 0 });

const leaderOf = (report: HollowReport): HollowReport['usage'][number] =>
  report.usage.find((u) => u.role === report.leader)!;

const workersOf = (report: HollowReport): HollowReport['usage'] =>
  report.usage.filter((u) => u.role.startsWith('workers-'));

interface Lines {
  readonly restCore: Line;
  readonly startCoreS: number;
  readonly reportSocketCoreS: number;
  /** Beside the reports that it brings with it. */
  readonly startSocketCoreS: number;
  readonly memoryMb: Line;
  readonly putsPerStart: number;
  readonly bytesPerStart: number;
  readonly takeoverS: Line;
  readonly orderCallsPerStart: number;
}

/** Processor time of a start at the leader, with sockets: what is left of the busiest run without its reports. */
const startSocketCoreS = (busiest: HollowReport, reportCoreS: number): number =>
  (leaderOf(busiest).coreShare - reportCoreS * busiest.reportsPerSecond) / busiest.startsPerSecond;

const lines = ({ slopes, hollow, rest }: Measurements): Lines => {
  const { sizes } = slopes.result;
  const points = (value: (r: SizeReport) => number): Point[] =>
    sizes.map((r) => ({ x: r.machines, y: value(r) }));
  const largest = sizes.at(-1)!;
  const reportCoreS = fitLine(
    rest.map(({ result }) => ({ x: result.reportsPerSecond, y: leaderOf(result).coreShare })),
  ).slope;
  const busiest = hollow.reduce((x, y) => (y.result.startsPerSecond > x.result.startsPerSecond ? y : x));
  return {
    restCore: fitLine(points((r) => r.rest.coreShare)),
    startCoreS: largest.burst.coreMsPerStart / 1_000,
    reportSocketCoreS: reportCoreS,
    startSocketCoreS: startSocketCoreS(busiest.result, reportCoreS),
    memoryMb: fitLine(
      hollow.map(({ result }) => ({ x: result.options.workers, y: leaderOf(result).memoryMb })),
    ),
    putsPerStart: largest.burst.putsPerStart,
    bytesPerStart: largest.burst.bytesPerStart,
    takeoverS: fitLine(points((r) => r.takeover.readyAfterS ?? Infinity)),
    orderCallsPerStart: largest.burst.orderCalls / Math.max(1, largest.burst.starts),
  };
};

/** One row for each need, the first to be crossed first. */
export const capacityRows = (m: Measurements): CapacityRow[] => {
  const l = lines(m);
  const { workers, startsPerSecond } = TARGET;
  const startsPerWorker = startsPerSecond / workers;
  const largestHollow = m.hollow.reduce((x, y) =>
    y.result.options.workers > x.result.options.workers ? y : x,
  ).result;
  const largestSlope = m.slopes.result.sizes.at(-1)!;
  const reached = largestHollow.options.workers >= workers ? 'measured' : 'extrapolated';
  const restReports = 1 / ASSUMED.reportEveryS;
  // A task's start and end are reported; no worker reports more often than twice a second.
  const peakReports = Math.min(ASSUMED.mostReportsPerWorkerPerSecond, restReports + 2 * startsPerWorker);
  const jobPuts = (ASSUMED.putsPerJob * ASSUMED.jobPeak * TARGET.jobsPerDay) / ASSUMED.secondsPerDay;
  const pages = workers / ASSUMED.cloudListPage;
  const workerProcesses = workersOf(largestHollow);
  const hollowWorkers = largestHollow.options.workers;
  const row = (
    role: string,
    what: string,
    unit: string,
    line: Line,
    budget: number,
    kind: Kind,
    mechanism: string,
  ): CapacityRow => ({
    role,
    what,
    unit,
    need: at(line, workers),
    budget,
    kind,
    crossedAt: crossing(line, budget),
    mechanism,
  });
  const rows: CapacityRow[] = [
    row(
      'leader',
      'processor at rest, decisions alone',
      'cores',
      l.restCore,
      ASSUMED.leaderCores,
      'measured',
      'one leader',
    ),
    row(
      'leader',
      'processor for starts at the peak, decisions alone',
      'cores',
      rate(l.startCoreS * startsPerWorker),
      ASSUMED.leaderCores,
      'extrapolated',
      'bulk starts, sums kept up, plans in slices',
    ),
    row(
      'leader',
      'processor for starts at the peak, with sockets and without reports',
      'cores',
      rate(l.startSocketCoreS * startsPerWorker),
      ASSUMED.leaderCores,
      'extrapolated',
      'one call a machine and step; missing: orders through the other controllers',
    ),
    row(
      'leader',
      'processor for reports at rest, with sockets',
      'cores',
      rate(l.reportSocketCoreS * restReports),
      ASSUMED.leaderCores,
      'extrapolated',
      'missing: reports through the other controllers',
    ),
    row(
      'leader',
      'processor for reports at the peak, with sockets',
      'cores',
      rate(l.reportSocketCoreS * peakReports),
      ASSUMED.leaderCores,
      'extrapolated',
      'missing: reports through the other controllers',
    ),
    row('leader', 'memory', 'MB', l.memoryMb, ASSUMED.leaderMemoryMb, reached, 'one leader'),
    row('leader', 'sockets of workers', 'sockets', rate(1), ASSUMED.leaderSockets, 'estimated', 'one leader'),
    row(
      'leader',
      'calls to /orders at the peak',
      'calls/s',
      rate(l.orderCallsPerStart * startsPerWorker),
      Infinity,
      'extrapolated',
      'one call a machine and step; missing: starts in answers to reports',
    ),
    row(
      'leader',
      'from its end to the next leader having read the records',
      's',
      l.takeoverS,
      ASSUMED.takeoverS,
      'measured',
      'lease and term; records in pages',
    ),
    row(
      'state service',
      'puts for starts at the peak',
      'puts/s',
      rate(l.putsPerStart * startsPerWorker),
      ASSUMED.statePutsPerSecond,
      'extrapolated',
      'pages; missing: places by plan, not by job',
    ),
    row(
      'state service',
      'bytes for starts at the peak',
      'bytes/s',
      rate(l.bytesPerStart * startsPerWorker),
      ASSUMED.stateBytesPerSecond,
      'extrapolated',
      'pages; missing: places by plan, not by job',
    ),
    row(
      'state service',
      `puts of jobs at ${ASSUMED.jobPeak} times the day's mean`,
      'puts/s',
      rate(jobPuts / workers),
      ASSUMED.statePutsPerSecond,
      'estimated',
      'missing: acceptances of a moment in one transaction',
    ),
    row(
      'worker',
      'bytes of reports and answers',
      'bytes/s',
      constant(largestHollow.workerBytesPerSecond),
      TARGET.workerBytesPerSecond,
      'measured',
      'reports',
    ),
    row(
      'worker',
      'processor of a hollow worker',
      'cores',
      constant(workerProcesses.reduce((sum, u) => sum + u.coreShare, 0) / hollowWorkers),
      TARGET.workerCoreShare,
      'measured',
      'reports',
    ),
    row(
      'worker',
      'memory of a hollow worker',
      'MB',
      constant(workerProcesses.reduce((sum, u) => sum + u.memoryMb, 0) / hollowWorkers),
      TARGET.workerMemoryMb,
      'measured',
      'reports',
    ),
    row(
      'cloud',
      'calls for a list of all machines, of each 4 s',
      'calls/s',
      rate(pages / workers / 4),
      ASSUMED.cloudCallsPerSecond,
      'estimated',
      'lists more seldom as they grow',
    ),
    row(
      'users',
      'urgent work from submission to start, 99th percentile, decisions alone',
      's',
      constant(largestSlope.burst.urgentTimeToStartS.p99),
      TARGET.urgentStartS,
      'measured',
      'an urgent pass, and room kept by rate of arrival',
    ),
    row(
      'leader',
      'attempt numbers in an hour at the peak',
      'attempts',
      rate(startsPerWorker * 3_600),
      ASSUMED.attemptsPerTerm,
      'estimated',
      'missing: a new term before the numbers run out',
    ),
  ];
  return rows.sort((x, y) => x.crossedAt - y.crossedAt);
};

const figure = (value: number): string => {
  if (!Number.isFinite(value)) return 'none';
  if (value === 0) return '0';
  const digits = value >= 100 ? 0 : value >= 1 ? 1 : 4;
  return value.toFixed(digits);
};

export const BEGIN = '<!-- table: begin -->';
export const END = '<!-- table: end -->';

/** The page's table, in Markdown. */
export const capacityTable = (rows: readonly CapacityRow[]): string => {
  const head = [
    'role',
    'what',
    'need',
    'budget',
    'unit',
    'share',
    'crossed at workers',
    'how known',
    'mechanism',
  ];
  const cells = rows.map((r) => [
    r.role,
    r.what,
    figure(r.need),
    figure(r.budget),
    r.unit,
    Number.isFinite(r.budget) ? figure(r.need / r.budget) : '',
    Number.isFinite(r.crossedAt) ? figure(r.crossedAt) : 'not',
    r.kind,
    r.mechanism,
  ]);
  return [head, head.map(() => '---'), ...cells].map((row) => `| ${row.join(' | ')} |`).join('\n');
};

/** The page with its table made anew; the rest is left as it is. */
export const withTable = (page: string, table: string): string => {
  const from = page.indexOf(BEGIN);
  const to = page.indexOf(END);
  if (from < 0 || to < from) throw new Error(`the page has no lines ${BEGIN} and ${END}`);
  return `${page.slice(0, from + BEGIN.length)}\n\n<!-- prettier-ignore -->\n${table}\n\n${page.slice(to)}`;
};
