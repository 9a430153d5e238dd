/** One node as a state machine: `step` takes an input at a time and returns what to do. */
import { NodeContext } from './node/node-context.js';
import { JobService } from './api/job-service.js';
import { TYPES } from './codecs/keys.js';
import { PeerHeartbeats } from './membership/peer-heartbeats.js';
import { LeaderElection } from './leadership/leader-election.js';
import type { CoreEffect, Input } from './domain/effects.js';
import type { Heartbeat, HeartbeatResponse } from './domain/heartbeat.js';
import type { MachineType } from './domain/machine.js';
import type { PeerMessage } from './domain/peer.js';
import type { Settings } from './domain/settings.js';
import type { Micros } from './domain/time.js';
import { MILLI, SECOND } from './domain/time.js';
import { decodeMachineTypes } from './codecs/machine-type-codec.js';
import type { Feature, FeatureEndpoint } from './feature-api.js';
import { Scheduler } from './leader/scheduler.js';

export class Core {
  private readonly ctx: NodeContext;
  private readonly desk: JobService;
  private readonly leadership: LeaderElection;
  /** Null: switched off. */
  private readonly beats: PeerHeartbeats | null;
  private currentScheduler: Scheduler | null = null;
  private savedTypes = false;
  private readonly parts = new Map<string, FeatureEndpoint>();

  constructor(
    settings: Settings,
    stopwatch: () => Micros,
    verbose = true,
    /** What is switched on. */
    features: readonly Feature[] = [],
  ) {
    this.ctx = new NodeContext(settings, stopwatch, verbose);
    this.desk = new JobService(this.ctx, () => this.beats?.isStoreServingPeers() ?? false);
    for (const f of features) {
      const part = f.serve?.({
        ctx: this.ctx,
        submitRequest: (body, then) => {
          this.desk.ask(body, then);
        },
      });
      if (part !== undefined) this.parts.set(f.name, part);
    }
    this.leadership = new LeaderElection(
      this.ctx,
      (office) => {
        this.currentScheduler = new Scheduler(this.ctx, office, this.leadership, this.desk, features);
        this.currentScheduler.start();
        this.saveTypes();
      },
      () => {
        this.currentScheduler?.stop();
        this.currentScheduler = null;
      },
    );
    this.beats =
      settings.membership === null || settings.peers.length === 0
        ? null
        : new PeerHeartbeats(this.ctx, settings.membership, () =>
            this.leadership.canActAsLeader() ? (this.leadership.lease?.term ?? null) : null,
          );
  }

  step(now: Micros, input: Input): CoreEffect[] {
    // Time never runs backwards inside, whatever the order in which inputs were stamped.
    this.ctx.now = Math.max(this.ctx.now, now);
    this.ctx.out = [];
    // A mistake of ours in one place must not swallow what others had to say, nor take the node down.
    this.ctx.guard(input.kind, () => {
      this.take(input);
    });
    this.ctx.runDueTimers();
    this.ctx.runEndOfStep();
    const at = this.ctx.nextWake();
    if (at !== null) this.ctx.emit({ kind: 'wake', at });
    return this.ctx.out;
  }

  /** Of the term that this node leads; null while another one does. */
  get scheduler(): Scheduler | null {
    return this.currentScheduler;
  }

  /** Whether this node leads and may act. */
  leads(): boolean {
    return this.leadership.canActAsLeader();
  }

  private take(input: Input): void {
    switch (input.kind) {
      case 'start':
        this.ctx.wallOffset = input.wallUs - this.ctx.now;
        this.leadership.start();
        this.beats?.start(input.wallUs);
        this.learnTypes(0);
        return;
      case 'timer':
        return;
      case 'storeReply':
        this.ctx.storeReplied(input.call, input.reply);
        return;
      case 'cloudReply':
        this.ctx.cloudReplied(input.call, input.reply);
        return;
      case 'commandReply':
        this.ctx.commandsReplied(input.call, input.reply);
        return;
      case 'clientRequest':
        this.ctx.wallOffset = input.wallUs - this.ctx.now;
        this.desk.handle(input.request, input.body);
        return;
      case 'heartbeat':
        this.beats?.recordWorkerContact(input.heartbeat.machine);
        this.ctx.emit({
          kind: 'heartbeatResponse',
          request: input.request,
          answer: this.answerReport(input.heartbeat),
        });
        return;
      case 'featureRequest':
        this.ctx.wallOffset = input.wallUs - this.ctx.now;
        this.parts.get(input.feature)?.handle(input.request, input.body);
        return;
      case 'peerMessage':
        this.hear(input.message);
        return;
    }
  }

  private hear(m: PeerMessage): void {
    const newest = m.term !== null && this.leadership.recordPeerClaim(m.member, m.term);
    if (m.kind === 'beat') this.beats?.receive(m);
    // Counts of an office that is over are older than those of the next.
    else if (newest) this.desk.recordProgress(m);
  }

  private answerReport(r: Heartbeat): HeartbeatResponse {
    if (this.currentScheduler !== null && this.leadership.canActAsLeader())
      return this.currentScheduler.respondToHeartbeat(r);
    if (this.currentScheduler !== null) {
      this.currentScheduler.recordLiveness(r);
      return { kind: 'unavailable' };
    }
    const { leader } = this.leadership;
    if (leader === null || leader === this.ctx.settings.member) return { kind: 'unavailable' };
    return { kind: 'redirect', leader };
  }

  /** From the cloud, or, while it is out, from what a leader has stored. */
  private learnTypes(tries: number): void {
    if (this.ctx.types.size > 0) return;
    const again = (): void => {
      this.ctx.after(Math.min(2 * SECOND, (1 + tries) * 400 * MILLI), () => {
        this.learnTypes(tries + 1);
      });
    };
    this.ctx.requestStore({ kind: 'get', key: TYPES }, 1, (s) => {
      const stored = s.kind === 'item' ? decodeMachineTypes(s.item.value) : null;
      if (stored !== null && stored.length > 0) {
        this.haveTypes(stored);
        this.savedTypes = true;
        return;
      }
      this.ctx.requestCloud({ kind: 'types' }, 0, (r) => {
        if (r.kind === 'types' && r.types.length > 0) {
          this.haveTypes(r.types);
          this.saveTypes();
        } else again();
      });
    });
  }

  private haveTypes(types: readonly MachineType[]): void {
    this.ctx.types = new Map(types.map((t) => [t.name, t]));
    this.ctx.info('machine_types.loaded', { types: types.map((t) => t.name) });
    this.currentScheduler?.machineTypesChanged();
  }

  private saveTypes(): void {
    if (this.currentScheduler === null || this.savedTypes || this.ctx.types.size === 0) return;
    this.savedTypes = true;
    this.currentScheduler.saveMachineTypes([...this.ctx.types.values()]);
  }
}
