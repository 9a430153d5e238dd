/** Jobs that a feature holds back before any task of them has begun. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { FeatureRegistry } from './feature-registry.js';

/** A job that could begin for no longer than this counts as a new arrival, by which demand is forecast. */
export const NEW_ARRIVAL: Micros = 5 * SECOND;

/** Asks the features for each job that has not begun, and notes what holds it back. */
export class AdmissionHolds {
  constructor(
    private readonly term: LeaderTerm,
    private readonly features: FeatureRegistry,
    private readonly autoscaler: Pick<Autoscaler, 'recordArrival'>,
  ) {}

  /** Asks again for every job, the oldest first: the reason for a hold may have passed. */
  updateAll(): void {
    if (this.features.isEmpty) return;
    const jobs = [...this.term.cluster.jobs.values()];
    jobs.sort((one, other) => one.acceptedAt - other.acceptedAt);
    for (const job of jobs) this.update(job);
  }

  /** Asks for one job. */
  update(job: ActiveJob): void {
    if (this.features.isEmpty || job.phase !== 'active') return;
    // A job that has begun goes on to its end; one that waits for other jobs is asked for once it need not.
    const hold = job.hasStarted || job.blockedOnDependencies ? null : this.features.admissionHold(job);
    const former = job.admissionHold;
    if (hold === null ? former === null : hold.reason === former?.reason) return;
    const { context: ctx } = this.term;
    // Holds that pass with a change of leader were once logged for every job that had not begun, each time.
    const wasLogged = former !== null && !former.transient;
    if (hold !== null && !hold.transient && !wasLogged)
      ctx.info('job.admission_held', { job: job.id, reason: hold.reason });
    if (hold === null) {
      if (wasLogged) ctx.info('job.admission_released', { job: job.id, after: former.reason });
      if (ctx.wallNow - job.acceptedAt < NEW_ARRIVAL) this.autoscaler.recordArrival(job.spec);
    }
    job.admissionHold = hold;
    this.term.schedulePass();
  }
}
