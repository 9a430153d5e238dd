/** The scheduler that a controller runs while it is the leader; each term has a new instance. */
import type { JobService } from '../api/job-service.js';
import type { Heartbeat, HeartbeatResponse } from '../domain/heartbeat.js';
import type { MachineType } from '../domain/machine.js';
import type { Feature } from '../feature-api.js';
import type { LeaderElection, LeaderLease } from '../leadership/leader-election.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { NodeContext } from '../node/node-context.js';
import { TermComposition } from './term-composition.js';

/** Facade over the components of one term. */
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

  /** The leader's term, for which this scheduler was created. */
  get term(): LeaderTerm {
    return this.parts.term;
  }

  /** Starts the term: reads the state that earlier leaders stored and announces this leader to its peers. */
  start(): void {
    const { failover, health, progressPublisher, maintenance } = this.parts;
    failover.start();
    this.election.onRenewed = () => {
      health.recordRenewal(this.context.now, !this.term.inFailoverGracePeriod);
    };
    progressPublisher.publish(true);
    maintenance.start();
  }

  /** Ends the term after the leader has stepped down: no more writes or decisions. */
  stop(): void {
    this.term.hasEnded = true;
    this.election.onRenewed = null;
    this.parts.writer.stop();
    this.parts.features.notify((feature) => {
      feature.termEnded();
    });
  }

  /** Plans again, since the cloud's machine types became known or changed. */
  machineTypesChanged(): void {
    this.parts.planner.schedulePass();
  }

  /** Stores the machine types for controllers that start while the cloud is unavailable. */
  saveMachineTypes(types: readonly MachineType[]): void {
    this.parts.records.saveMachineTypes(types);
  }

  /** Handles a heartbeat; an accepted one renews the worker's lease. */
  respondToHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.parts.heartbeats.respond(heartbeat);
  }

  /** Records that the sender of a heartbeat that could not be accepted is alive. */
  recordLiveness(heartbeat: Heartbeat): void {
    this.parts.heartbeats.recordLiveness(heartbeat);
  }
}
