/**
 * Computes the resource requirements of the control plane at the target size from stored measurements. All figures in the
 * table of `docs/CAPACITY.md` come from here, so that the page always matches the measurements.
 */
import type { HollowReport } from './hollow.js';
import type { SizeReport } from './slopes.js';
import { fitLine, type Line, type Point } from './statistics.js';

/** The deployment size to plan for, as the operators specified it. */
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

/** Values that are neither measured nor specified by the operators; the page lists them as assumptions. */
export const ASSUMED = {
  /** The controller is single-threaded, so the leader can use one core of its machine. */
  leaderCores: 1,
  leaderMemoryMb: 4_096,
  /** Limits of the key-value store and the cloud API in today's largest deployment. */
  storePutsPerSecond: 25,
  storeBytesPerSecond: 25 * 16 * 1024,
  cloudCallsPerSecond: 6,
  cloudListPage: 500,
  leaderSockets: 20_000,
  /** Job submissions through the largest load balancer in a peak hour, as a multiple of the day's mean. */
  peakJobRateFactor: 4,
  putsPerJob: 3,
  /** Maximum time from a leader's failure to its successor's first plan. */
  takeoverS: 20,
  /** A worker sends a heartbeat after each state change, limited to this rate. */
  maxHeartbeatsPerWorkerPerSecond: 2,
  heartbeatIntervalS: 3,
  secondsPerDay: 86_400,
  attemptsPerTerm: 2 ** 24,
} as const;

/** A result of the scale tool as stored in a JSON file, with the command, commit and time of the run. */
export interface StoredResult<T> {
  readonly command: string;
  readonly commit: string;
  readonly at: string;
  readonly result: T;
}

/** The result of the `slopes` command. */
export interface SlopesResult {
  readonly sizes: readonly SizeReport[];
}

/** All stored measurements that the capacity table is computed from. */
export interface Measurements {
  readonly slopes: StoredResult<SlopesResult>;
  /** Runs of different sizes under load in which the leader is not killed. */
  readonly hollow: readonly StoredResult<HollowReport>[];
  /** Runs of different sizes with hardly any task starts. */
  readonly rest: readonly StoredResult<HollowReport>[];
}

/** How a figure was obtained. */
export type Evidence = 'measured' | 'extrapolated' | 'estimated';

/** A row of the capacity table: one resource requirement at the target size, and its budget. */
export interface CapacityRow {
  readonly role: string;
  readonly requirement: string;
  readonly unit: string;
  readonly demand: number;
  readonly budget: number;
  readonly evidence: Evidence;
  /**
   * Number of workers at which the demand exceeds the budget if the load grows in proportion to them; infinite if the
   * demand does not grow.
   */
  readonly exceededAtWorkers: number;
  readonly mechanism: string;
}

const valueAt = (line: Line, x: number): number => line.intercept + line.slope * x;

/** The x at which a line exceeds a budget; infinite if it never does. */
const crossingPoint = (line: Line, budget: number): number =>
  line.slope <= 0 ? Infinity : Math.max(0, (budget - line.intercept) / line.slope);

/** A demand that is the same at any size. */
const constantLine = (value: number): Line => ({ intercept: value, slope: 0, residual: 0 });

/** A demand in proportion to the number of workers. */
const proportionalLine = (perWorker: number): Line => ({ intercept: 0, slope: perWorker, residual: 0 });

const leaderUsage = (report: HollowReport): HollowReport['usage'][number] =>
  report.usage.find((u) => u.role === report.leader)!;

const workerUsages = (report: HollowReport): HollowReport['usage'] =>
  report.usage.filter((u) => u.role.startsWith('workers-'));

/** Costs of the control plane: per operation, or as lines over the number of workers. */
interface FittedCosts {
  readonly idleCore: Line;
  readonly startCoreS: number;
  readonly heartbeatCoreSWithNetwork: number;
  /** Without the heartbeats that a start causes. */
  readonly startCoreSWithNetwork: number;
  readonly memoryMb: Line;
  readonly putsPerStart: number;
  readonly bytesPerStart: number;
  readonly takeoverS: Line;
  readonly commandRequestsPerStart: number;
}

/** Leader CPU time per start including network I/O: that of the busiest run, less the share of its heartbeats. */
const startCoreSWithNetwork = (busiest: HollowReport, reportCoreS: number): number =>
  (leaderUsage(busiest).coreShare - reportCoreS * busiest.reportsPerSecond) / busiest.startsPerSecond;

const fitCosts = ({ slopes, hollow, rest }: Measurements): FittedCosts => {
  const { sizes } = slopes.result;
  const pointsBySize = (value: (r: SizeReport) => number): Point[] =>
    sizes.map((r) => ({ x: r.machines, y: value(r) }));
  const largest = sizes.at(-1)!;
  const heartbeatCoreS = fitLine(
    rest.map(({ result }) => ({ x: result.reportsPerSecond, y: leaderUsage(result).coreShare })),
  ).slope;
  const busiest = hollow.reduce((x, y) => (y.result.startsPerSecond > x.result.startsPerSecond ? y : x));
  return {
    idleCore: fitLine(pointsBySize((r) => r.rest.coreShare)),
    startCoreS: largest.burst.coreMsPerStart / 1_000,
    heartbeatCoreSWithNetwork: heartbeatCoreS,
    startCoreSWithNetwork: startCoreSWithNetwork(busiest.result, heartbeatCoreS),
    memoryMb: fitLine(
      hollow.map(({ result }) => ({ x: result.options.workers, y: leaderUsage(result).memoryMb })),
    ),
    putsPerStart: largest.burst.putsPerStart,
    bytesPerStart: largest.burst.bytesPerStart,
    takeoverS: fitLine(pointsBySize((r) => r.takeover.readyAfterS ?? Infinity)),
    commandRequestsPerStart: largest.burst.orderCalls / Math.max(1, largest.burst.starts),
  };
};

/** Returns one row for each requirement, ordered by the number of workers at which its budget is exceeded. */
export const capacityRows = (measurements: Measurements): CapacityRow[] => {
  const costs = fitCosts(measurements);
  const { workers, startsPerSecond } = TARGET;
  const startsPerWorker = startsPerSecond / workers;
  const largestHollow = measurements.hollow.reduce((x, y) =>
    y.result.options.workers > x.result.options.workers ? y : x,
  ).result;
  const largestSlope = measurements.slopes.result.sizes.at(-1)!;
  const memoryEvidence = largestHollow.options.workers >= workers ? 'measured' : 'extrapolated';
  const idleHeartbeatsPerWorker = 1 / ASSUMED.heartbeatIntervalS;
  // Each task start and end causes a heartbeat, up to the limit of two per second and worker.
  const peakHeartbeatsPerWorker = Math.min(
    ASSUMED.maxHeartbeatsPerWorkerPerSecond,
    idleHeartbeatsPerWorker + 2 * startsPerWorker,
  );
  const peakJobPuts =
    (ASSUMED.putsPerJob * ASSUMED.peakJobRateFactor * TARGET.jobsPerDay) / ASSUMED.secondsPerDay;
  const pages = workers / ASSUMED.cloudListPage;
  const workerProcesses = workerUsages(largestHollow);
  const hollowWorkers = largestHollow.options.workers;
  const row = (
    role: string,
    requirement: string,
    unit: string,
    line: Line,
    budget: number,
    evidence: Evidence,
    mechanism: string,
  ): CapacityRow => ({
    role,
    requirement,
    unit,
    demand: valueAt(line, workers),
    budget,
    evidence,
    exceededAtWorkers: crossingPoint(line, budget),
    mechanism,
  });
  const rows: CapacityRow[] = [
    row(
      'leader',
      'processor at rest, decisions alone',
      'cores',
      costs.idleCore,
      ASSUMED.leaderCores,
      'measured',
      'one leader',
    ),
    row(
      'leader',
      'processor for starts at the peak, decisions alone',
      'cores',
      proportionalLine(costs.startCoreS * startsPerWorker),
      ASSUMED.leaderCores,
      'extrapolated',
      'bulk starts, sums kept up, plans in slices',
    ),
    row(
      'leader',
      'processor for starts at the peak, with sockets and without reports',
      'cores',
      proportionalLine(costs.startCoreSWithNetwork * startsPerWorker),
      ASSUMED.leaderCores,
      'extrapolated',
      'one call a machine and step; missing: orders through the other controllers',
    ),
    row(
      'leader',
      'processor for reports at rest, with sockets',
      'cores',
      proportionalLine(costs.heartbeatCoreSWithNetwork * idleHeartbeatsPerWorker),
      ASSUMED.leaderCores,
      'extrapolated',
      'missing: reports through the other controllers',
    ),
    row(
      'leader',
      'processor for reports at the peak, with sockets',
      'cores',
      proportionalLine(costs.heartbeatCoreSWithNetwork * peakHeartbeatsPerWorker),
      ASSUMED.leaderCores,
      'extrapolated',
      'missing: reports through the other controllers',
    ),
    row('leader', 'memory', 'MB', costs.memoryMb, ASSUMED.leaderMemoryMb, memoryEvidence, 'one leader'),
    row(
      'leader',
      'sockets of workers',
      'sockets',
      proportionalLine(1),
      ASSUMED.leaderSockets,
      'estimated',
      'one leader',
    ),
    row(
      'leader',
      'calls to /orders at the peak',
      'calls/s',
      proportionalLine(costs.commandRequestsPerStart * startsPerWorker),
      Infinity,
      'extrapolated',
      'one call a machine and step; missing: starts in answers to reports',
    ),
    row(
      'leader',
      'from its end to the next leader having read the records',
      's',
      costs.takeoverS,
      ASSUMED.takeoverS,
      'measured',
      'lease and term; records in pages',
    ),
    row(
      'state service',
      'puts for starts at the peak',
      'puts/s',
      proportionalLine(costs.putsPerStart * startsPerWorker),
      ASSUMED.storePutsPerSecond,
      'extrapolated',
      'pages; missing: places by plan, not by job',
    ),
    row(
      'state service',
      'bytes for starts at the peak',
      'bytes/s',
      proportionalLine(costs.bytesPerStart * startsPerWorker),
      ASSUMED.storeBytesPerSecond,
      'extrapolated',
      'pages; missing: places by plan, not by job',
    ),
    row(
      'state service',
      `puts of jobs at ${ASSUMED.peakJobRateFactor} times the day's mean`,
      'puts/s',
      proportionalLine(peakJobPuts / workers),
      ASSUMED.storePutsPerSecond,
      'estimated',
      'missing: acceptances of a moment in one transaction',
    ),
    row(
      'worker',
      'bytes of reports and answers',
      'bytes/s',
      constantLine(largestHollow.workerBytesPerSecond),
      TARGET.workerBytesPerSecond,
      'measured',
      'reports',
    ),
    row(
      'worker',
      'processor of a hollow worker',
      'cores',
      constantLine(workerProcesses.reduce((sum, u) => sum + u.coreShare, 0) / hollowWorkers),
      TARGET.workerCoreShare,
      'measured',
      'reports',
    ),
    row(
      'worker',
      'memory of a hollow worker',
      'MB',
      constantLine(workerProcesses.reduce((sum, u) => sum + u.memoryMb, 0) / hollowWorkers),
      TARGET.workerMemoryMb,
      'measured',
      'reports',
    ),
    row(
      'cloud',
      'calls for a list of all machines, of each 4 s',
      'calls/s',
      proportionalLine(pages / workers / 4),
      ASSUMED.cloudCallsPerSecond,
      'estimated',
      'lists more seldom as they grow',
    ),
    row(
      'users',
      'urgent work from submission to start, 99th percentile, decisions alone',
      's',
      constantLine(largestSlope.burst.urgentTimeToStartS.p99),
      TARGET.urgentStartS,
      'measured',
      'an urgent pass, and room kept by rate of arrival',
    ),
    row(
      'leader',
      'attempt numbers in an hour at the peak',
      'attempts',
      proportionalLine(startsPerWorker * 3_600),
      ASSUMED.attemptsPerTerm,
      'estimated',
      'missing: a new term before the numbers run out',
    ),
  ];
  return rows.sort((x, y) => x.exceededAtWorkers - y.exceededAtWorkers);
};

const formatFigure = (value: number): string => {
  if (!Number.isFinite(value)) return 'none';
  if (value === 0) return '0';
  const digits = value >= 100 ? 0 : value >= 1 ? 1 : 4;
  return value.toFixed(digits);
};

/** Marks the start of the generated table in the page. */
export const TABLE_BEGIN = '<!-- table: begin -->';
/** Marks the end of the generated table in the page. */
export const TABLE_END = '<!-- table: end -->';

/** Formats the rows as a Markdown table. */
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
  const cells = rows.map((row) => [
    row.role,
    row.requirement,
    formatFigure(row.demand),
    formatFigure(row.budget),
    row.unit,
    Number.isFinite(row.budget) ? formatFigure(row.demand / row.budget) : '',
    Number.isFinite(row.exceededAtWorkers) ? formatFigure(row.exceededAtWorkers) : 'not',
    row.evidence,
    row.mechanism,
  ]);
  return [head, head.map(() => '---'), ...cells].map((row) => `| ${row.join(' | ')} |`).join('\n');
};

/** Replaces the generated table of a page and leaves the rest unchanged. */
export const replaceTable = (page: string, table: string): string => {
  const from = page.indexOf(TABLE_BEGIN);
  const to = page.indexOf(TABLE_END);
  if (from < 0 || to < from)
    throw new Error(`the page lacks the table markers ${TABLE_BEGIN} and ${TABLE_END}`);
  return `${page.slice(0, from + TABLE_BEGIN.length)}\n\n<!-- prettier-ignore -->\n${table}\n\n${page.slice(to)}`;
};
