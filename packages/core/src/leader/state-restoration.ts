/** Builds the cluster state of a new term from the records of earlier leaders, and keeps its jobs up to date from then on. */
import type { JobService } from '../api/job-service.js';
import { ActiveJob } from '../cluster/cluster-model.js';
import { decodeActiveJob } from '../codecs/job-codec.js';
import {
  ACTIVE_JOBS_PREFIX,
  FORMER_MACHINES_PREFIX,
  jobIdOfActiveKey,
  LARGE_PROGRESS_PREFIX,
  MACHINE_PAGES_PREFIX,
  PROGRESS_PAGES_PREFIX,
} from '../codecs/keys.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';
import type { JobCompletion } from '../jobs/job-completion.js';
import type { FailoverEvents } from '../leadership/failover.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { MachineLifecycle } from '../machines/machine-lifecycle.js';
import type { MachineStore } from '../storage/machine-store.js';
import type { ProgressStore } from '../storage/progress-store.js';
import type { HeartbeatHandler } from '../tasks/heartbeat-handler.js';
import type { AdmissionHolds } from './admission-holds.js';
import type { FeatureRegistry } from './feature-registry.js';
import type { Planner } from './planner.js';
import type { TermRecords } from './term-records.js';

/** Items under a prefix of keys, as they were listed. */
type ItemsUnder = (prefix: string) => readonly StoredItem[];

/** The parts of a term that its state is restored into. */
export interface RestoredParts {
  readonly jobService: JobService;
  readonly machineStore: MachineStore;
  readonly progressStore: ProgressStore;
  readonly machines: MachineLifecycle;
  readonly autoscaler: Autoscaler;
  readonly dependencies: DependencyGraph;
  readonly completion: JobCompletion;
  readonly heartbeats: HeartbeatHandler;
  readonly holds: AdmissionHolds;
  readonly features: FeatureRegistry;
  readonly planner: Planner;
  readonly records: TermRecords;
}

/** Restores the state of a term, and follows the jobs in the store. */
export class StateRestoration implements FailoverEvents {
  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: RestoredParts,
  ) {}

  /** All records of earlier leaders are read. */
  restore(itemsUnder: ItemsUnder, runtimeEstimates: StoredItem | null): void {
    const { heartbeats, features, machines } = this.parts;
    const { cluster } = this.term;
    this.parts.records.loadRuntimeEstimates(runtimeEstimates);
    this.restoreMachines(itemsUnder);
    this.restoreJobs(itemsUnder);
    this.term.isRestored = true;
    heartbeats.replayEarlyHeartbeats();
    for (const machine of cluster.machines.values()) if (machine.up) machines.persist(machine);
    features.notify((feature) => {
      feature.stateRestored();
    });
    this.parts.holds.updateAll();
    this.logRestored();
    for (const job of cluster.jobs.values()) if (job.isComplete) this.parts.completion.finish(job);
    this.parts.autoscaler.start();
    this.parts.planner.schedulePass();
  }

  private restoreMachines(itemsUnder: ItemsUnder): void {
    const { machineStore, machines } = this.parts;
    const known = this.term.cluster.machines;
    for (const [name, record] of machineStore.load(
      itemsUnder(MACHINE_PAGES_PREFIX),
      itemsUnder(FORMER_MACHINES_PREFIX),
    )) {
      const machine = known.get(name) ?? machines.add(name, record);
      machine.recorded = 'yes';
      machine.preprovisioned = record.preprovisioned;
      // An earlier leader may have renewed its lease, and started tasks on it, until this leader's lease began.
      machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, this.term.lease.heldSince);
      machine.awaitingReconciliation = true;
      if (record.retiring) machines.retire(machine, 'was retiring');
    }
    machineStore.adopt(itemsUnder(FORMER_MACHINES_PREFIX), (name) => known.get(name));
  }

  private restoreJobs(itemsUnder: ItemsUnder): void {
    const { dependencies, progressStore, machineStore } = this.parts;
    const { jobs } = this.term.cluster;
    for (const item of itemsUnder(ACTIVE_JOBS_PREFIX))
      this.add(jobIdOfActiveKey(item.key), item.value, item.version, false);
    for (const job of jobs.values()) dependencies.add(job);
    progressStore.load(
      itemsUnder(PROGRESS_PAGES_PREFIX),
      itemsUnder(LARGE_PROGRESS_PREFIX),
      jobs.values(),
      machineStore.isComplete,
    );
  }

  private logRestored(): void {
    const { cluster, number, context: ctx } = this.term;
    ctx.info('leader.state_restored', {
      term: number,
      jobs: cluster.jobs.size,
      held: this.parts.dependencies.blockedCount,
      machines: cluster.machines.size,
    });
  }

  /** A job was accepted in this term. */
  jobPut(id: string, value: unknown, version: number): void {
    this.add(id, value, version, true);
  }

  /** The record of an active job is gone: it was cancelled, or has ended. */
  jobDeleted(id: string, version: number): void {
    const job = this.term.cluster.jobs.get(id);
    if (job?.phase === 'active' && job.version < version) this.parts.completion.recordEnd(job, null);
  }

  /** Jobs that are missing from a list have ended by its revision. */
  jobsListed(ids: ReadonlySet<string>, revision: number): void {
    for (const job of [...this.term.cluster.jobs.values()])
      if (!ids.has(job.id) && job.phase === 'active' && job.version <= revision)
        this.parts.completion.recordEnd(job, null);
  }

  /** `arrived`: the job was accepted in this term, and is no record of an earlier one. */
  private add(id: string, value: unknown, version: number, arrived: boolean): void {
    const { context: ctx, cluster } = this.term;
    if (cluster.jobs.has(id)) return;
    const record = decodeActiveJob(value);
    if (record === null) {
      ctx.error('job.record_unreadable', { job: id });
      return;
    }
    // A list of several pages may show a job whose end this leader has written since. One that depends on others may be
    // reported as cancelled before its own record is.
    if (record.spec.dependsOn.length === 0 && this.parts.jobService.hasEnded(id)) return;
    this.parts.jobService.recordActiveJob(record.spec, version);
    const job = new ActiveJob(record.spec, version, record.acceptedAt, ctx.now);
    cluster.jobs.set(id, job);
    if (arrived) this.admit(job);
    this.parts.planner.schedulePass();
  }

  private admit(job: ActiveJob): void {
    const { dependencies, holds, autoscaler, planner } = this.parts;
    const { context: ctx } = this.term;
    dependencies.add(job);
    holds.update(job);
    if (job.blockedOnDependencies)
      ctx.info('job.blocked_on_dependencies', { job: job.id, for: dependencies.unmetDependencies(job) });
    else if (job.spec.dependsOn.length === 0 && job.admissionHold === null)
      autoscaler.recordArrival(job.spec);
    ctx.debug('job.discovered', { job: job.id, class: job.spec.class });
    if (autoscaler.mustStartAtOnce(job.spec)) planner.scheduleUrgentPass();
  }
}
