/** One controller as a state machine: `step` processes one input and returns the effects to be executed. */
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

/** Whether an effect is reserved for a node that may act as leader. */
const isLeaderAction = (effect: CoreEffect): boolean => {
  switch (effect.kind) {
    case 'workerCommands':
      return effect.commands.length > 0;
    case 'heartbeatResponse':
      return effect.answer.kind === 'accepted';
    case 'cloudRequest':
      // Deletions are excluded: they follow from the machine's record being marked as retiring, which no leader reverts.
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
  /** Null if peer heartbeats are disabled, or there are no peers. */
  private readonly peerHeartbeats: PeerHeartbeats | null;
  private currentScheduler: Scheduler | null = null;
  private readonly endpoints: ReadonlyMap<string, FeatureEndpoint>;

  constructor(
    settings: Settings,
    /** Processor time in microseconds from an arbitrary origin. */
    stopwatch: () => Micros,
    /** Whether debug events, which record individual decisions, are logged. */
    verbose = true,
    /** The enabled features. */
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
      const endpoint = feature.createEndpoint?.({
        context: this.context,
        submitRequest: (body, onResponse) => {
          this.jobService.handleInternal(body, onResponse);
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

  /**
   * Processes one input at monotonic time `now`, and returns the effects in the order in which they must be executed.
   */
  step(now: Micros, input: Input): CoreEffect[] {
    const { context } = this;
    // Keeps time monotonic even if inputs arrive with timestamps out of order.
    context.now = Math.max(context.now, now);
    context.effects = [];
    context.runGuarded(input.kind, () => {
      this.dispatch(input);
    });
    context.runDueTimers();
    context.runEndOfStep();
    this.checkOnlyLeaderActs();
    const wakeAt = context.nextTimerAt();
    if (wakeAt !== null) context.emit({ kind: 'wake', at: wakeAt });
    return context.effects;
  }

  /** Checks that only a node that may act as leader has commanded workers, renewed their leases or rented machines. */
  private checkOnlyLeaderActs(): void {
    const { context } = this;
    const action = context.effects.find(isLeaderAction);
    if (action === undefined) return;
    context.invariants.check('onlyLeaderActs', this.canActAsLeader(), () => ({
      action: action.kind === 'cloudRequest' ? action.op.kind : action.kind,
      term: this.election.lease?.term ?? null,
    }));
  }

  /** The scheduler of the term that this controller leads; null while it does not lead. */
  get scheduler(): Scheduler | null {
    return this.currentScheduler;
  }

  /** Whether this controller leads and may act as leader now. */
  canActAsLeader(): boolean {
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
        context.handleStoreReply(input.call, input.reply);
        return;
      case 'cloudReply':
        context.handleCloudReply(input.call, input.reply);
        return;
      case 'commandReply':
        context.handleCommandReply(input.call, input.reply);
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
    // Counts from an earlier leader are dropped, since they are older than those of the newest one.
    else if (isFromNewestLeader) this.jobService.recordProgress(message);
  }

  private handleHeartbeat(request: number, heartbeat: Heartbeat): void {
    this.peerHeartbeats?.recordWorkerContact(heartbeat.machine);
    const answer = this.respondToHeartbeat(heartbeat);
    this.context.emit({ kind: 'heartbeatResponse', request, answer });
  }

  private respondToHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    if (this.currentScheduler !== null) {
      if (this.canActAsLeader()) return this.currentScheduler.respondToHeartbeat(heartbeat);
      this.currentScheduler.recordLiveness(heartbeat);
      return { kind: 'unavailable' };
    }
    const { leader } = this.election;
    if (leader === null || leader === this.context.settings.member) return { kind: 'unavailable' };
    return { kind: 'redirect', leader };
  }
}
