/**
 * Look-ahead to the next stages: jobs blocked on dependencies that will be released while a machine boots. A plan places
 * them after all other work, from when what they depend on is predicted done, so that capacity is there or on its way by
 * then. They run for seconds where a machine takes half a minute to boot.
 */
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { Micros } from '../domain/time.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';

/** Stages that one plan looks ahead to. */
const MAX_STAGES = 16;

/** A job that will be released soon. */
export interface UpcomingStage {
  readonly job: ActiveJob;
  /** When all jobs that it depends on are predicted done. */
  readonly ready: Micros;
}

/** Jobs blocked on dependencies whose release is predicted within the horizon, the soonest first. */
export const upcomingStages = (
  jobs: Iterable<ActiveJob>,
  dependencies: DependencyGraph,
  find: (id: string) => ActiveJob | undefined,
  /** When a job that is not blocked is predicted to be done. */
  endOf: (job: ActiveJob) => Micros,
  horizon: Micros,
): UpcomingStage[] => {
  const predictedEnds = new Map<ActiveJob, Micros>();
  const predictEnd = (needed: ActiveJob | undefined): Micros => {
    // What is blocked itself has a stage between: it is considered when that one runs. And when a job with an admission
    // hold will run, nobody knows: nothing is provisioned for what comes after it.
    if (needed === undefined || needed.blockedOnDependencies || needed.admissionHold !== null)
      return Infinity;
    const end = predictedEnds.get(needed) ?? endOf(needed);
    predictedEnds.set(needed, end);
    return end;
  };
  const stages: UpcomingStage[] = [];
  for (const job of jobs) {
    if (!job.blockedOnDependencies || job.dependencyFailed || job.phase !== 'active') continue;
    let ready = 0;
    for (const id of dependencies.unmetDependencies(job)) {
      ready = Math.max(ready, predictEnd(find(id)));
      if (ready > horizon) break;
    }
    if (ready > 0 && ready <= horizon) stages.push({ job, ready });
  }
  return stages.sort((one, other) => one.ready - other.ready).slice(0, MAX_STAGES);
};
