/** What the platform's settings say against each other: each with its field and what to do. */
import { maxCancellationAge, LEAST_MAX_AGE } from '@shaleyoke/core/leadership/cancellation-freshness';
import type { Settings } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';

export interface Contradiction {
  /** `error`: a rule can't be kept so; `warning`: something else can't. */
  readonly level: 'error' | 'warning';
  readonly field: string;
  readonly problem: string;
  readonly remedy: string;
}

const seconds = (us: number): string => (us / SECOND).toFixed(1);

const cancellation = (s: Settings): Contradiction[] => {
  const bound = maxCancellationAge(s);
  if (bound >= LEAST_MAX_AGE) return [];
  const least = s.cancellationDeadlineUs + LEAST_MAX_AGE - bound;
  return [
    {
      level: 'error',
      field: 'cluster.workers.cancel_s',
      problem: `${seconds(s.cancellationDeadlineUs)} s leaves too little beside lease_s of ${seconds(s.workerLeaseUs)} s: where the state service can't be reached, tasks of cancelled jobs may run longer`,
      remedy: `raise cancel_s to ${seconds(least + 100_000)} s or more, or lower lease_s`,
    },
  ];
};

const teams = (s: Settings): Contradiction[] =>
  s.teams.flatMap((t) =>
    (
      [
        ['cpus', t.guaranteedCores, t.maxCores],
        ['gpus', t.guaranteedGpus, t.maxGpus],
      ] as const
    )
      .filter(([, guaranteed, most]) => most > 0 && guaranteed > most)
      .map(([what, guaranteed, most]) => ({
        level: 'warning' as const,
        field: `cluster.teams.${t.name}.${what}`,
        problem: `the guarantee of ${guaranteed} is above the limit of ${most}: the limit holds`,
        remedy: `lower ${what} or raise ${what}_max`,
      })),
  );

const peers = (s: Settings): Contradiction[] =>
  s.peers.some((p) => p.member === s.member)
    ? [
        {
          level: 'warning',
          field: 'peers',
          problem: `names this node (${s.member}) among the others: it is sent messages of its own`,
          remedy: 'leave it out',
        },
      ]
    : [];

/** In the order of their weight; none if the settings agree. */
export const contradictions = (s: Settings): readonly Contradiction[] => [
  ...cancellation(s),
  ...peers(s),
  ...teams(s),
];

export const describe = (c: Contradiction): string => `${c.field}: ${c.problem}; ${c.remedy}`;
