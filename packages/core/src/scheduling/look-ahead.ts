/**
 * Stages to come: held jobs that will be released while a machine boots. A play-out places them after all
 * other work, from when what they need is predicted done, so that room is there or on its way by then. They
 * run for seconds where a machine takes half a minute to boot.
 */
import type { DependencyGraph } from '../jobs/dependencies.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { Micros } from '../domain/time.js';

/** Stages that one plan looks ahead to. */
const MOST = 16;

export interface UpcomingStage {
  readonly job: ActiveJob;
  readonly ready: Micros;
}

/** Held jobs whose release is predicted within the horizon, the soonest first. */
export const stagesAhead = (
  jobs: Iterable<ActiveJob>,
  deps: DependencyGraph,
  find: (id: string) => ActiveJob | undefined,
  /** When a job that is not held is predicted to be done. */
  endOf: (job: ActiveJob) => Micros,
  horizon: Micros,
): UpcomingStage[] => {
  const ends = new Map<ActiveJob, Micros>();
  const out: UpcomingStage[] = [];
  for (const job of jobs) {
    if (!job.blockedOnDependencies || job.dependencyFailed || job.phase !== 'active') continue;
    let ready = 0;
    for (const id of deps.waitsFor(job)) {
      const needed = find(id);
      let end: Micros = Infinity;
      // What is held itself has a stage between: it is looked at when that one runs. And when what a feature
      // holds back will run, nobody knows: nothing is rented for what comes after it.
      if (needed !== undefined && !needed.blockedOnDependencies && needed.admissionHold === null) {
        end = ends.get(needed) ?? endOf(needed);
        ends.set(needed, end);
      }
      ready = Math.max(ready, end);
      if (ready > horizon) break;
    }
    if (ready > 0 && ready <= horizon) out.push({ job, ready });
  }
  return out.sort((a, b) => a.ready - b.ready).slice(0, MOST);
};
