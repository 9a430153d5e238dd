/** Finds settings that contradict each other, and suggests a remedy for each. */
import type { Settings, Team } from '@shaleyoke/core/domain/settings';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import {
  maxCancellationAge,
  MIN_CANCELLATION_AGE_LIMIT,
} from '@shaleyoke/core/leadership/cancellation-freshness';

/** Settings that can't all be met, and the remedy. */
export interface Contradiction {
  /** `error`: a guarantee of the protocol can't be met; `warning`: another setting has no effect or an unintended one. */
  readonly level: 'error' | 'warning';
  /** The path of the field in the settings file. */
  readonly field: string;
  /** What does not fit, and its consequence. */
  readonly problem: string;
  /** A change of the settings that resolves the contradiction. */
  readonly remedy: string;
}

/** Added to a suggested value, so that rounding to tenths of a second does not make it too small. */
const ROUNDING_MARGIN: Micros = 100_000;

const inSeconds = (duration: Micros): string => (duration / SECOND).toFixed(1);

const cancellationContradictions = (settings: Settings): Contradiction[] => {
  const { cancellationDeadlineUs, workerLeaseUs } = settings;
  const maxAge = maxCancellationAge(settings);
  if (maxAge >= MIN_CANCELLATION_AGE_LIMIT) return [];
  const minimum = cancellationDeadlineUs + MIN_CANCELLATION_AGE_LIMIT - maxAge;
  return [
    {
      level: 'error',
      field: 'cluster.workers.cancel_s',
      problem: `${inSeconds(cancellationDeadlineUs)} s is too short for a lease_s of ${inSeconds(workerLeaseUs)} s: while the state service can't be reached, tasks of cancelled jobs may run longer`,
      remedy: `raise cancel_s to ${inSeconds(minimum + ROUNDING_MARGIN)} s or more, or lower lease_s`,
    },
  ];
};

const quotaContradiction = (
  team: string,
  resource: 'cpus' | 'gpus',
  guaranteed: number,
  maximum: number,
): Contradiction[] => {
  if (maximum <= 0 || guaranteed <= maximum) return [];
  return [
    {
      level: 'warning',
      field: `cluster.teams.${team}.${resource}`,
      problem: `the guarantee of ${guaranteed} exceeds the limit of ${maximum}: the limit applies`,
      remedy: `lower ${resource} or raise ${resource}_max`,
    },
  ];
};

const teamContradictions = (team: Team): Contradiction[] => [
  ...quotaContradiction(team.name, 'cpus', team.guaranteedCores, team.maxCores),
  ...quotaContradiction(team.name, 'gpus', team.guaranteedGpus, team.maxGpus),
];

const peerContradictions = ({ peers, member }: Settings): Contradiction[] => {
  if (!peers.some((peer) => peer.member === member)) return [];
  return [
    {
      level: 'warning',
      field: 'peers',
      problem: `lists this controller (${member}) as its own peer: it would send messages to itself`,
      remedy: 'remove the entry',
    },
  ];
};

/** All contradictions in the settings, errors first. */
export const findContradictions = (settings: Settings): readonly Contradiction[] => [
  ...cancellationContradictions(settings),
  ...peerContradictions(settings),
  ...settings.teams.flatMap(teamContradictions),
];

/** Describes a contradiction in one line for an operator. */
export const describeContradiction = ({ field, problem, remedy }: Contradiction): string =>
  `${field}: ${problem}; ${remedy}`;
