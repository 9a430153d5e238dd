/** Mixed work for measurements of scale: arrays, gangs, services and urgent arrays of many teams with quotas. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';

import type { Random } from '../random.js';
import { specOf } from '../specs.js';

export const TEAMS = Array.from({ length: 230 }, (_, i) => `team-${i}`);
const IMAGES = 8;
export const LARGEST_GANG = 128;
/** Run times of jobs spread evenly between these. */
const SHORTEST_RUN_S = 8;
const LONGEST_RUN_S = 22;
/** Half of what an emulated machine has: a burst of three tasks for each machine has to wait for room. */
const TASK_CORES = 2;

/** A kind of job, and the share of all tasks that is submitted in jobs of that kind. */
interface JobKind {
  readonly share: number;
  readonly spec: Partial<JobSpec> & { readonly tasks: number };
}

const URGENT_CLASS = 'urgent';
const SERVICE_CLASS = 'service';

const KINDS: readonly JobKind[] = [
  { share: 0.05, spec: { class: URGENT_CLASS, tasks: 4, priority: 3 } },
  { share: 0.05, spec: { class: SERVICE_CLASS, shape: 'service', tasks: 4, priority: 2 } },
  { share: 0.1, spec: { class: 'gang', shape: 'gang', tasks: 16 } },
  { share: 0.1, spec: { class: 'large-gang', shape: 'gang', tasks: LARGEST_GANG } },
  { share: 0.1, spec: { class: 'small-array', tasks: 10 } },
  { share: 0.6, spec: { class: 'array', tasks: 100 } },
];

export const isUrgent = (spec: JobSpec): boolean => spec.class === URGENT_CLASS;

/** Settings of the teams and aims, as they stand under `[cluster]`. `quota`: cores that each team may use. */
export const clusterSettings = (quota: number): string => {
  const teams = TEAMS.map((name) => `[[cluster.teams]]\nname = "${name}"\ncpus_max = ${quota}.0\n`);
  const urgent = `[[cluster.objectives]]\nkind = "wait"\nclass = "${URGENT_CLASS}"\nwithin_s = 1.6\nshare = 0.99\n`;
  return `${teams.join('')}${urgent}`;
};

const runTime = (random: Random): Micros =>
  (SHORTEST_RUN_S + random.next() * (LONGEST_RUN_S - SHORTEST_RUN_S)) * SECOND;

const shuffled = <T>(values: readonly T[], random: Random): T[] => {
  const out = [...values];
  for (let i = out.length - 1; i > 0; i--) {
    const j = random.below(i + 1);
    [out[i], out[j]] = [out[j]!, out[i]!];
  }
  return out;
};

/** Jobs with at most so many tasks together, of all kinds in their shares and in random order; ids count on from `firstId`. */
export const mixedJobs = (tasks: number, firstId: number, random: Random): JobSpec[] => {
  const jobs: JobSpec[] = [];
  for (const { share, spec } of KINDS) {
    const count = Math.floor((tasks * share) / spec.tasks);
    for (let k = 0; k < count; k++) {
      const number = firstId + jobs.length;
      jobs.push(
        specOf(`run-${String(number).padStart(6, '0')}`, {
          ...spec,
          team: TEAMS[number % TEAMS.length]!,
          cores: TASK_CORES,
          image: `image-${number % IMAGES}`,
          estimatedRunUs: spec.shape === 'service' ? 0 : runTime(random),
        }),
      );
    }
  }
  return shuffled(jobs, random);
};
