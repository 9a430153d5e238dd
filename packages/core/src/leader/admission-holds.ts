/** Admission holds: features may keep a job from starting before any of its tasks has started. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { FeatureRegistry } from './feature-registry.js';

/** A job that became startable no longer ago than this counts as an arrival in the demand forecast. */
export const MAX_ARRIVAL_AGE: Micros = 5 * SECOND;

/** Queries the features for each job that has not started, and records the resulting hold. */
export class AdmissionHolds {
  constructor(
    private readonly term: LeaderTerm,
    private readonly features: FeatureRegistry,
    private readonly autoscaler: Pick<Autoscaler, 'recordArrival'>,
  ) {}

  /** Re-evaluates the holds of all jobs, the oldest first. */
  updateAll(): void {
    if (this.features.isEmpty) return;
    const jobs = [...this.term.cluster.jobs.values()];
    jobs.sort((one, other) => one.acceptedAt - other.acceptedAt);
    for (const job of jobs) this.update(job);
  }

  /** Re-evaluates the hold of one job. */
  update(job: ActiveJob): void {
    if (this.features.isEmpty || job.phase !== 'active') return;
    // A started job is never held. A job blocked on dependencies is evaluated once they are met.
    const hold = job.hasStarted || job.blockedOnDependencies ? null : this.features.admissionHold(job);
    const previous = job.admissionHold;
    if (hold === null ? previous === null : hold.reason === previous?.reason) return;
    const { context } = this.term;
    // Transient holds are not logged: each change of leader would log them for every job that has not started.
    const wasLogged = previous !== null && !previous.transient;
    if (hold !== null && !hold.transient && !wasLogged)
      context.info('job.admission_held', { job: job.id, reason: hold.reason });
    if (hold === null) {
      if (wasLogged) context.info('job.admission_released', { job: job.id, after: previous.reason });
      if (context.wallNow - job.acceptedAt < MAX_ARRIVAL_AGE) this.autoscaler.recordArrival(job.spec);
    }
    job.admissionHold = hold;
    this.term.schedulePass();
  }
}
