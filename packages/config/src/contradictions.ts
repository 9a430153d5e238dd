/** Settings that contradict each other, each with the field and the remedy. */
import type { Settings, Team } from '@shaleyoke/core/domain/settings';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import {
  maxCancellationAge,
  MIN_CANCELLATION_AGE_LIMIT,
} from '@shaleyoke/core/leadership/cancellation-freshness';

/**
 *
 */
export interface Contradiction {
  /** `error`: a rule of the protocol can't be kept so; `warning`: something else does not hold. */
  readonly level: 'error' | 'warning';
  readonly field: string;
  readonly problem: string;
  readonly remedy: string;
}

/** Added to a suggested value, so that rounding does not make it too small. */
const ROUNDING_MARGIN: Micros = 100_000;

const inSeconds = (duration: Micros): string => (duration / SECOND).toFixed(1);

const cancellationContradictions = (settings: Settings): Contradiction[] => {
  const { cancellationDeadlineUs, workerLeaseUs } = settings;
  const maxAge = maxCancellationAge(settings);
  if (maxAge >= MIN_CANCELLATION_AGE_LIMIT) return [];
  const least = cancellationDeadlineUs + MIN_CANCELLATION_AGE_LIMIT - maxAge;
  return [
    {
      level: 'error',
      field: 'cluster.workers.cancel_s',
      problem: `${inSeconds(cancellationDeadlineUs)} s leaves too little beside lease_s of ${inSeconds(workerLeaseUs)} s: where the state service can't be reached, tasks of cancelled jobs may run longer`,
      remedy: `raise cancel_s to ${inSeconds(least + ROUNDING_MARGIN)} s or more, or lower lease_s`,
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
      problem: `the guarantee of ${guaranteed} is above the limit of ${maximum}: the limit holds`,
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
      problem: `names this node (${member}) among the others: it is sent messages of its own`,
      remedy: 'leave it out',
    },
  ];
};

/** All contradictions, the gravest first; none if the settings agree. */
export const contradictions = (settings: Settings): readonly Contradiction[] => [
  ...cancellationContradictions(settings),
  ...peerContradictions(settings),
  ...settings.teams.flatMap(teamContradictions),
];

/** One line for people. */
export const describe = ({ field, problem, remedy }: Contradiction): string =>
  `${field}: ${problem}; ${remedy}`;
