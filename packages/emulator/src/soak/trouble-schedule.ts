/** The troubles of a soak: what happens when, drawn from a seed, so that a run can be played again and shortened. */
import { Random } from '../random.js';

/** Kinds of troubles. */
export const TROUBLE_KINDS = [
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

/** A kind of trouble. */
export type TroubleKind = (typeof TROUBLE_KINDS)[number];

/** A trouble of a run. */
export interface Trouble {
  readonly kind: TroubleKind;
  /** When it begins, in milliseconds since the troubles begin. */
  readonly atMs: number;
  readonly forMs: number;
  /** The controller that it concerns, where it concerns one. */
  readonly controller: number;
  /** The share of workers that it concerns, where it concerns workers. */
  readonly share: number;
}

const MIN_DURATION_MS = 1_000;
const DURATION_SPREAD_MS = 9_000;
/** Troubles come in groups of up to three that overlap, with time between the groups. */
const MAX_OVERLAPPING = 3;
const GROUP_INTERVAL_MS = 6_000;
const OVERLAP_SPREAD_MS = 2_500;

/** The troubles of a seed within the first `lengthMs`. `kinds`: those that may come. */
export const drawTroubles = (
  seed: number,
  lengthMs: number,
  controllers: number,
  kinds: readonly TroubleKind[] = TROUBLE_KINDS,
): Trouble[] => {
  const random = new Random(seed);
  const troubles: Trouble[] = [];
  for (let groupAt = 2_000; groupAt < lengthMs; groupAt += GROUP_INTERVAL_MS) {
    const count = 1 + random.below(MAX_OVERLAPPING);
    for (let i = 0; i < count; i++) {
      // Drawn in the same number whatever kinds may come, so that a shortened run keeps the others' times.
      const kind = TROUBLE_KINDS[random.below(TROUBLE_KINDS.length)]!;
      const atMs = groupAt + random.below(OVERLAP_SPREAD_MS);
      const forMs = Math.min(MIN_DURATION_MS + random.below(DURATION_SPREAD_MS), lengthMs - atMs);
      const trouble = {
        kind,
        atMs,
        forMs,
        controller: random.below(controllers),
        share: 0.2 + 0.6 * random.next(),
      };
      if (kinds.includes(kind) && forMs > 0) troubles.push(trouble);
    }
  }
  return troubles.sort((left, right) => left.atMs - right.atMs);
};

/** A line for each trouble. */
export const describeTroubles = (troubles: readonly Trouble[]): string[] =>
  troubles.map(
    ({ kind, atMs, forMs, controller, share }) =>
      `${(atMs / 1_000).toFixed(1)} s: ${kind} for ${(forMs / 1_000).toFixed(1)} s (controller ${controller}, share ${share.toFixed(2)})`,
  );
