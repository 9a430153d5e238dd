/**
 * Whole services in simulated time: any number of controllers, and state service, cloud, workers and users as models,
 * joined by a network. They keep the rules as invariants: whatever breaks one is collected in `broken`.
 */
import { decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { activeJobKey } from '@shaleyoke/core/codecs/keys';
import { Core } from '@shaleyoke/core/core';
import type { ClientRequest, ClientResponse } from '@shaleyoke/core/domain/client-api';
import type { CloudReply } from '@shaleyoke/core/domain/cloud';
import type { CoreEffect, Input, LogFields } from '@shaleyoke/core/domain/effects';
import type { CommandReply, Heartbeat, HeartbeatResponse } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { MembershipSettings, Settings } from '@shaleyoke/core/domain/settings';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import type { Feature } from '@shaleyoke/core/feature-api';

import { CloudModel } from './cloud-model.js';
import { LimitedStoreAccess } from './limited-store-access.js';
import { Network } from './network.js';
import type { Random } from './random.js';
import { settingsFor, TYPE } from './site.js';
import { StateModel } from './state-model.js';
import type { StepMeter } from './step-meter.js';
import { Timeline } from './timeline.js';
import { UsersModel } from './users-model.js';
import { Work } from './work.js';
import { type Worker, WorkersModel } from './workers-model.js';

type StoreRequestEffect = CoreEffect & { readonly kind: 'storeRequest' };

interface SimNode {
  name: string;
  core: Core | null;
  life: number;
  wake: Micros | null;
  startAt: Micros;
  /** Stands still until then, while its clocks run on. */
  frozenUntil: Micros;
  /** Of its steady clock: more than 1 is too fast. */
  rate: number;
  /** Inputs that wait for the end of the step under way; used only while a meter is attached. */
  inbox: Input[];
  stepping: boolean;
  /** The process's rate limiter; null: its requests to the store are not limited. */
  storeAccess: LimitedStoreAccess | null;
}

/** Whoever calls gives the call up after that. */
const CALL_PATIENCE: Micros = 1200 * MILLI;
/** Users wait for so long for the answer to a poll, and to another request. */
const POLL_PATIENCE: Micros = 2 * SECOND;
const REQUEST_PATIENCE: Micros = 5 * SECOND;
/** Orders whose way to the worker is cut or late are waited for a little longer. */
const ORDERS_PATIENCE: Micros = 2500 * MILLI;
const LOST: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: 'lost' };
const REFUSED = { kind: 'failed', executed: false, cause: 'refused', reason: '503' } as const;

export interface CoreOptions {
  /** The operators' own settings (YAML). */
  readonly operators?: string;
  /** What bounds the time of a plan; else that of the meter, or one that stands still. */
  readonly stopwatch?: () => Micros;
  /** Told of each effect of each controller, with the present time, before it is carried out. */
  readonly onEffect?: (node: string, effect: CoreEffect, now: Micros) => void;
  /** Whether the store keeps to the announced limits, and each process to its share of them. */
  readonly limitStoreRequests?: boolean;
}

export class ClusterSimulation {
  readonly broken: string[] = [];
  readonly nodes: SimNode[];
  readonly work = new Work();
  readonly machines: WorkersModel;
  readonly cloud: CloudModel;
  readonly users: UsersModel;
  /** Chance that a call's answer is lost, and that the call is only carried out later. */
  loss = 0;
  /** Chance that what was carried out is carried out once more, up to half a minute later. */
  repeats = 0;
  /** Nodes that get to their work only so often, by name: all that came since is done then. */
  readonly stutter = new Map<string, Micros>();
  /** Chance that the state service takes up to so long for an operation; who has given it up hears nothing. */
  stateSlow: { share: number; most: Micros } | null = null;
  /** What is asked of the state service is carried out at once, and answered up to so long later. */
  answersSlow: Micros = 0;
  /** Answers to watches reach nobody until then, whatever else is answered. */
  watchesHangUntil: Micros = 0;
  /** Chance that a command to a worker is held up for up to so long: it is executed then, and nobody hears the answer. */
  ordersLate: { share: number; most: Micros } | null = null;
  /** Commands that were held up and executed, or refused, after the caller had given up. */
  lateOrders = 0;
  /** Chance that a transaction gets no answer and is carried out 2 to 12 s later, after newer ones. */
  lateWrites = 0;
  /** Chance that a transaction is carried out at once and only its answer is lost. */
  answersLost = 0;
  /** Transactions whose answers alone were lost, by the keys that they wrote. */
  readonly unanswered = new Map<string, number>();
  /** Chance that a copy of a report is kept, and reaches every controller as the next leader begins. */
  keepReports = 0;
  private kept: Heartbeat[] = [];
  /** Copies of kept reports that reached a controller. */
  keptArrived = 0;
  /** Transactions that were carried out so late, and those among them whose conditions still held. */
  readonly lateWritten = { all: 0, applied: 0 };
  /** The only node that watches hang and lists are late for; null: all. */
  lateFor: string | null = null;
  /** Nodes that the state service refuses alone, and until when. */
  private readonly refused = new Map<string, Micros>();
  /** How much later than others the answers to lists come. */
  listDelay: Micros = 0;
  readonly state = new StateModel(
    () => this.now,
    (run) => {
      this.plan(2 * MILLI, run);
    },
  );
  /** Links of nodes: by their names, `state`, `cloud`, and the names of workers. */
  readonly network = new Network(() => this.now);
  /** Told of each transaction that a node sends, with its writes. */
  onWrite: (node: string, keys: readonly string[]) => void = () => undefined;
  /** Measures the steps of nodes, whose processor time then passes on their clocks; null: steps take no time. */
  meter: StepMeter | null = null;
  /** What nodes log, for those who look at it. */
  onLog: (node: string, event: string, fields: LogFields) => void = () => undefined;
  private readonly time = new Timeline();
  private nextRequest = 1;
  private readonly asking = new Map<string, (a: ClientResponse) => void>();
  private readonly askingFeatures = new Map<string, (answer: unknown, last: boolean) => void>();
  private readonly reporting = new Map<string, (a: HeartbeatResponse) => void>();

  constructor(
    readonly random: Random,
    count = 3,
    public teams = '[[cluster.teams]]\nname = "t"\ncpus_max = 10.0\n',
    readonly limitCores = 10,
    /** Machines that the cloud has in each zone. */
    readonly perZone = 4,
    /** Limits that the settings announce. */
    readonly next = '',
    /** What is switched on in each process; made anew for each. */
    readonly features: () => readonly Feature[] = () => [],
    /** Time of day at the world's beginning; may be set back between starts of processes. */
    public wallStart: Micros = 0,
    /** Whether controllers send beats; read at each start of a process. */
    public membership: MembershipSettings | null = null,
    /** How the controllers' core is set up; read at each start of a process. */
    readonly coreOptions: CoreOptions = {},
  ) {
    const { time } = this;
    const broke = (what: string): void => {
      this.broken.push(what);
    };
    this.machines = new WorkersModel(
      {
        get now(): Micros {
          return time.now;
        },
        nodes: count,
        describe: (id) => this.describe(id),
        cancelledAt: (id) => this.users.cancelledAt.get(id),
        broke,
        report: (w) => {
          this.report(w);
        },
        ended: (name) => {
          this.cloud.ended(name);
        },
      },
      this.work,
      random,
      limitCores,
    );
    this.cloud = new CloudModel(() => this.now, this.machines, perZone);
    this.users = new UsersModel(
      {
        get now(): Micros {
          return time.now;
        },
        nodes: count,
        ask: (node, body, then) => {
          this.ask(node, body, then);
        },
        later: (delay, run) => {
          this.plan(delay, run);
        },
        broke,
      },
      this.work,
      random,
    );
    const names = Array.from({ length: count }, (_, i) => `n${i}`);
    this.nodes = names.map((name) => ({
      name,
      core: null,
      life: 0,
      wake: null,
      startAt: 0,
      frozenUntil: 0,
      rate: 1,
      inbox: [],
      stepping: false,
      storeAccess: null,
    }));
    for (const n of this.nodes) this.boot(n);
  }

  get now(): Micros {
    return this.time.now;
  }

  get wall(): Micros {
    return this.wallStart + this.now;
  }

  private plan(delay: Micros, run: () => void): void {
    this.time.plan(delay, run);
  }

  /** A late copy, now and then: at once, or when much else has happened. */
  private again(run: () => void): void {
    if (this.repeats > 0 && this.random.chance(this.repeats))
      this.plan(this.random.below(this.random.chance(0.5) ? 500 : 30_000) * MILLI, run);
  }

  // ---- nodes -------------------------------------------------------------------------------------

  private boot(n: SimNode): void {
    n.life++;
    n.inbox = [];
    n.stepping = false;
    n.startAt = this.now;
    const settings = settingsFor(
      n.name,
      this.nodes.map((x) => x.name),
      this.teams,
      this.next,
      this.membership,
      this.coreOptions.operators ?? null,
    );
    n.storeAccess = this.coreOptions.limitStoreRequests === true ? this.limitedAccess(settings) : null;
    n.core = new Core(
      settings,
      this.coreOptions.stopwatch ?? (() => this.meter?.stopwatch() ?? 0),
      true,
      this.features(),
    );
    this.feed(n, { kind: 'start', wallUs: this.wall });
  }

  /** The store and the process keep to the limits that the settings announce. */
  private limitedAccess(settings: Settings): LimitedStoreAccess {
    this.state.requestsPerSecond = settings.storeRequestsPerS;
    this.state.writesPerSecond = settings.storeWritesPerS;
    return new LimitedStoreAccess(
      settings,
      () => this.now,
      (delay, run) => {
        this.plan(delay, run);
      },
    );
  }

  crash(i: number, downFor: Micros): void {
    const n = this.nodes[i]!;
    if (n.core === null) return;
    n.core = null;
    n.life++;
    n.wake = null;
    this.plan(downFor, () => {
      this.boot(n);
    });
  }

  /** How long a node that stutters still rests. */
  private restOf(n: SimNode): Micros {
    if (n.frozenUntil > this.now) return n.frozenUntil - this.now;
    const every = this.stutter.get(n.name);
    return every === undefined ? 0 : (every - (this.now % every)) % every;
  }

  /** The node stands still for so long, while its clock runs on. */
  freeze(i: number, length: Micros): void {
    this.nodes[i]!.frozenUntil = this.now + length;
  }

  /** The state service answers this node with 503 for so long, and others as ever; its open watches wait. */
  refuse(name: string, length: Micros): void {
    this.refused.set(name, this.now + length);
  }

  private isLate(name: string): boolean {
    return this.lateFor === null || this.lateFor === name;
  }

  private refusedFor(name: string): Micros {
    return Math.max(0, (this.refused.get(name) ?? 0) - this.now);
  }

  private feed(n: SimNode, input: Input): void {
    if (n.core === null) return;
    const { life } = n;
    const rest = this.restOf(n);
    if (rest > 0) {
      this.plan(rest, () => {
        if (n.life === life) this.feed(n, input);
      });
      return;
    }
    if (this.meter === null) for (const e of n.core.step(this.localTime(n), input)) this.perform(n, life, e);
    else {
      n.inbox.push(input);
      this.stepMetered(n, this.meter);
    }
  }

  private localTime(n: SimNode): Micros {
    return Math.floor((this.now - n.startAt) * n.rate) + 1;
  }

  /** Takes the node's next input. Its effects leave, and the input after it is taken, once the step's time has passed. */
  private stepMetered(n: SimNode, meter: StepMeter): void {
    if (n.stepping || n.core === null) return;
    const input = n.inbox.shift();
    if (input === undefined) return;
    const { life } = n;
    n.stepping = true;
    const began = meter.stopwatch();
    const effects = n.core.step(this.localTime(n), input);
    const elapsedUs = meter.stopwatch() - began;
    meter.stepped(n.name, input, elapsedUs, effects);
    this.plan(elapsedUs, () => {
      if (n.life !== life) return;
      for (const effect of effects) this.perform(n, life, effect);
      n.stepping = false;
      this.stepMetered(n, meter);
    });
  }

  private perform(n: SimNode, life: number, e: CoreEffect): void {
    this.coreOptions.onEffect?.(n.name, e, this.now);
    const back = (input: Input): void => {
      if (n.life === life) this.feed(n, input);
    };
    switch (e.kind) {
      case 'storeRequest':
        this.requestStore(n, e, (reply) => {
          back({ kind: 'storeReply', call: e.call, reply });
        });
        return;
      case 'cloudRequest':
        this.carry<CloudReply>(
          () => this.cloud.apply(e.op),
          (r) => {
            back({ kind: 'cloudReply', call: e.call, reply: r });
          },
          { kind: 'failed', reason: 'lost' },
          null,
          n.name,
          'cloud',
        );
        return;
      case 'workerCommands':
        this.carryOrders(n, e, (r) => {
          back({ kind: 'commandReply', call: e.call, reply: r });
        });
        return;
      case 'clientResponse':
        this.asking.get(`${n.name}/${life}/${e.request}`)?.(e.answer);
        return;
      case 'heartbeatResponse': {
        const reply = this.reporting.get(`${n.name}/${life}/${e.request}`);
        reply?.(e.answer);
        return;
      }
      case 'featureResponse':
        this.askingFeatures.get(`${n.name}/${life}/${e.request}`)?.(e.answer, e.last);
        return;
      case 'wake':
        n.wake = Math.ceil((e.at - 1) / n.rate) + n.startAt;
        return;
      case 'log':
        if (e.event === 'leader.elected') this.deliverKept();
        this.onLog(n.name, e.event, e.fields);
        if (e.level === 'error') this.broken.push(`error logged: ${e.event} ${JSON.stringify(e.fields)}`);
        return;
      case 'peerMessage': {
        const to = this.nodes.find((x) => x.name === e.member)!;
        if (this.random.chance(this.loss / 2)) return;
        const deliver = (): void => {
          this.feed(to, { kind: 'peerMessage', message: e.message });
        };
        this.plan(this.network.delay(n.name, to.name) + 2 * MILLI, deliver);
        this.again(deliver);
        return;
      }
      case 'role':
        n.storeAccess?.setRole(e.leader);
        return;
    }
  }

  /** Every controller gets them, some at once, some while the new leader reads, some when it has acted. */
  private deliverKept(): void {
    const kept = this.kept;
    this.kept = [];
    for (const report of kept)
      for (const n of this.nodes)
        this.plan(this.random.below(this.random.chance(0.6) ? 60 : 8_000) * MILLI, () => {
          this.keptArrived++;
          this.feed(n, { kind: 'heartbeat', request: this.nextRequest++, heartbeat: report });
        });
  }

  private requestStore(
    n: SimNode,
    { op, urgency }: StoreRequestEffect,
    onReply: (reply: StoreReply) => void,
  ): void {
    if (n.storeAccess === null) {
      this.sendToStore(n, op, onReply);
      return;
    }
    const { life } = n;
    const send = (onSent: (reply: StoreReply) => void): void => {
      // What waited for its turn in a process that has ended is never sent.
      if (n.life === life) this.sendToStore(n, op, onSent);
    };
    n.storeAccess.request(op, urgency, send, onReply);
  }

  private sendToStore(n: SimNode, op: StoreOperation, onReply: (reply: StoreReply) => void): void {
    if (op.kind === 'txn' && op.writes.length > 0)
      this.onWrite(
        n.name,
        op.writes.map((x) => x.key),
      );
    if (this.lateWrites > 0 && this.writesLate(n, op, onReply)) return;
    if (this.answersLost > 0 && this.losesAnswer(n, op, onReply)) return;
    this.carry(
      () => this.state.apply(op),
      (reply) => {
        this.plan(op.kind === 'list' && this.isLate(n.name) ? this.listDelay : 0, () => {
          onReply(reply);
        });
      },
      LOST,
      op.kind === 'watch' ? op : null,
      n.name,
      'state',
    );
  }

  private neverAnswered(onReply: (reply: StoreReply) => void): void {
    this.plan(CALL_PATIENCE, () => {
      onReply(LOST);
    });
  }

  private losesAnswer(n: SimNode, op: StoreOperation, onReply: (reply: StoreReply) => void): boolean {
    if (op.kind !== 'txn' || op.writes.length === 0 || this.refusedFor(n.name) > 0) return false;
    if (this.network.delay(n.name, 'state') > 0 || !this.random.chance(this.answersLost)) return false;
    this.plan(3 * MILLI, () => {
      if (this.state.apply(op).kind !== 'ok') return;
      for (const w of op.writes) {
        const kind = w.kind === 'delete' ? 'delete' : w.key.replace(/\/.*$/, '/');
        this.unanswered.set(kind, (this.unanswered.get(kind) ?? 0) + 1);
      }
    });
    this.neverAnswered(onReply);
    return true;
  }

  private writesLate(n: SimNode, op: StoreOperation, onReply: (reply: StoreReply) => void): boolean {
    if (op.kind !== 'txn' || op.writes.length === 0 || this.refusedFor(n.name) > 0) return false;
    if (!this.random.chance(this.lateWrites)) return false;
    this.plan((2_000 + this.random.below(10_000)) * MILLI, () => {
      this.lateWritten.all++;
      if (this.state.apply(op).kind === 'ok') this.lateWritten.applied++;
    });
    this.neverAnswered(onReply);
    return true;
  }

  /** A call there and back, either of which may be lost; a lost call may still be carried out much later. */
  private carry<R>(
    run: () => R,
    reply: (r: R) => void,
    lost: R,
    watch: (StoreOperation & { kind: 'watch' }) | null,
    from: string,
    to: string,
  ): void {
    const fate = this.random.next();
    const there = this.network.delay(from, to);
    if (there > 0 || this.network.delay(to, from) > 0) {
      // Held back by the cut: a request is carried out when it ends, and nobody waits for the answer that long.
      if (watch === null)
        this.plan(there + 2 * MILLI, () => {
          run();
        });
      this.plan(watch === null ? CALL_PATIENCE : watch.waitMs * MILLI + 2 * SECOND, () => {
        reply(lost);
      });
      return;
    }
    if (to === 'state' && this.refusedFor(from) > 0) {
      this.plan(3 * MILLI, () => {
        reply(REFUSED as R);
      });
      return;
    }
    if (watch !== null) {
      // A watch that was opened before a cut is answered, or given up, on the far side of it.
      let open = true;
      const answer = (r: R): void => {
        if (open) reply(r);
        open = false;
      };
      this.plan(3 * MILLI, () => {
        this.state.watch(watch, (r) => {
          const slow = this.stateSlow !== null && this.random.chance(this.stateSlow.share);
          const late = slow ? this.random.below(this.stateSlow!.most) : 0;
          const hung = this.isLate(from) ? this.watchesHangUntil - this.now : 0;
          const hangs = Math.max(late, hung);
          this.plan(Math.max(hangs, this.network.delay(to, from), this.refusedFor(from)), () => {
            answer(r as R);
          });
        });
      });
      this.plan(watch.waitMs * MILLI + 2 * SECOND, () => {
        answer(lost);
      });
      return;
    }
    const slow = to === 'state' ? this.stateSlow : null;
    if (slow !== null && this.random.chance(slow.share)) {
      const takes = this.random.below(slow.most);
      let open = true;
      this.plan(takes, () => {
        const r = run();
        if (open) reply(r);
        open = false;
      });
      this.plan(CALL_PATIENCE, () => {
        if (open) reply(lost);
        open = false;
      });
      return;
    }
    if (to === 'state' && this.answersSlow > 0) {
      const takes = this.random.below(this.answersSlow);
      this.plan(3 * MILLI, () => {
        const r = run();
        this.plan(Math.min(takes, CALL_PATIENCE), () => {
          reply(takes < CALL_PATIENCE ? r : lost);
        });
      });
      return;
    }
    if (fate < this.loss / 3) {
      this.plan(this.random.below(30) * SECOND, () => {
        run();
      });
      this.plan(CALL_PATIENCE, () => {
        reply(lost);
      });
    } else if (fate < (this.loss * 2) / 3) {
      this.plan(3 * MILLI, () => {
        run();
      });
      this.plan(CALL_PATIENCE, () => {
        reply(lost);
      });
    } else if (fate < this.loss)
      this.plan(CALL_PATIENCE, () => {
        reply(lost);
      });
    else
      this.plan((2 + this.random.below(6)) * MILLI, () => {
        const r = run();
        this.again(run);
        this.plan(2 * MILLI, () => {
          reply(r);
        });
      });
  }

  // ---- workers -----------------------------------------------------------------------------------

  private report(w: Worker): void {
    const sent = this.now;
    const n = this.nodes[w.node]!;
    if (n.core === null) {
      this.machines.nextNode(w);
      return;
    }
    if (this.now < w.muteUntil) {
      this.machines.nextNode(w);
      return;
    }
    const report = this.machines.reportOf(w);
    if (this.keepReports > 0 && this.random.chance(this.keepReports)) this.kept.push(report);
    const there = this.network.delay(w.name, n.name);
    if (there > 0 || this.network.delay(n.name, w.name) > 0) {
      this.machines.unanswered(w);
      const late = this.nextRequest++;
      this.plan(there + 2 * MILLI, () => {
        this.feed(n, { kind: 'heartbeat', request: late, heartbeat: report });
      });
      return;
    }
    const { session } = w;
    const request = this.nextRequest++;
    const life = n.life;
    const lostThere = this.random.chance(this.loss / 2);
    const lostBack = this.random.chance(this.loss / 2);
    const deliver = (): void => {
      if (n.life === life) this.feed(n, { kind: 'heartbeat', request, heartbeat: report });
    };
    this.reporting.set(`${n.name}/${life}/${request}`, (a) => {
      this.reporting.delete(`${n.name}/${life}/${request}`);
      if (lostThere || lostBack || this.now < w.cutUntil || this.now < w.deafUntil) return;
      const to = a.kind === 'redirect' ? this.nodes.findIndex((x) => x.name === a.leader) : -1;
      this.plan(2 * MILLI, () => {
        this.machines.answered(w, session, sent, a, to);
      });
    });
    // A report that is held back arrives late, as old as it is.
    this.plan(lostThere ? this.random.below(20) * SECOND : 2 * MILLI, deliver);
    this.again(() => {
      this.feed(this.nodes[this.random.below(this.nodes.length)]!, {
        kind: 'heartbeat',
        request: this.nextRequest++,
        heartbeat: report,
      });
    });
    if (lostThere || lostBack) this.machines.nextNode(w);
    else if (sent < w.deafUntil) this.machines.unanswered(w);
  }

  private carryOrders(
    n: SimNode,
    e: CoreEffect & { kind: 'workerCommands' },
    reply: (r: CommandReply) => void,
  ): void {
    const w = this.workers.get(e.address);
    const held = Math.max(w === undefined ? 0 : w.cutUntil - this.now, this.network.delay(n.name, e.address));
    if (w !== undefined && w.deafUntil > this.now) {
      this.plan(ORDERS_PATIENCE, () => {
        reply({ kind: 'lost', heartbeat: null });
      });
      return;
    }
    const run = (): CommandReply => this.machines.orders(e.address, e.fencingToken, e.agentEpoch, e.commands);
    const late = this.ordersLate !== null && this.random.chance(this.ordersLate.share);
    if (late) {
      this.plan(ORDERS_PATIENCE + this.random.below(this.ordersLate!.most), () => {
        this.lateOrders++;
        run();
      });
      this.plan(ORDERS_PATIENCE, () => {
        reply({ kind: 'lost', heartbeat: null });
      });
      return;
    }
    if (held > 0 || this.network.delay(e.address, n.name) > 0) {
      // Held back by the cut, and delivered when it ends.
      this.plan(held, () => {
        run();
      });
      this.plan(ORDERS_PATIENCE, () => {
        reply({ kind: 'lost', heartbeat: null });
      });
      return;
    }
    this.carry(run, reply, { kind: 'lost', heartbeat: null }, null, n.name, e.address);
  }

  /** A job's description as its worker fetches it, whoever submitted the job. */
  private describe(id: string): JobSpec | undefined {
    const known = this.work.specs.get(id);
    if (known !== undefined) return known;
    const spec = decodeActiveJob(this.state.value(activeJobKey(id)))?.spec;
    if (spec !== undefined) this.work.specs.set(id, spec);
    return spec;
  }

  // ---- users -------------------------------------------------------------------------------------

  private ask(i: number, body: ClientRequest, then: (a: ClientResponse | null) => void): void {
    const n = this.nodes[i]!;
    const request = this.nextRequest++;
    if (n.core === null) {
      then(null);
      return;
    }
    const key = `${n.name}/${n.life}/${request}`;
    let open = true;
    const finish = (a: ClientResponse | null): void => {
      if (!open) return;
      open = false;
      this.asking.delete(key);
      then(a);
    };
    this.asking.set(key, finish);
    this.plan(body.kind === 'poll' ? POLL_PATIENCE : REQUEST_PATIENCE, () => {
      finish(null);
    });
    this.feed(n, { kind: 'clientRequest', request, body, wallUs: this.wall });
  }

  /**
   * A feature's client asks a node; `told` is called for each answer, and with null where the connection ends before
   * the last: nobody is there, or the node goes.
   */
  askFeature(
    node: number,
    feature: string,
    body: unknown,
    told: (answer: unknown, last: boolean) => void,
  ): void {
    const n = this.nodes[node]!;
    const { life } = n;
    const request = this.nextRequest++;
    let open = true;
    const tell = (answer: unknown, last: boolean): void => {
      if (!open) return;
      open = !last;
      told(answer, last);
    };
    this.askingFeatures.set(`${n.name}/${life}/${request}`, tell);
    this.plan(2 * MILLI, () => {
      if (n.core !== null && n.life === life)
        this.feed(n, { kind: 'featureRequest', feature, request, body, wallUs: this.wall });
    });
    const look = (): void => {
      if (open && (n.core === null || n.life !== life)) tell(null, true);
      else if (open) this.plan(200 * MILLI, look);
    };
    look();
  }

  // ---- time --------------------------------------------------------------------------------------

  /** Plays on in steps of 25 ms, within which planned events keep their order. */
  runFor(length: Micros): void {
    const end = this.now + length;
    while (this.now < end) {
      this.time.playTo(Math.min(end, this.now + 25 * MILLI));
      this.state.expire();
      for (const n of this.nodes)
        if (n.wake !== null && n.wake <= this.now && this.restOf(n) === 0) {
          n.wake = null;
          this.feed(n, { kind: 'timer' });
        }
      this.checkRights();
      this.machines.run();
      this.machines.checkCancelled(this.users.cancelledAt);
    }
  }

  /** At most one may act at any moment. A node knows the time of its last input only: whoever seems to is told first. */
  private checkRights(): void {
    // Who stands still does nothing; with its next input it knows what time it is.
    const entitled = (): SimNode[] =>
      this.nodes.filter((n) => n.frozenUntil <= this.now && n.core?.leads() === true);
    if (entitled().length < 2) return;
    for (const n of entitled()) this.feed(n, { kind: 'timer' });
    if (entitled().length > 1)
      this.broken.push(
        `two rights: ${entitled()
          .map((n) => n.name)
          .join()}`,
      );
  }

  // ---- shorthand for those who play ----------------------------------------------------------------

  get workers(): ReadonlyMap<string, Worker> {
    return this.machines.all;
  }

  get starts(): number {
    return this.machines.starts;
  }

  /** Machines that are up before any controller, as nobody rented them. */
  stand(count: number): void {
    for (let i = 0; i < count; i++) this.machines.boot(TYPE.zones[i % TYPE.zones.length]!, false, 0);
  }

  killWorker(w: Worker): void {
    this.machines.kill(w);
  }

  /** The node that is entitled to act now; -1: none. */
  leader(): number {
    return this.nodes.findIndex((n) => n.core?.leads() === true);
  }

  anyWorker(): Worker | undefined {
    const up = [...this.workers.values()].filter((w) => w.alive && this.now >= w.upAt);
    return up[this.random.below(Math.max(1, up.length))];
  }

  /** Does something so much later, in the middle of what is played then. */
  later(delay: Micros, run: () => void): void {
    this.plan(delay, run);
  }

  stateOutage(length: Micros): void {
    this.state.outage(length);
  }

  submit(spec: JobSpec): void {
    this.users.submit(spec);
  }

  poll(id: string): void {
    this.users.poll(id);
  }

  cancel(id: string): void {
    this.users.cancel(id);
  }

  stageOf(id: string): string | undefined {
    return this.users.told.get(id)?.stage;
  }

  /** The value of a key as it is now. */
  value(key: string): unknown {
    return this.state.value(key);
  }

  /** Writes a value as an operator's tool would. */
  put(key: string, value: unknown): void {
    this.state.put(key, value);
  }

  /** Removes a key as an operator's tool would. */
  remove(key: string): void {
    this.state.apply({ kind: 'txn', conditions: [], writes: [{ kind: 'delete', key }] });
  }

  /** Keys under a prefix. */
  keys(prefix: string): string[] {
    return this.state.keys(prefix);
  }

  get refusals(): number {
    return this.state.refusals;
  }

  /** What the state service takes. */
  set limits(l: { valueBytes: number; ops: number }) {
    this.state.limits = l;
  }
}
