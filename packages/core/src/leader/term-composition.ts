/**
 * Composition root of a leader's term: creates all components and connects them. Each component depends on the others
 * only through the narrow interfaces that it declares; only this file refers to all of them.
 */
import type { JobService } from '../api/job-service.js';
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { Feature } from '../feature-api.js';
import { DependencyFailurePropagation } from '../jobs/dependency-failure-propagation.js';
import { type DependencyEvents, DependencyGraph } from '../jobs/dependency-graph.js';
import { DependencyOutcomeResolver } from '../jobs/dependency-outcome-resolver.js';
import { JobCompletion } from '../jobs/job-completion.js';
import { Failover } from '../leadership/failover.js';
import type { LeaderElection, LeaderLease } from '../leadership/leader-election.js';
import { LeaderTerm } from '../leadership/leader-term.js';
import { Autoscaler } from '../machines/autoscaler.js';
import { MachineFailureDetector } from '../machines/machine-failure-detector.js';
import { MachineLifecycle } from '../machines/machine-lifecycle.js';
import { PreprovisionedMachines } from '../machines/preprovisioned-machines.js';
import type { NodeContext } from '../node/node-context.js';
import { Defragmentation } from '../scheduling/defragmentation.js';
import { PreemptionPlanner } from '../scheduling/preemption-planner.js';
import { QueueOrder } from '../scheduling/queue-order.js';
import { SnapshotBuilder } from '../scheduling/snapshot-builder.js';
import { FencedWriter } from '../storage/fenced-writer.js';
import { MachineStore } from '../storage/machine-store.js';
import { pageCapacity } from '../storage/packed-pages.js';
import { ProgressStore } from '../storage/progress-store.js';
import { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';
import { HeartbeatHandler } from '../tasks/heartbeat-handler.js';
import { AdmissionHolds, MAX_ARRIVAL_AGE } from './admission-holds.js';
import { FeatureRegistry } from './feature-registry.js';
import { LeaderHealth } from './leader-health.js';
import { MaintenanceLoop } from './maintenance-loop.js';
import { Planner } from './planner.js';
import { ProgressPublisher } from './progress-publisher.js';
import { StateRestoration } from './state-restoration.js';
import { TermRecords } from './term-records.js';

/** The connected components of one term. */
export class TermComposition {
  /** Detects that this node is too slow to lead. */
  readonly health = new LeaderHealth();
  /** State and permissions that all components share. */
  readonly term: LeaderTerm;
  /** Writes to the key-value store on the condition that this leader still holds the lease. */
  readonly writer: FencedWriter;
  /** Stores which tasks of the active jobs are done or placed. */
  readonly progressStore: ProgressStore;
  /** Stores the machine records. */
  readonly machineStore: MachineStore;
  /** Starts and stops task attempts on workers. */
  readonly attempts: AttemptLifecycle;
  /** Adds, retires and removes machines. */
  readonly machines: MachineLifecycle;
  /** Provisions machines in the cloud and deletes idle ones. */
  readonly autoscaler: Autoscaler;
  /** Detects workers with an expired lease and unresponsive machines. */
  readonly failureDetector: MachineFailureDetector;
  /** Empties machines whose tasks fit on others, to save cost. */
  readonly defragmentation: Defragmentation;
  /** Dependencies between the jobs that have not ended. */
  readonly dependencies: DependencyGraph;
  /** Reads the outcomes of ended jobs that others depend on. */
  readonly outcomeResolver: DependencyOutcomeResolver;
  /** Ends jobs and records their outcome. */
  readonly completion: JobCompletion;
  /** Applies the heartbeats of workers and answers them with commands. */
  readonly heartbeats: HeartbeatHandler;
  /** Cancels the jobs that depend on a cancelled one. */
  readonly failurePropagation: DependencyFailurePropagation;
  /** Sends the progress of jobs to the other controllers. */
  readonly progressPublisher: ProgressPublisher;
  /** Plans and starts waiting tasks. */
  readonly planner: Planner;
  /** Stores runtime estimates and machine types beyond the term. */
  readonly records: TermRecords;
  /** The enabled features of the product, notified of events of the term. */
  readonly features: FeatureRegistry;
  /** Applies the admission holds that features request. */
  readonly holds: AdmissionHolds;
  /** Reads the stored state at the start of the term and watches job records after that. */
  readonly failover: Failover;
  /** Runs the periodic work of the leader. */
  readonly maintenance: MaintenanceLoop;

  /** Creates the components that features may use in `begin` before it registers the features. */
  constructor(
    private readonly context: NodeContext,
    private readonly lease: LeaderLease,
    private readonly election: LeaderElection,
    readonly jobService: JobService,
    features: readonly Feature[],
  ) {
    this.term = new LeaderTerm(context, lease, election, () => {
      this.planner.schedulePass();
    });
    this.writer = new FencedWriter(context, lease.keyVersion, this.stepDownAsFenced);
    this.progressStore = this.createProgressStore();
    this.machineStore = this.createMachineStore();
    this.attempts = this.createAttempts();
    this.machines = this.createMachines();
    this.autoscaler = this.createAutoscaler();
    this.failureDetector = new MachineFailureDetector(this.term, this.machines, this.endAttempt);
    this.defragmentation = new Defragmentation(this.term.cluster, this.stopAttempt, this.retireWhenEmpty);
    this.dependencies = new DependencyGraph(this.dependencyEvents());
    this.outcomeResolver = this.createOutcomeResolver();
    this.completion = this.createCompletion();
    this.heartbeats = this.createHeartbeats();
    this.failurePropagation = this.createFailurePropagation();
    this.progressPublisher = new ProgressPublisher(this.term, jobService);
    this.planner = this.createPlanner();
    this.records = new TermRecords(this.term, this.writer, this.attempts);
    this.features = new FeatureRegistry(this.term, features, this.dependencies);
    this.holds = new AdmissionHolds(this.term, this.features, this.autoscaler);
    this.failover = new Failover(this.term, lease.freshness, new StateRestoration(this.term, this));
    this.maintenance = new MaintenanceLoop(this.term, this);
  }

  private readonly stepDownAsFenced = (): void => {
    this.election.stepDown('fenced');
  };

  private readonly findMachine = (name: string): Machine | undefined => this.term.cluster.machines.get(name);

  private readonly endAttempt = (attempt: TaskAttempt): void => {
    this.attempts.end(attempt, null);
  };

  private readonly stopAttempt = (attempt: TaskAttempt, graceUs: Micros): void => {
    this.attempts.stop(attempt, graceUs);
  };

  private readonly retireWhenEmpty = (machine: Machine, reason: string, latest: Micros): void => {
    this.machines.retireWhenEmpty(machine, reason, latest);
  };

  private readonly isActive = (): boolean => !this.term.hasEnded;

  private createProgressStore(): ProgressStore {
    const { jobs } = this.term.cluster;
    return new ProgressStore(this.context, this.writer, (id) => jobs.get(id), this.findMachine);
  }

  private createMachineStore(): MachineStore {
    const room = pageCapacity(this.context.settings.maxValueBytes);
    return new MachineStore(this.writer, room, this.findMachine, (key) => {
      this.context.error('machine.record_unreadable', { key });
    });
  }

  private createAttempts(): AttemptLifecycle {
    return new AttemptLifecycle(this.term, {
      recordPlacement: (job, then, refused) => {
        this.progressStore.recordPlacement(job, then, refused);
      },
      heartbeatReceived: (machine, heartbeat) => {
        this.heartbeats.apply(machine, heartbeat);
      },
      attemptReleased: (job) => {
        this.completion.dropIfEmpty(job);
      },
      attemptEnded: (attempt, exit) => {
        this.features.notify((feature) => {
          feature.attemptEnded(attempt, exit);
        });
      },
      retireWhenEmpty: this.retireWhenEmpty,
    });
  }

  private createMachines(): MachineLifecycle {
    return new MachineLifecycle(this.term, this.machineStore, {
      deleteMachine: (name) => {
        this.autoscaler.deleteMachine(name);
      },
      endAttempt: this.endAttempt,
      machineRemoved: (machine) => {
        this.features.notify((feature) => {
          feature.machineRemoved(machine);
        });
      },
    });
  }

  private createAutoscaler(): Autoscaler {
    const { term, machines } = this;
    return new Autoscaler(this.context, {
      term: term.number,
      preprovisioned: new PreprovisionedMachines(term, this.machineStore, this.writer, term.schedulePass),
      machines: () => term.cluster.machines.values(),
      find: this.findMachine,
      recordProvisioned: (name, type, zone, spot, since) => {
        machines.recordProvisioned(name, type, zone, spot, since);
      },
      recordListed: (machine) => {
        machines.recordListed(machine);
      },
      remove: (machine, reason) => {
        machines.remove(machine, reason);
      },
      retire: (machine, reason) => {
        machines.retire(machine, reason);
      },
      schedulePass: term.schedulePass,
      isActive: this.isActive,
      canActAsLeader: () => term.canActAsLeader(),
      isCostSensitive: () => term.cluster.isCostSensitive(),
    });
  }

  private dependencyEvents(): DependencyEvents {
    const { context, term } = this;
    const { cluster } = term;
    return {
      get wallNow(): Micros {
        return context.wallNow;
      },
      findJob: (id) => {
        const job = cluster.jobs.get(id);
        return job?.phase === 'ended' ? undefined : job;
      },
      readOutcome: (id) => {
        this.outcomeResolver.resolve(id);
      },
      dependenciesMet: (job) => {
        this.holds.update(job);
        if (!term.isRestored) return;
        const heldS = (job.waitingSince - job.acceptedAt) / SECOND;
        context.info('job.dependencies_met', { job: job.id, heldS });
        if (context.wallNow - job.waitingSince < MAX_ARRIVAL_AGE) this.autoscaler.recordArrival(job.spec);
        term.schedulePass();
      },
      dependencyFailed: (jobs, cause) => {
        context.info('dependencies.failure_propagated', { cause, jobs: jobs.map((job) => job.id) });
        this.failurePropagation.add(jobs);
      },
      expectedDuration: (job) => cluster.expectedDuration(job),
    };
  }

  private createOutcomeResolver(): DependencyOutcomeResolver {
    const { jobs } = this.term.cluster;
    return new DependencyOutcomeResolver(
      this.context,
      this.isActive,
      (id) => this.dependencies.isAwaitingOutcome(id) && (jobs.get(id)?.phase ?? 'ended') === 'ended',
      (id, outcome) => {
        this.dependencies.recordOutcome(id, outcome);
      },
    );
  }

  private createCompletion(): JobCompletion {
    const { jobs } = this.term.cluster;
    return new JobCompletion(this.term, {
      recordTerminalState: (id, stage, done) => {
        this.jobService.recordTerminalState(id, stage, done);
      },
      ended: (job, outcome) => {
        this.dependencies.remove(job);
        if (outcome !== null) this.dependencies.recordOutcome(job.id, outcome);
        else if (this.dependencies.isAwaitingOutcome(job.id)) this.outcomeResolver.resolve(job.id);
      },
      stop: (attempt) => {
        this.attempts.stop(attempt, 0);
      },
      dropProgress: (job) => {
        this.progressStore.drop(job);
      },
      forget: (job) => {
        if (jobs.get(job.id) !== job) return;
        jobs.delete(job.id);
        this.progressPublisher.forget(job.id);
        this.features.notify((feature) => {
          feature.jobClosed(job);
        });
      },
    });
  }

  private createHeartbeats(): HeartbeatHandler {
    return new HeartbeatHandler(this.term, this.machines, this.attempts, {
      markDone: (job, index) => {
        this.completion.markDone(job, index);
      },
      taskRunning: (attempt) => {
        this.features.notify((feature) => {
          feature.taskRunning(attempt);
        });
      },
      unknownAttemptExited: (job, exit) => {
        this.features.notify((feature) => {
          feature.unknownAttemptExited(job, exit);
        });
      },
      mustRetain: (exit) => !this.features.isEmpty && this.features.retainsResult(exit),
    });
  }

  private createFailurePropagation(): DependencyFailurePropagation {
    return new DependencyFailurePropagation(this.context, {
      leaderKeyVersion: this.lease.keyVersion,
      isActive: this.isActive,
      onFenced: this.stepDownAsFenced,
      cancelled: (job) => {
        this.jobService.recordTerminalState(job.id, 'cancelled', 0, job.spec.shape === 'service');
        this.completion.recordEnd(job, 'cancelled');
      },
      recordChanged: (job) => {
        this.completion.readOutcome(job);
      },
    });
  }

  private createPlanner(): Planner {
    const { cluster } = this.term;
    return new Planner(this.term, {
      queueOrder: new QueueOrder(cluster),
      snapshotBuilder: new SnapshotBuilder(cluster),
      preemptionPlanner: new PreemptionPlanner(cluster, this.stopAttempt),
      attempts: this.attempts,
      dependencies: this.dependencies,
      autoscaler: this.autoscaler,
      isLagging: () => this.health.isLagging,
    });
  }
}
