/** Rebuilds the cluster state of a new term from the records of earlier leaders, then applies changes of job records. */
import type { JobService } from '../api/job-service.js';
import { ActiveJob } from '../cluster/cluster-model.js';
import { decodeActiveJob } from '../codecs/job-codec.js';
import {
  ACTIVE_JOBS_PREFIX,
  jobIdOfActiveKey,
  LARGE_PROGRESS_PREFIX,
  LEGACY_MACHINES_PREFIX,
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

/** Returns the listed items whose keys have a prefix. */
type ItemsUnder = (prefix: string) => readonly StoredItem[];

/** Components of a term that receive the restored state. */
export interface RestoredParts {
  /** Answers polls of users about the restored jobs. */
  readonly jobService: JobService;
  /** Decodes and keeps the machine records. */
  readonly machineStore: MachineStore;
  /** Decodes and keeps the progress of jobs. */
  readonly progressStore: ProgressStore;
  /** Adds recorded machines, and retires those that were retiring. */
  readonly machines: MachineLifecycle;
  /** Started once the state is restored. */
  readonly autoscaler: Autoscaler;
  /** Receives the dependencies of all jobs. */
  readonly dependencies: DependencyGraph;
  /** Ends jobs that are complete or whose record is gone. */
  readonly completion: JobCompletion;
  /** Replays heartbeats that arrived before the state was restored. */
  readonly heartbeats: HeartbeatHandler;
  /** Evaluates the admission holds of jobs. */
  readonly holds: AdmissionHolds;
  /** Notifies features that the state is restored. */
  readonly features: FeatureRegistry;
  /** Plans restored and new work. */
  readonly planner: Planner;
  /** Loads runtime estimates. */
  readonly records: TermRecords;
}

/** Restores the state of a term and applies later changes of job records to it. */
export class StateRestoration implements FailoverEvents {
  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: RestoredParts,
  ) {}

  /** Restores the cluster state, once all records of earlier leaders are read. */
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
    const knownMachines = this.term.cluster.machines;
    for (const [name, record] of machineStore.load(
      itemsUnder(MACHINE_PAGES_PREFIX),
      itemsUnder(LEGACY_MACHINES_PREFIX),
    )) {
      const machine = knownMachines.get(name) ?? machines.add(name, record);
      machine.recorded = 'yes';
      machine.preprovisioned = record.preprovisioned;
      // An earlier leader may have renewed the worker's lease and started tasks on it until this leader's lease began.
      machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, this.term.lease.heldSince);
      machine.awaitingReconciliation = true;
      if (record.retiring) machines.retire(machine, 'was retiring');
    }
    machineStore.migrateLegacyRecords(itemsUnder(LEGACY_MACHINES_PREFIX), (name) => knownMachines.get(name));
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
      machineStore.areAllRecordsReadable,
    );
  }

  private logRestored(): void {
    const { cluster, number, context } = this.term;
    context.info('leader.state_restored', {
      term: number,
      jobs: cluster.jobs.size,
      held: this.parts.dependencies.blockedCount,
      machines: cluster.machines.size,
    });
  }

  /** Adds a job that was accepted in this term. */
  jobRecordPut(id: string, value: unknown, version: number): void {
    this.add(id, value, version, true);
  }

  /** Ends a job whose active record was deleted, because the job was cancelled or has ended. */
  jobRecordDeleted(id: string, version: number): void {
    const job = this.term.cluster.jobs.get(id);
    if (job?.phase === 'active' && job.version < version) this.parts.completion.recordEnd(job, null);
  }

  /** Ends the jobs that are missing from a list: they had ended by its revision. */
  jobsListed(ids: ReadonlySet<string>, revision: number): void {
    for (const job of [...this.term.cluster.jobs.values()])
      if (!ids.has(job.id) && job.phase === 'active' && job.version <= revision)
        this.parts.completion.recordEnd(job, null);
  }

  /** `acceptedThisTerm` is false for records of earlier terms, which are read before the state is restored. */
  private add(id: string, value: unknown, version: number, acceptedThisTerm: boolean): void {
    const { context, cluster } = this.term;
    if (cluster.jobs.has(id)) return;
    const record = decodeActiveJob(value);
    if (record === null) {
      context.error('job.record_unreadable', { job: id });
      return;
    }
    // A list of several pages may include a job whose end this leader wrote meanwhile. Jobs with dependencies are exempt:
    // they may be reported as cancelled before their own record is written.
    if (record.spec.dependsOn.length === 0 && this.parts.jobService.hasEnded(id)) return;
    this.parts.jobService.recordActiveJob(record.spec, version);
    const job = new ActiveJob(record.spec, version, record.acceptedAt, context.now);
    cluster.jobs.set(id, job);
    if (acceptedThisTerm) this.admit(job);
    this.parts.planner.schedulePass();
  }

  private admit(job: ActiveJob): void {
    const { dependencies, holds, autoscaler, planner } = this.parts;
    const { context } = this.term;
    dependencies.add(job);
    holds.update(job);
    if (job.blockedOnDependencies)
      context.info('job.blocked_on_dependencies', { job: job.id, for: dependencies.unmetDependencies(job) });
    else if (job.spec.dependsOn.length === 0 && job.admissionHold === null)
      autoscaler.recordArrival(job.spec);
    context.debug('job.discovered', { job: job.id, class: job.spec.class });
    if (autoscaler.mustStartAtOnce(job.spec)) planner.scheduleUrgentPass();
  }
}
