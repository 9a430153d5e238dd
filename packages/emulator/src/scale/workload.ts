/** A mixed workload for scale measurements: arrays, gangs, services and urgent arrays of many teams with quotas. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';

import type { Random } from '../random.js';
import { makeJobSpec } from '../specs.js';

/** Names of the teams, to which jobs are assigned in turn. */
export const TEAM_NAMES = Array.from({ length: 230 }, (_, i) => `team-${i}`);
const IMAGES = 8;
/** Number of tasks of the largest gang. */
export const LARGEST_GANG = 128;
/** Run times of jobs are uniformly distributed between these. */
const SHORTEST_RUN_S = 8;
const LONGEST_RUN_S = 22;
/** Half the cores of a simulated machine, so that a burst of three tasks per machine exceeds the capacity. */
const TASK_CORES = 2;

/** A kind of job, and the share of all tasks that belong to jobs of that kind. */
interface JobKind {
  readonly share: number;
  readonly spec: Partial<JobSpec> & { readonly tasks: number };
}

const URGENT_CLASS = 'urgent';
const SERVICE_CLASS = 'service';

const JOB_KINDS: readonly JobKind[] = [
  { share: 0.05, spec: { class: URGENT_CLASS, tasks: 4, priority: 3 } },
  { share: 0.05, spec: { class: SERVICE_CLASS, shape: 'service', tasks: 4, priority: 2 } },
  { share: 0.1, spec: { class: 'gang', shape: 'gang', tasks: 16 } },
  { share: 0.1, spec: { class: 'large-gang', shape: 'gang', tasks: LARGEST_GANG } },
  { share: 0.1, spec: { class: 'small-array', tasks: 10 } },
  { share: 0.6, spec: { class: 'array', tasks: 100 } },
];

/** Whether a job belongs to the class with the wait-time objective. */
export const isUrgent = (spec: JobSpec): boolean => spec.class === URGENT_CLASS;

/** TOML settings of teams and objectives under `[cluster]`. `quota`: limit on the cores of each team. */
export const clusterSettings = (quota: number): string => {
  const teams = TEAM_NAMES.map((name) => `[[cluster.teams]]\nname = "${name}"\ncpus_max = ${quota}.0\n`);
  const urgent = `[[cluster.objectives]]\nkind = "wait"\nclass = "${URGENT_CLASS}"\nwithin_s = 1.6\nshare = 0.99\n`;
  return `${teams.join('')}${urgent}`;
};

const randomRunTime = (random: Random): Micros =>
  (SHORTEST_RUN_S + random.next() * (LONGEST_RUN_S - SHORTEST_RUN_S)) * SECOND;

const shuffle = <T>(values: readonly T[], random: Random): T[] => {
  const result = [...values];
  for (let i = result.length - 1; i > 0; i--) {
    const other = random.below(i + 1);
    [result[i], result[other]] = [result[other]!, result[i]!];
  }
  return result;
};

/**
 * Generates jobs with at most `tasks` tasks in total, of all kinds in their shares and in random order. Ids are numbered
 * from `firstId`.
 */
export const generateMixedJobs = (tasks: number, firstId: number, random: Random): JobSpec[] => {
  const jobs: JobSpec[] = [];
  for (const { share, spec } of JOB_KINDS) {
    const count = Math.floor((tasks * share) / spec.tasks);
    for (let i = 0; i < count; i++) {
      const number = firstId + jobs.length;
      jobs.push(
        makeJobSpec(`run-${String(number).padStart(6, '0')}`, {
          ...spec,
          team: TEAM_NAMES[number % TEAM_NAMES.length]!,
          cores: TASK_CORES,
          image: `image-${number % IMAGES}`,
          estimatedRunUs: spec.shape === 'service' ? 0 : randomRunTime(random),
        }),
      );
    }
  }
  return shuffle(jobs, random);
};
