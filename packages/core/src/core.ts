/** One controller as a state machine: `step` takes one input at a time and returns the effects to be carried out. */
import { JobService } from './api/job-service.js';
import type { CoreEffect, Input } from './domain/effects.js';
import type { Heartbeat, HeartbeatResponse } from './domain/heartbeat.js';
import type { PeerMessage } from './domain/peer.js';
import type { Settings } from './domain/settings.js';
import type { Micros } from './domain/time.js';
import type { Feature, FeatureEndpoint } from './feature-api.js';
import { Scheduler } from './leader/scheduler.js';
import { LeaderElection } from './leadership/leader-election.js';
import { PeerHeartbeats } from './membership/peer-heartbeats.js';
import { MachineTypeLoader } from './node/machine-type-loader.js';
import { NodeContext } from './node/node-context.js';

/** Effects that only a node with the right to act may have. */
const isLeaderAction = (effect: CoreEffect): boolean => {
  switch (effect.kind) {
    case 'workerCommands':
      return effect.commands.length > 0;
    case 'heartbeatResponse':
      return effect.answer.kind === 'accepted';
    case 'cloudRequest':
      // Deletions rest on the machine's record instead, which says that it retires: whoever leads, that is never undone.
      return effect.op.kind === 'rent';
    default:
      return false;
  }
};

/** The state machine of one controller. */
export class Core {
  private readonly context: NodeContext;
  private readonly jobService: JobService;
  private readonly election: LeaderElection;
  private readonly machineTypes: MachineTypeLoader;
  /** Null: switched off. */
  private readonly peerHeartbeats: PeerHeartbeats | null;
  private currentScheduler: Scheduler | null = null;
  private readonly endpoints: ReadonlyMap<string, FeatureEndpoint>;

  constructor(
    settings: Settings,
    /** Processor time in microseconds, from any origin. */
    stopwatch: () => Micros,
    /** Whether decisions are logged. */
    verbose = true,
    /** The features that are switched on. */
    private readonly features: readonly Feature[] = [],
  ) {
    this.context = new NodeContext(settings, stopwatch, verbose);
    this.jobService = new JobService(this.context, () => this.peerHeartbeats?.isStoreServingPeers() ?? false);
    this.endpoints = this.serveFeatures();
    this.election = this.createElection();
    this.machineTypes = this.createMachineTypeLoader();
    this.peerHeartbeats = this.createPeerHeartbeats();
  }

  private serveFeatures(): ReadonlyMap<string, FeatureEndpoint> {
    const endpoints = new Map<string, FeatureEndpoint>();
    for (const feature of this.features) {
      const endpoint = feature.serve?.({
        context: this.context,
        submitRequest: (body, then) => {
          this.jobService.handleInternal(body, then);
        },
      });
      if (endpoint !== undefined) endpoints.set(feature.name, endpoint);
    }
    return endpoints;
  }

  private createElection(): LeaderElection {
    const election: LeaderElection = new LeaderElection(
      this.context,
      (lease) => {
        this.currentScheduler = new Scheduler(this.context, lease, election, this.jobService, this.features);
        this.currentScheduler.start();
        this.machineTypes.storeIfMissing();
      },
      () => {
        this.currentScheduler?.stop();
        this.currentScheduler = null;
      },
    );
    return election;
  }

  private createMachineTypeLoader(): MachineTypeLoader {
    return new MachineTypeLoader(
      this.context,
      () => {
        this.currentScheduler?.machineTypesChanged();
      },
      (types) => {
        this.currentScheduler?.saveMachineTypes(types);
        return this.currentScheduler !== null;
      },
    );
  }

  private createPeerHeartbeats(): PeerHeartbeats | null {
    const { membership, peers } = this.context.settings;
    if (membership === null || peers.length === 0) return null;
    return new PeerHeartbeats(this.context, membership, () =>
      this.election.canActAsLeader() ? (this.election.lease?.term ?? null) : null,
    );
  }

  /** Takes one input at steady time `now`, and returns the effects in the order in which they are to be carried out. */
  step(now: Micros, input: Input): CoreEffect[] {
    const { context } = this;
    // Time never runs backwards inside, whatever the order in which inputs were stamped.
    context.now = Math.max(context.now, now);
    context.out = [];
    context.guard(input.kind, () => {
      this.dispatch(input);
    });
    context.runDueTimers();
    context.runEndOfStep();
    this.checkActions();
    const wakeAt = context.nextWake();
    if (wakeAt !== null) context.emit({ kind: 'wake', at: wakeAt });
    return context.out;
  }

  /** Whatever led to it, only a node that may act as leader commands workers, renews their leases, or rents machines. */
  private checkActions(): void {
    const { context } = this;
    const action = context.out.find(isLeaderAction);
    if (action === undefined) return;
    context.invariants.check('onlyLeaderActs', this.leads(), () => ({
      action: action.kind === 'cloudRequest' ? action.op.kind : action.kind,
      term: this.election.lease?.term ?? null,
    }));
  }

  /** The scheduler of the term that this controller leads; null while another one does. */
  get scheduler(): Scheduler | null {
    return this.currentScheduler;
  }

  /** Whether this controller leads and may act. */
  leads(): boolean {
    return this.election.canActAsLeader();
  }

  private dispatch(input: Input): void {
    const { context } = this;
    switch (input.kind) {
      case 'start':
        this.setWallClock(input.wallUs);
        this.election.start();
        this.peerHeartbeats?.start(input.wallUs);
        this.jobService.start();
        this.machineTypes.load();
        return;
      case 'timer':
        return;
      case 'storeReply':
        context.storeReplied(input.call, input.reply);
        return;
      case 'cloudReply':
        context.cloudReplied(input.call, input.reply);
        return;
      case 'commandReply':
        context.commandsReplied(input.call, input.reply);
        return;
      case 'clientRequest':
        this.setWallClock(input.wallUs);
        this.jobService.handle(input.request, input.body);
        return;
      case 'heartbeat':
        this.handleHeartbeat(input.request, input.heartbeat);
        return;
      case 'featureRequest':
        this.setWallClock(input.wallUs);
        this.endpoints.get(input.feature)?.handle(input.request, input.body);
        return;
      case 'peerMessage':
        this.receivePeerMessage(input.message);
        return;
    }
  }

  private setWallClock(wallUs: Micros): void {
    this.context.wallOffset = wallUs - this.context.now;
  }

  private receivePeerMessage(message: PeerMessage): void {
    const { member, term } = message;
    const isFromNewestLeader = term !== null && this.election.recordPeerClaim(member, term);
    if (message.kind === 'beat') this.peerHeartbeats?.receive(message);
    // Counts of a leader that has stepped down are older than those of the next.
    else if (isFromNewestLeader) this.jobService.recordProgress(message);
  }

  private handleHeartbeat(request: number, heartbeat: Heartbeat): void {
    this.peerHeartbeats?.recordWorkerContact(heartbeat.machine);
    const answer = this.respondToHeartbeat(heartbeat);
    this.context.emit({ kind: 'heartbeatResponse', request, answer });
  }

  private respondToHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    if (this.currentScheduler !== null) {
      if (this.leads()) return this.currentScheduler.respondToHeartbeat(heartbeat);
      this.currentScheduler.recordLiveness(heartbeat);
      return { kind: 'unavailable' };
    }
    const { leader } = this.election;
    if (leader === null || leader === this.context.settings.member) return { kind: 'unavailable' };
    return { kind: 'redirect', leader };
  }
}
