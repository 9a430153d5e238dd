/**
 * Look-ahead to upcoming stages: blocked jobs whose dependencies are predicted to complete before a new machine could boot.
 * A plan places them after all other work, from the predicted end of their dependencies, so that capacity is available or
 * booting by then. Such stages run for seconds, but a machine takes half a minute to boot.
 */
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { Micros } from '../domain/time.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';

/** Maximum number of upcoming stages in one plan. */
const MAX_STAGES = 16;

/** A blocked job whose dependencies will be met soon. */
export interface UpcomingStage {
  readonly job: ActiveJob;
  /** Predicted time at which all its dependencies are done. */
  readonly readyAt: Micros;
}

/** Blocked jobs whose dependencies are predicted to be met by the time `horizon`, soonest first. */
export const upcomingStages = (
  jobs: Iterable<ActiveJob>,
  dependencies: DependencyGraph,
  findJob: (id: string) => ActiveJob | undefined,
  /** Predicted end of a job that is not blocked. */
  predictedEndOf: (job: ActiveJob) => Micros,
  horizon: Micros,
): UpcomingStage[] => {
  const predictedEnds = new Map<ActiveJob, Micros>();
  const predictEnd = (dependency: ActiveJob | undefined): Micros => {
    // A dependency that is blocked itself is more than one stage away; its dependents are considered once it runs. The
    // end of a job with an admission hold can't be predicted, so nothing is provisioned for its dependents.
    if (dependency === undefined || dependency.blockedOnDependencies || dependency.admissionHold !== null)
      return Infinity;
    const end = predictedEnds.get(dependency) ?? predictedEndOf(dependency);
    predictedEnds.set(dependency, end);
    return end;
  };
  const stages: UpcomingStage[] = [];
  for (const job of jobs) {
    if (!job.blockedOnDependencies || job.dependencyFailed || job.phase !== 'active') continue;
    let readyAt = 0;
    for (const id of dependencies.unmetDependencies(job)) {
      readyAt = Math.max(readyAt, predictEnd(findJob(id)));
      if (readyAt > horizon) break;
    }
    if (readyAt > 0 && readyAt <= horizon) stages.push({ job, readyAt });
  }
  return stages.sort((one, other) => one.readyAt - other.readyAt).slice(0, MAX_STAGES);
};
