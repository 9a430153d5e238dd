/** The fault schedule of a soak run, generated from a seed so that a run can be repeated or reduced. */
import { Random } from '../random.js';

/** The kinds of faults, as the `--troubles` option names them. */
export const FAULT_KINDS = [
  'controllerKilled',
  'controllerPaused',
  'allControllersKilled',
  'leadersInSeries',
  'storeRefusesOne',
  'storeDown',
  'storeSlow',
  'storeAnswersLost',
  'storeLateCopies',
  'peersCut',
  'workersCut',
  'workersMute',
  'workersDeaf',
  'workersHang',
  'workersKilled',
  'commandsLate',
  'heartbeatCopiesLate',
  'usersCut',
  'cloudDown',
] as const;

/** One of the kinds in `FAULT_KINDS`. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A scheduled fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** When it begins, in milliseconds since the start of fault injection. */
  readonly startMs: number;
  readonly durationMs: number;
  /** Index of the affected controller, for faults that affect a single one. */
  readonly controller: number;
  /** Share of affected workers, for faults of workers. */
  readonly share: number;
}

const MIN_DURATION_MS = 1_000;
const DURATION_SPREAD_MS = 9_000;
/** Faults come in groups of up to three that may overlap; a group starts at each interval. */
const MAX_FAULTS_PER_GROUP = 3;
const GROUP_INTERVAL_MS = 6_000;
const GROUP_SPREAD_MS = 2_500;

/** Generates the faults of a seed, restricted to the given kinds; all of them start and end within `periodMs`. */
export const generateFaults = (
  seed: number,
  periodMs: number,
  controllers: number,
  kinds: readonly FaultKind[] = FAULT_KINDS,
): Fault[] => {
  const random = new Random(seed);
  const faults: Fault[] = [];
  for (let groupStartMs = 2_000; groupStartMs < periodMs; groupStartMs += GROUP_INTERVAL_MS) {
    const count = 1 + random.below(MAX_FAULTS_PER_GROUP);
    for (let i = 0; i < count; i++) {
      // Random values are drawn for excluded kinds too, so that restricting the kinds keeps the times of the others.
      const kind = FAULT_KINDS[random.below(FAULT_KINDS.length)]!;
      const startMs = groupStartMs + random.below(GROUP_SPREAD_MS);
      const durationMs = Math.min(MIN_DURATION_MS + random.below(DURATION_SPREAD_MS), periodMs - startMs);
      const fault = {
        kind,
        startMs,
        durationMs,
        controller: random.below(controllers),
        share: 0.2 + 0.6 * random.next(),
      };
      if (kinds.includes(kind) && durationMs > 0) faults.push(fault);
    }
  }
  return faults.sort((left, right) => left.startMs - right.startMs);
};

/** Describes each fault in one line. */
export const describeFaults = (faults: readonly Fault[]): string[] =>
  faults.map(
    ({ kind, startMs, durationMs, controller, share }) =>
      `${(startMs / 1_000).toFixed(1)} s: ${kind} for ${(durationMs / 1_000).toFixed(1)} s (controller ${controller}, share ${share.toFixed(2)})`,
  );
