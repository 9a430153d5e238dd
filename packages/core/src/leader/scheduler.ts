/** What a controller does while it leads, for one term. A new term has a new scheduler. */
import type { JobService } from '../api/job-service.js';
import type { Heartbeat, HeartbeatResponse } from '../domain/heartbeat.js';
import type { MachineType } from '../domain/machine.js';
import type { Feature } from '../feature-api.js';
import type { LeaderElection, LeaderLease } from '../leadership/leader-election.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { NodeContext } from '../node/node-context.js';
import { TermComposition } from './term-composition.js';

/** Front of the parts of one term. */
export class Scheduler {
  private readonly parts: TermComposition;

  constructor(
    private readonly context: NodeContext,
    lease: LeaderLease,
    private readonly election: LeaderElection,
    jobService: JobService,
    features: readonly Feature[],
  ) {
    this.parts = new TermComposition(context, lease, election, jobService, features);
  }

  /** The term that this scheduler serves. */
  get term(): LeaderTerm {
    return this.parts.term;
  }

  /** Begins the term: reads the records of earlier leaders, and announces the leader. */
  start(): void {
    const { failover, health, progressPublisher, maintenance } = this.parts;
    failover.start();
    this.election.onRenewed = () => {
      health.recordRenewal(this.context.now, !this.term.inFailoverGracePeriod);
    };
    progressPublisher.publish(true);
    maintenance.start();
  }

  /** The leader has stepped down: nothing is written or decided any more. */
  stop(): void {
    this.term.hasEnded = true;
    this.election.onRenewed = null;
    this.parts.writer.stop();
    this.parts.features.notify((feature) => {
      feature.termEnded();
    });
  }

  /** The cloud's machine types are known, or changed. */
  machineTypesChanged(): void {
    this.parts.planner.schedulePass();
  }

  /** Stores the machine types for controllers that start while the cloud is out. */
  saveMachineTypes(types: readonly MachineType[]): void {
    this.parts.records.saveMachineTypes(types);
  }

  /** Handles a heartbeat; an accepted one renews its worker's lease. */
  respondToHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.parts.heartbeats.respond(heartbeat);
  }

  /** A heartbeat that could not be accepted still shows that its sender is alive. */
  recordLiveness(heartbeat: Heartbeat): void {
    this.parts.heartbeats.recordLiveness(heartbeat);
  }
}
