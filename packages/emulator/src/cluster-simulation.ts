/**
 * Simulation of a whole deployment in virtual time: real controller cores, connected by a simulated network to models of the
 * state service, the cloud, the workers and the users. The models check the protocol's invariants and collect each
 * violation in `broken`.
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
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import type { Feature } from '@shaleyoke/core/feature-api';

import { CloudModel } from './cloud-model.js';
import { LimitedStoreAccess } from './limited-store-access.js';
import { Network } from './network.js';
import type { Random } from './random.js';
import { MACHINE_TYPE, settingsFor } from './site.js';
import { StateModel } from './state-model.js';
import type { StepMeter } from './step-meter.js';
import { Timeline } from './timeline.js';
import { UsersModel } from './users-model.js';
import { type Worker, WorkersModel } from './workers-model.js';
import { Workload } from './workload.js';

type StoreRequestEffect = CoreEffect & { readonly kind: 'storeRequest' };

/** A controller process. */
interface SimulatedNode {
  name: string;
  /** Null while the process is down. */
  core: Core | null;
  /** Increases at each start and crash, so that callbacks of an earlier process are discarded. */
  incarnation: number;
  /** When the core asked for its next timer, in simulation time; null: no timer is set. */
  wakeAt: Micros | null;
  startedAt: Micros;
  /** The process is paused until then, while its clock keeps running. */
  frozenUntil: Micros;
  /** Rate of its monotonic clock relative to simulation time: above 1 it runs fast. */
  clockRate: number;
  /** Inputs queued while a step is in progress; used only with a meter. */
  inbox: Input[];
  stepping: boolean;
  /** The process's client-side rate limiter; null: its requests to the store are not limited. */
  storeAccess: LimitedStoreAccess | null;
}

/** Timeout of a controller's call to the state service or the cloud. */
const CALL_TIMEOUT: Micros = 1200 * MILLISECOND;
/** Timeouts of users: for a poll, and for any other request. */
const POLL_TIMEOUT: Micros = 2 * SECOND;
const REQUEST_TIMEOUT: Micros = 5 * SECOND;
/** Timeout of commands to a worker that is unreachable or slow to receive them, longer than that of other calls. */
const COMMAND_TIMEOUT: Micros = 2500 * MILLISECOND;
const REPLY_LOST: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: 'lost' };
const REPLY_REFUSED = { kind: 'failed', executed: false, cause: 'refused', reason: '503' } as const;

/** How the simulation sets up and observes the controllers' cores. */
export interface CoreOptions {
  /** The operators' settings file (YAML). */
  readonly operators?: string;
  /** Measures the time that a planning run may take. Default: the meter's stopwatch, or one that always reads 0. */
  readonly stopwatch?: () => Micros;
  /** Called with each effect of each controller, and the current time, before it is executed. */
  readonly onEffect?: (node: string, effect: CoreEffect, now: Micros) => void;
  /** Whether the store enforces the limits in the settings, and each process limits itself to its share of them. */
  readonly limitStoreRequests?: boolean;
}

/** A simulated deployment with fault injection. Unless a real stopwatch is used, equal seeds and calls give equal runs. */
export class ClusterSimulation {
  /** Violations of invariants, and errors that controllers logged. */
  readonly violations: string[] = [];
  /** Controller processes; methods refer to them by index. */
  readonly nodes: SimulatedNode[];
  /** Submitted jobs, and the tasks that workers have completed. */
  readonly work = new Workload();
  /** The machines and the workers on them. */
  readonly machines: WorkersModel;
  /** Rents the machines, and can run out of them or be down. */
  readonly cloud: CloudModel;
  /** Submit, poll and cancel jobs, and check what they are told. */
  readonly users: UsersModel;
  /**
   * Probability that a call's request or reply is lost; a lost request may still be executed up to 30 s later. One-way
   * messages are lost half as often.
   */
  messageLoss = 0;
  /** Probability that a delivered message or an executed call is repeated, up to 30 s later. */
  duplication = 0;
  /** Nodes that process input only at this interval, by name: inputs that arrive in between are processed together. */
  readonly processingIntervals = new Map<string, Micros>();
  /** Share of the state service's operations that are delayed by up to `most`; replies after the caller's timeout are dropped. */
  storeDelay: { share: number; most: Micros } | null = null;
  /** The state service executes requests at once and delays its replies by up to this. */
  storeReplyDelay: Micros = 0;
  /** Replies to watches are held back until then; other replies aren't affected. */
  watchRepliesHeldUntil: Micros = 0;
  /** Share of commands to workers that are executed after the caller's timeout, by up to `most`; their replies are lost. */
  commandDelay: { share: number; most: Micros } | null = null;
  /** Commands that reached their worker after the caller's timeout. */
  lateCommands = 0;
  /** Probability that a transaction gets no reply and is applied 2 to 12 s later, possibly after newer ones. */
  lateTransactionChance = 0;
  /** Probability that a transaction is applied at once and only its reply is lost. */
  lostReplyChance = 0;
  /** Number of writes in transactions of which only the reply was lost, by key prefix, or `delete`. */
  readonly writesWithoutReply = new Map<string, number>();
  /** Probability that a heartbeat is copied, and the copy delivered to every controller after the next leader election. */
  delayedHeartbeatChance = 0;
  private heartbeatCopies: Heartbeat[] = [];
  /** Copies of heartbeats that were delivered. */
  delayedHeartbeatsDelivered = 0;
  /** Transactions that `lateTransactionChance` delayed, and those of them whose conditions still held. */
  readonly lateTransactions = { all: 0, applied: 0 };
  /** The only node whose watches hang and whose lists are delayed; null: all nodes. */
  delayedNode: string | null = null;
  /** Nodes that the state service answers with 503, and until when. */
  private readonly refusedUntil = new Map<string, Micros>();
  /** Additional delay of the replies to lists. */
  listReplyDelay: Micros = 0;
  /** The store that the controllers share. */
  readonly state = new StateModel(
    () => this.now,
    (run) => {
      this.schedule(2 * MILLISECOND, run);
    },
  );
  /** Network links; the endpoints are the names of nodes and workers, `state` and `cloud`. */
  readonly network = new Network(() => this.now);
  /** Called with the written keys of each transaction that a node sends. */
  onWrite: (node: string, keys: readonly string[]) => void = () => undefined;
  /** Measures the processor time of steps, which then delays their effects; null: steps take no simulated time. */
  meter: StepMeter | null = null;
  /** Called with each log event of a node. */
  onLog: (node: string, event: string, fields: LogFields) => void = () => undefined;
  private readonly timeline = new Timeline();
  private nextRequest = 1;
  private readonly pendingClientRequests = new Map<string, (answer: ClientResponse) => void>();
  private readonly pendingFeatureRequests = new Map<string, (answer: unknown, last: boolean) => void>();
  private readonly pendingHeartbeats = new Map<string, (answer: HeartbeatResponse) => void>();

  constructor(
    /** Decides all that is random in the simulation. */
    readonly random: Random,
    nodeCount = 3,
    /** The teams in the settings, as TOML. */
    public teams = '[[cluster.teams]]\nname = "t"\ncpus_max = 10.0\n',
    /** Cores that a team may use at a time; more is a violation. */
    readonly teamCores = 10,
    /** Machines that the cloud can provide in each zone. */
    readonly machinesPerZone = 4,
    /** Future limits of the state service that the settings announce, as TOML. */
    readonly announcedLimits = '',
    /** Creates the optional features of a process; called at each start. */
    readonly features: () => readonly Feature[] = () => [],
    /** Wall-clock time at the start of the simulation; may be set back between starts of processes. */
    public wallStart: Micros = 0,
    /** Settings of heartbeats between controllers, null: none are sent. Read at each start of a process. */
    public membership: MembershipSettings | null = null,
    /** How cores are set up; read at each start of a process. */
    readonly coreOptions: CoreOptions = {},
  ) {
    const { timeline } = this;
    const reportViolation = (violation: string): void => {
      this.violations.push(violation);
    };
    this.machines = new WorkersModel(
      {
        get now(): Micros {
          return timeline.now;
        },
        nodes: nodeCount,
        findSpec: (id) => this.findSpec(id),
        cancelledAt: (id) => this.users.cancelledAt.get(id),
        reportViolation,
        sendHeartbeat: (worker) => {
          this.sendHeartbeat(worker);
        },
        machineTerminated: (name) => {
          this.cloud.closeBill(name);
        },
      },
      this.work,
      random,
      teamCores,
    );
    this.cloud = new CloudModel(() => this.now, this.machines, machinesPerZone);
    this.users = new UsersModel(
      {
        get now(): Micros {
          return timeline.now;
        },
        nodes: nodeCount,
        sendRequest: (nodeIndex, body, onResponse) => {
          this.sendClientRequest(nodeIndex, body, onResponse);
        },
        schedule: (delay, run) => {
          this.schedule(delay, run);
        },
        reportViolation,
      },
      this.work,
      random,
    );
    const names = Array.from({ length: nodeCount }, (_, i) => `n${i}`);
    this.nodes = names.map((name) => ({
      name,
      core: null,
      incarnation: 0,
      wakeAt: null,
      startedAt: 0,
      frozenUntil: 0,
      clockRate: 1,
      inbox: [],
      stepping: false,
      storeAccess: null,
    }));
    for (const node of this.nodes) this.boot(node);
  }

  /** Simulation time. */
  get now(): Micros {
    return this.timeline.now;
  }

  /** The wall-clock time of all nodes. */
  get wallClock(): Micros {
    return this.wallStart + this.now;
  }

  private schedule(delay: Micros, run: () => void): void {
    this.timeline.schedule(delay, run);
  }

  /** With the probability `duplication`, runs the delivery again: within half a second, or within 30 s. */
  private maybeRepeat(run: () => void): void {
    if (this.duplication > 0 && this.random.chance(this.duplication))
      this.schedule(this.random.below(this.random.chance(0.5) ? 500 : 30_000) * MILLISECOND, run);
  }

  private boot(node: SimulatedNode): void {
    node.incarnation++;
    node.inbox = [];
    node.stepping = false;
    node.startedAt = this.now;
    const settings = settingsFor(
      node.name,
      this.nodes.map((x) => x.name),
      this.teams,
      this.announcedLimits,
      this.membership,
      this.coreOptions.operators ?? null,
    );
    node.storeAccess = this.coreOptions.limitStoreRequests === true ? this.limitedAccess(settings) : null;
    node.core = new Core(
      settings,
      this.coreOptions.stopwatch ?? (() => this.meter?.stopwatch() ?? 0),
      true,
      this.features(),
    );
    this.step(node, { kind: 'start', wallUs: this.wallClock });
  }

  /** Makes the store enforce the limits in the settings, and limits the process to its share of them. */
  private limitedAccess(settings: Settings): LimitedStoreAccess {
    this.state.requestsPerSecond = settings.storeRequestsPerS;
    this.state.writesPerSecond = settings.storeWritesPerS;
    return new LimitedStoreAccess(
      settings,
      () => this.now,
      (delay, run) => {
        this.schedule(delay, run);
      },
    );
  }

  /** Ends the process without notice, and starts it again after `downFor`. */
  crash(nodeIndex: number, downFor: Micros): void {
    const node = this.nodes[nodeIndex]!;
    if (node.core === null) return;
    node.core = null;
    node.incarnation++;
    node.wakeAt = null;
    this.schedule(downFor, () => {
      this.boot(node);
    });
  }

  /** For how long the node still processes no input, because it is frozen or stutters. */
  private remainingPause(node: SimulatedNode): Micros {
    if (node.frozenUntil > this.now) return node.frozenUntil - this.now;
    const interval = this.processingIntervals.get(node.name);
    return interval === undefined ? 0 : (interval - (this.now % interval)) % interval;
  }

  /** Pauses the process, as a garbage collection or a suspended machine would; its clock keeps running. */
  freeze(nodeIndex: number, length: Micros): void {
    this.nodes[nodeIndex]!.frozenUntil = this.now + length;
  }

  /** Makes the state service answer 503 to this node alone; its open watches are answered afterwards. */
  refuseRequestsOf(name: string, length: Micros): void {
    this.refusedUntil.set(name, this.now + length);
  }

  private isDelayed(name: string): boolean {
    return this.delayedNode === null || this.delayedNode === name;
  }

  private remainingRefusal(name: string): Micros {
    return Math.max(0, (this.refusedUntil.get(name) ?? 0) - this.now);
  }

  /** Passes an input to the node's core and executes the effects, after the node's pause if it has one. */
  private step(node: SimulatedNode, input: Input): void {
    if (node.core === null) return;
    const { incarnation } = node;
    const pause = this.remainingPause(node);
    if (pause > 0) {
      this.schedule(pause, () => {
        if (node.incarnation === incarnation) this.step(node, input);
      });
      return;
    }
    if (this.meter === null)
      for (const effect of node.core.step(this.localTime(node), input))
        this.performEffect(node, incarnation, effect);
    else {
      node.inbox.push(input);
      this.stepMetered(node, this.meter);
    }
  }

  private localTime(node: SimulatedNode): Micros {
    return Math.floor((this.now - node.startedAt) * node.clockRate) + 1;
  }

  /** Processes the node's next input. Its effects and the next input follow once the measured time has passed. */
  private stepMetered(node: SimulatedNode, meter: StepMeter): void {
    if (node.stepping || node.core === null) return;
    const input = node.inbox.shift();
    if (input === undefined) return;
    const { incarnation } = node;
    node.stepping = true;
    const startedAt = meter.stopwatch();
    const effects = node.core.step(this.localTime(node), input);
    const elapsedUs = meter.stopwatch() - startedAt;
    meter.recordStep(node.name, input, elapsedUs, effects);
    this.schedule(elapsedUs, () => {
      if (node.incarnation !== incarnation) return;
      for (const effect of effects) this.performEffect(node, incarnation, effect);
      node.stepping = false;
      this.stepMetered(node, meter);
    });
  }

  private performEffect(node: SimulatedNode, incarnation: number, effect: CoreEffect): void {
    this.coreOptions.onEffect?.(node.name, effect, this.now);
    const deliverInput = (input: Input): void => {
      if (node.incarnation === incarnation) this.step(node, input);
    };
    switch (effect.kind) {
      case 'storeRequest':
        this.requestStore(node, effect, (reply) => {
          deliverInput({ kind: 'storeReply', call: effect.call, reply });
        });
        return;
      case 'cloudRequest':
        this.call<CloudReply>(
          () => this.cloud.apply(effect.op),
          (reply) => {
            deliverInput({ kind: 'cloudReply', call: effect.call, reply });
          },
          { kind: 'failed', reason: 'lost' },
          null,
          node.name,
          'cloud',
        );
        return;
      case 'workerCommands':
        this.sendCommands(node, effect, (reply) => {
          deliverInput({ kind: 'commandReply', call: effect.call, reply });
        });
        return;
      case 'clientResponse':
        this.pendingClientRequests.get(`${node.name}/${incarnation}/${effect.request}`)?.(effect.answer);
        return;
      case 'heartbeatResponse': {
        const respond = this.pendingHeartbeats.get(`${node.name}/${incarnation}/${effect.request}`);
        respond?.(effect.answer);
        return;
      }
      case 'featureResponse':
        this.pendingFeatureRequests.get(`${node.name}/${incarnation}/${effect.request}`)?.(
          effect.answer,
          effect.last,
        );
        return;
      case 'wake':
        node.wakeAt = Math.ceil((effect.at - 1) / node.clockRate) + node.startedAt;
        return;
      case 'log':
        if (effect.event === 'leader.elected') this.deliverHeartbeatCopies();
        this.onLog(node.name, effect.event, effect.fields);
        if (effect.level === 'error')
          this.violations.push(`error logged: ${effect.event} ${JSON.stringify(effect.fields)}`);
        return;
      case 'peerMessage': {
        const receiver = this.nodes.find((x) => x.name === effect.member)!;
        if (this.random.chance(this.messageLoss / 2)) return;
        const deliver = (): void => {
          this.step(receiver, { kind: 'peerMessage', message: effect.message });
        };
        this.schedule(this.network.delay(node.name, receiver.name) + 2 * MILLISECOND, deliver);
        this.maybeRepeat(deliver);
        return;
      }
      case 'role':
        node.storeAccess?.setRole(effect.leader);
        return;
    }
  }

  /** Delivers the copies of heartbeats to every controller: at once, while the new leader loads, or after it has acted. */
  private deliverHeartbeatCopies(): void {
    const copies = this.heartbeatCopies;
    this.heartbeatCopies = [];
    for (const heartbeat of copies)
      for (const node of this.nodes)
        this.schedule(this.random.below(this.random.chance(0.6) ? 60 : 8_000) * MILLISECOND, () => {
          this.delayedHeartbeatsDelivered++;
          this.step(node, { kind: 'heartbeat', request: this.nextRequest++, heartbeat });
        });
  }

  private requestStore(
    node: SimulatedNode,
    { op, urgency }: StoreRequestEffect,
    onReply: (reply: StoreReply) => void,
  ): void {
    if (node.storeAccess === null) {
      this.sendToStore(node, op, onReply);
      return;
    }
    const { incarnation } = node;
    const send = (onAttempt: (reply: StoreReply) => void): void => {
      // A request that was still queued when its process ended is never sent.
      if (node.incarnation === incarnation) this.sendToStore(node, op, onAttempt);
    };
    node.storeAccess.request(op, urgency, send, onReply);
  }

  private sendToStore(node: SimulatedNode, op: StoreOperation, onReply: (reply: StoreReply) => void): void {
    if (op.kind === 'txn' && op.writes.length > 0)
      this.onWrite(
        node.name,
        op.writes.map((x) => x.key),
      );
    if (this.lateTransactionChance > 0 && this.maybeApplyLate(node, op, onReply)) return;
    if (this.lostReplyChance > 0 && this.maybeLoseReply(node, op, onReply)) return;
    this.call(
      () => this.state.apply(op),
      (reply) => {
        this.schedule(op.kind === 'list' && this.isDelayed(node.name) ? this.listReplyDelay : 0, () => {
          onReply(reply);
        });
      },
      REPLY_LOST,
      op.kind === 'watch' ? op : null,
      node.name,
      'state',
    );
  }

  private replyAfterTimeout(onReply: (reply: StoreReply) => void): void {
    this.schedule(CALL_TIMEOUT, () => {
      onReply(REPLY_LOST);
    });
  }

  private maybeLoseReply(
    node: SimulatedNode,
    op: StoreOperation,
    onReply: (reply: StoreReply) => void,
  ): boolean {
    if (op.kind !== 'txn' || op.writes.length === 0 || this.remainingRefusal(node.name) > 0) return false;
    if (this.network.delay(node.name, 'state') > 0 || !this.random.chance(this.lostReplyChance)) return false;
    this.schedule(3 * MILLISECOND, () => {
      if (this.state.apply(op).kind !== 'ok') return;
      for (const write of op.writes) {
        const kind = write.kind === 'delete' ? 'delete' : write.key.replace(/\/.*$/, '/');
        this.writesWithoutReply.set(kind, (this.writesWithoutReply.get(kind) ?? 0) + 1);
      }
    });
    this.replyAfterTimeout(onReply);
    return true;
  }

  private maybeApplyLate(
    node: SimulatedNode,
    op: StoreOperation,
    onReply: (reply: StoreReply) => void,
  ): boolean {
    if (op.kind !== 'txn' || op.writes.length === 0 || this.remainingRefusal(node.name) > 0) return false;
    if (!this.random.chance(this.lateTransactionChance)) return false;
    this.schedule((2_000 + this.random.below(10_000)) * MILLISECOND, () => {
      this.lateTransactions.all++;
      if (this.state.apply(op).kind === 'ok') this.lateTransactions.applied++;
    });
    this.replyAfterTimeout(onReply);
    return true;
  }

  /** Simulates a remote call: its request or its reply may be lost, and a lost request may still be executed much later. */
  private call<R>(
    run: () => R,
    onReply: (result: R) => void,
    lost: R,
    watch: (StoreOperation & { kind: 'watch' }) | null,
    from: string,
    to: string,
  ): void {
    const outcome = this.random.next();
    const requestDelay = this.network.delay(from, to);
    if (requestDelay > 0 || this.network.delay(to, from) > 0) {
      // The request is executed when the partition ends; the caller has timed out by then.
      if (watch === null)
        this.schedule(requestDelay + 2 * MILLISECOND, () => {
          run();
        });
      this.schedule(watch === null ? CALL_TIMEOUT : watch.waitMs * MILLISECOND + 2 * SECOND, () => {
        onReply(lost);
      });
      return;
    }
    if (to === 'state' && this.remainingRefusal(from) > 0) {
      this.schedule(3 * MILLISECOND, () => {
        onReply(REPLY_REFUSED as R);
      });
      return;
    }
    if (watch !== null) {
      // A watch that was opened before a partition is answered after it, unless it has timed out.
      let isPending = true;
      const answerOnce = (result: R): void => {
        if (isPending) onReply(result);
        isPending = false;
      };
      this.schedule(3 * MILLISECOND, () => {
        this.state.watch(watch, (reply) => {
          const isSlow = this.storeDelay !== null && this.random.chance(this.storeDelay.share);
          const delay = isSlow ? this.random.below(this.storeDelay!.most) : 0;
          const watchDelay = this.isDelayed(from) ? this.watchRepliesHeldUntil - this.now : 0;
          const longestDelay = Math.max(delay, watchDelay);
          this.schedule(
            Math.max(longestDelay, this.network.delay(to, from), this.remainingRefusal(from)),
            () => {
              answerOnce(reply as R);
            },
          );
        });
      });
      this.schedule(watch.waitMs * MILLISECOND + 2 * SECOND, () => {
        answerOnce(lost);
      });
      return;
    }
    const slow = to === 'state' ? this.storeDelay : null;
    if (slow !== null && this.random.chance(slow.share)) {
      const duration = this.random.below(slow.most);
      let isPending = true;
      this.schedule(duration, () => {
        const result = run();
        if (isPending) onReply(result);
        isPending = false;
      });
      this.schedule(CALL_TIMEOUT, () => {
        if (isPending) onReply(lost);
        isPending = false;
      });
      return;
    }
    if (to === 'state' && this.storeReplyDelay > 0) {
      const duration = this.random.below(this.storeReplyDelay);
      this.schedule(3 * MILLISECOND, () => {
        const result = run();
        this.schedule(Math.min(duration, CALL_TIMEOUT), () => {
          onReply(duration < CALL_TIMEOUT ? result : lost);
        });
      });
      return;
    }
    if (outcome < this.messageLoss / 3) {
      this.schedule(this.random.below(30) * SECOND, () => {
        run();
      });
      this.schedule(CALL_TIMEOUT, () => {
        onReply(lost);
      });
    } else if (outcome < (this.messageLoss * 2) / 3) {
      this.schedule(3 * MILLISECOND, () => {
        run();
      });
      this.schedule(CALL_TIMEOUT, () => {
        onReply(lost);
      });
    } else if (outcome < this.messageLoss)
      this.schedule(CALL_TIMEOUT, () => {
        onReply(lost);
      });
    else
      this.schedule((2 + this.random.below(6)) * MILLISECOND, () => {
        const result = run();
        this.maybeRepeat(run);
        this.schedule(2 * MILLISECOND, () => {
          onReply(result);
        });
      });
  }

  private sendHeartbeat(worker: Worker): void {
    const sentAt = this.now;
    const node = this.nodes[worker.node]!;
    if (node.core === null) {
      this.machines.switchNode(worker);
      return;
    }
    if (this.now < worker.sendsNothingUntil) {
      this.machines.switchNode(worker);
      return;
    }
    const heartbeat = this.machines.heartbeatOf(worker);
    if (this.delayedHeartbeatChance > 0 && this.random.chance(this.delayedHeartbeatChance))
      this.heartbeatCopies.push(heartbeat);
    const requestDelay = this.network.delay(worker.name, node.name);
    if (requestDelay > 0 || this.network.delay(node.name, worker.name) > 0) {
      this.machines.recordTimeout(worker);
      const lateRequest = this.nextRequest++;
      this.schedule(requestDelay + 2 * MILLISECOND, () => {
        this.step(node, { kind: 'heartbeat', request: lateRequest, heartbeat });
      });
      return;
    }
    const { agentEpoch } = worker;
    const request = this.nextRequest++;
    const incarnation = node.incarnation;
    const isRequestLost = this.random.chance(this.messageLoss / 2);
    const isResponseLost = this.random.chance(this.messageLoss / 2);
    const deliver = (): void => {
      if (node.incarnation === incarnation) this.step(node, { kind: 'heartbeat', request, heartbeat });
    };
    this.pendingHeartbeats.set(`${node.name}/${incarnation}/${request}`, (answer) => {
      this.pendingHeartbeats.delete(`${node.name}/${incarnation}/${request}`);
      if (
        isRequestLost ||
        isResponseLost ||
        this.now < worker.unreachableUntil ||
        this.now < worker.receivesNothingUntil
      )
        return;
      const leader = answer.kind === 'redirect' ? this.nodes.findIndex((x) => x.name === answer.leader) : -1;
      this.schedule(2 * MILLISECOND, () => {
        this.machines.handleResponse(worker, agentEpoch, sentAt, answer, leader);
      });
    });
    // A heartbeat whose request is lost still arrives, up to 20 s late and with its old content.
    this.schedule(isRequestLost ? this.random.below(20) * SECOND : 2 * MILLISECOND, deliver);
    this.maybeRepeat(() => {
      this.step(this.nodes[this.random.below(this.nodes.length)]!, {
        kind: 'heartbeat',
        request: this.nextRequest++,
        heartbeat,
      });
    });
    if (isRequestLost || isResponseLost) this.machines.switchNode(worker);
    else if (sentAt < worker.receivesNothingUntil) this.machines.recordTimeout(worker);
  }

  private sendCommands(
    node: SimulatedNode,
    effect: CoreEffect & { kind: 'workerCommands' },
    onReply: (reply: CommandReply) => void,
  ): void {
    const worker = this.workers.get(effect.address);
    const heldFor = Math.max(
      worker === undefined ? 0 : worker.unreachableUntil - this.now,
      this.network.delay(node.name, effect.address),
    );
    if (worker !== undefined && worker.receivesNothingUntil > this.now) {
      this.schedule(COMMAND_TIMEOUT, () => {
        onReply({ kind: 'lost', heartbeat: null });
      });
      return;
    }
    const run = (): CommandReply =>
      this.machines.executeCommands(effect.address, effect.fencingToken, effect.agentEpoch, effect.commands);
    const isLate = this.commandDelay !== null && this.random.chance(this.commandDelay.share);
    if (isLate) {
      this.schedule(COMMAND_TIMEOUT + this.random.below(this.commandDelay!.most), () => {
        this.lateCommands++;
        run();
      });
      this.schedule(COMMAND_TIMEOUT, () => {
        onReply({ kind: 'lost', heartbeat: null });
      });
      return;
    }
    if (heldFor > 0 || this.network.delay(effect.address, node.name) > 0) {
      // The commands are delivered when the partition ends.
      this.schedule(heldFor, () => {
        run();
      });
      this.schedule(COMMAND_TIMEOUT, () => {
        onReply({ kind: 'lost', heartbeat: null });
      });
      return;
    }
    this.call(run, onReply, { kind: 'lost', heartbeat: null }, null, node.name, effect.address);
  }

  /** The specification that a worker fetches, also of jobs that weren't submitted by the simulated users. */
  private findSpec(id: string): JobSpec | undefined {
    const known = this.work.specs.get(id);
    if (known !== undefined) return known;
    const spec = decodeActiveJob(this.state.value(activeJobKey(id)))?.spec;
    if (spec !== undefined) this.work.specs.set(id, spec);
    return spec;
  }

  private sendClientRequest(
    nodeIndex: number,
    body: ClientRequest,
    onResponse: (answer: ClientResponse | null) => void,
  ): void {
    const node = this.nodes[nodeIndex]!;
    const request = this.nextRequest++;
    if (node.core === null) {
      onResponse(null);
      return;
    }
    const key = `${node.name}/${node.incarnation}/${request}`;
    let isPending = true;
    const finish = (answer: ClientResponse | null): void => {
      if (!isPending) return;
      isPending = false;
      this.pendingClientRequests.delete(key);
      onResponse(answer);
    };
    this.pendingClientRequests.set(key, finish);
    this.schedule(body.kind === 'poll' ? POLL_TIMEOUT : REQUEST_TIMEOUT, () => {
      finish(null);
    });
    this.step(node, { kind: 'clientRequest', request, body, wallUs: this.wallClock });
  }

  /**
   * Sends a request of a feature's client to a node. Calls `onAnswer` with each answer, and with null if the connection is
   * lost before the last one because the node is or goes down.
   */
  askFeature(
    nodeIndex: number,
    feature: string,
    body: unknown,
    onAnswer: (answer: unknown, last: boolean) => void,
  ): void {
    const node = this.nodes[nodeIndex]!;
    const { incarnation } = node;
    const request = this.nextRequest++;
    let isPending = true;
    const notify = (answer: unknown, last: boolean): void => {
      if (!isPending) return;
      isPending = !last;
      onAnswer(answer, last);
    };
    this.pendingFeatureRequests.set(`${node.name}/${incarnation}/${request}`, notify);
    this.schedule(2 * MILLISECOND, () => {
      if (node.core !== null && node.incarnation === incarnation)
        this.step(node, { kind: 'featureRequest', feature, request, body, wallUs: this.wallClock });
    });
    const checkConnection = (): void => {
      if (isPending && (node.core === null || node.incarnation !== incarnation)) notify(null, true);
      else if (isPending) this.schedule(200 * MILLISECOND, checkConnection);
    };
    checkConnection();
  }

  /** Advances the simulation in steps of 25 ms; scheduled events run in order, timers and workers once per step. */
  runFor(length: Micros): void {
    const end = this.now + length;
    while (this.now < end) {
      this.timeline.advanceTo(Math.min(end, this.now + 25 * MILLISECOND));
      this.state.expire();
      for (const node of this.nodes)
        if (node.wakeAt !== null && node.wakeAt <= this.now && this.remainingPause(node) === 0) {
          node.wakeAt = null;
          this.step(node, { kind: 'timer' });
        }
      this.checkSingleLeader();
      this.machines.advance();
      this.machines.checkCancelled(this.users.cancelledAt);
    }
  }

  /** Checks that at most one node may act as the leader. A core knows only the time of its last input, so it gets a timer first. */
  private checkSingleLeader(): void {
    // A frozen node can't act, and learns the time with its next input.
    const leaders = (): SimulatedNode[] =>
      this.nodes.filter((node) => node.frozenUntil <= this.now && node.core?.canActAsLeader() === true);
    if (leaders().length < 2) return;
    for (const node of leaders()) this.step(node, { kind: 'timer' });
    if (leaders().length > 1)
      this.violations.push(
        `two leaders at once: ${leaders()
          .map((node) => node.name)
          .join()}`,
      );
  }

  /** All workers that ever existed, by machine name. */
  get workers(): ReadonlyMap<string, Worker> {
    return this.machines.workers;
  }

  /** Tasks that workers were told to start. */
  get starts(): number {
    return this.machines.starts;
  }

  /** Adds running machines that no controller has rented. */
  addMachines(count: number): void {
    for (let i = 0; i < count; i++)
      this.machines.boot(MACHINE_TYPE.zones[i % MACHINE_TYPE.zones.length]!, false, 0);
  }

  /** The machine loses power. */
  killWorker(worker: Worker): void {
    this.machines.kill(worker);
  }

  /** The index of the node that is entitled to act as the leader now; -1: none. */
  leaderIndex(): number {
    return this.nodes.findIndex((node) => node.core?.canActAsLeader() === true);
  }

  /** A random running machine, if there is one. */
  anyWorker(): Worker | undefined {
    const running = [...this.workers.values()].filter((worker) => worker.alive && this.now >= worker.readyAt);
    return running[this.random.below(Math.max(1, running.length))];
  }

  /** Runs a function after a delay, between the other events of that time. */
  runAfter(delay: Micros, run: () => void): void {
    this.schedule(delay, run);
  }

  /** The state service answers all requests with 503 for this time. */
  stateOutage(length: Micros): void {
    this.state.outage(length);
  }

  /** A user submits a job, and tries again until it is answered. */
  submit(spec: JobSpec): void {
    this.users.submit(spec);
  }

  /** A user polls the job once at a random node. */
  poll(id: string): void {
    this.users.poll(id);
  }

  /** A user cancels the job, and tries again until it is answered. */
  cancel(id: string): void {
    this.users.cancel(id);
  }

  /** The stage that users were last told. */
  stageOf(id: string): string | undefined {
    return this.users.knownStages.get(id)?.stage;
  }

  /** The current value of a key in the state service. */
  value(key: string): unknown {
    return this.state.value(key);
  }

  /** Writes a key without conditions, as an operator's tool would. */
  put(key: string, value: unknown): void {
    this.state.put(key, value);
  }

  /** Deletes a key without conditions, as an operator's tool would. */
  remove(key: string): void {
    this.state.apply({ kind: 'txn', conditions: [], writes: [{ kind: 'delete', key }] });
  }

  /** Keys in the state service with this prefix. */
  keys(prefix: string): string[] {
    return this.state.keys(prefix);
  }

  /** Transactions that the state service rejected for exceeding its limits. */
  get oversizedTransactions(): number {
    return this.state.oversizedTransactions;
  }

  /** Size limits of the state service's transactions. */
  set limits(limits: { valueBytes: number; ops: number }) {
    this.state.limits = limits;
  }
}
