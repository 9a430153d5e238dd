/** One node as a state machine: `step` takes an input at a time and returns what to do. */
import { Context } from './node/node-context.js';
import { Desk } from './api/job-service.js';
import { TYPES } from './codecs/keys.js';
import { Beats } from './membership/peer-heartbeats.js';
import { Leadership } from './leadership/leader-election.js';
import type { CoreEffect, Input } from './domain/effects.js';
import type { Heartbeat, HeartbeatResponse } from './domain/heartbeat.js';
import type { MachineType } from './domain/machine.js';
import type { PeerMessage } from './domain/peer.js';
import type { Settings } from './domain/settings.js';
import type { Micros } from './domain/time.js';
import { MILLI, SECOND } from './domain/time.js';
import { decodeMachineTypes } from './codecs/machine-type-codec.js';
import type { Feature, NodePart } from './ports.js';
import { Scheduler } from './leader/scheduler.js';

export class Core {
  private readonly ctx: Context;
  private readonly desk: Desk;
  private readonly leadership: Leadership;
  /** Null: switched off. */
  private readonly beats: Beats | null;
  private scheduler: Scheduler | null = null;
  private savedTypes = false;
  private readonly parts = new Map<string, NodePart>();

  constructor(
    settings: Settings,
    stopwatch: () => Micros,
    verbose = true,
    /** What is switched on. */
    features: readonly Feature[] = [],
  ) {
    this.ctx = new Context(settings, stopwatch, verbose);
    this.desk = new Desk(this.ctx, () => this.beats?.servedElsewhere() ?? false);
    for (const f of features) {
      const part = f.serve?.({
        ctx: this.ctx,
        ask: (body, then) => {
          this.desk.ask(body, then);
        },
      });
      if (part !== undefined) this.parts.set(f.name, part);
    }
    this.leadership = new Leadership(
      this.ctx,
      (office) => {
        this.scheduler = new Scheduler(this.ctx, office, this.leadership, this.desk, features);
        this.scheduler.start();
        this.saveTypes();
      },
      () => {
        this.scheduler?.stop();
        this.scheduler = null;
      },
    );
    this.beats =
      settings.membership === null || settings.peers.length === 0
        ? null
        : new Beats(this.ctx, settings.membership, () =>
            this.leadership.hasRight() ? (this.leadership.office?.term ?? null) : null,
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

  /** Whether this node holds the office and may act. */
  leads(): boolean {
    return this.leadership.hasRight();
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
      case 'state':
        this.ctx.stateReplied(input.call, input.reply);
        return;
      case 'cloud':
        this.ctx.cloudReplied(input.call, input.reply);
        return;
      case 'orders':
        this.ctx.ordersReplied(input.call, input.reply);
        return;
      case 'user':
        this.ctx.wallOffset = input.wallUs - this.ctx.now;
        this.desk.handle(input.request, input.body);
        return;
      case 'report':
        this.beats?.came(input.report.machine);
        this.ctx.emit({
          kind: 'answerWorker',
          request: input.request,
          answer: this.answerReport(input.report),
        });
        return;
      case 'asked':
        this.ctx.wallOffset = input.wallUs - this.ctx.now;
        this.parts.get(input.feature)?.asked(input.request, input.body);
        return;
      case 'peer':
        this.hear(input.message);
        return;
    }
  }

  private hear(m: PeerMessage): void {
    const newest = m.term !== null && this.leadership.heard(m.member, m.term);
    if (m.kind === 'beat') this.beats?.take(m);
    // Counts of an office that is over are older than those of the next.
    else if (newest) this.desk.noteProgress(m);
  }

  private answerReport(r: Heartbeat): HeartbeatResponse {
    if (this.scheduler !== null && this.leadership.hasRight()) return this.scheduler.onReport(r);
    if (this.scheduler !== null) {
      this.scheduler.heard(r);
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
    this.ctx.state({ kind: 'get', key: TYPES }, 1, (s) => {
      const stored = s.kind === 'item' ? decodeMachineTypes(s.item.value) : null;
      if (stored !== null && stored.length > 0) {
        this.haveTypes(stored);
        this.savedTypes = true;
        return;
      }
      this.ctx.cloud({ kind: 'types' }, 0, (r) => {
        if (r.kind === 'types' && r.types.length > 0) {
          this.haveTypes(r.types);
          this.saveTypes();
        } else again();
      });
    });
  }

  private haveTypes(types: readonly MachineType[]): void {
    this.ctx.types = new Map(types.map((t) => [t.name, t]));
    this.ctx.info('types.known', { types: types.map((t) => t.name) });
    this.scheduler?.changed();
  }

  private saveTypes(): void {
    if (this.scheduler === null || this.savedTypes || this.ctx.types.size === 0) return;
    this.savedTypes = true;
    this.scheduler.saveTypes([...this.ctx.types.values()]);
  }
}
