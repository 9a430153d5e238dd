/** Measures the leader of an emulated deployment: processor time by kind of input, writes, orders and starts. */
import type { CoreEffect, Input, LogFields } from '@shaleyoke/core/domain/effects';
import type { WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { Micros } from '@shaleyoke/core/domain/time';

import type { StepMeter } from '../step-meter.js';
import { summarize, type Summary } from './statistics.js';

const NANOSECONDS_PER_MICROSECOND = 1000n;

/** Names of inputs in stored measurements, which stay comparable with those of earlier versions. */
const STORED_INPUT_NAMES: Readonly<Record<Input['kind'], string>> = {
  start: 'start',
  timer: 'timer',
  storeReply: 'state',
  cloudReply: 'cloud',
  commandReply: 'orders',
  clientRequest: 'user',
  heartbeat: 'report',
  featureRequest: 'asked',
  peerMessage: 'peer',
};

export interface PlanTimes {
  readonly groupsUs: Summary;
  readonly searchUs: Summary;
  readonly actUs: Summary;
  readonly wholeUs: Summary;
}

/** What the leader did in one phase of a run. */
export interface PhaseReport {
  readonly coreS: number;
  readonly stepUs: Readonly<Record<string, Summary>>;
  readonly longestStepUs: Micros;
  readonly plans: PlanTimes;
  readonly transactions: number;
  readonly puts: number;
  readonly putBytes: number;
  readonly orderCalls: number;
  readonly starts: number;
}

export class LeaderProbe implements StepMeter {
  /** Told of each start when it is first sent to its machine. */
  onStart: (order: WorkerCommand & { op: 'start' }) => void = () => undefined;
  private leader = '';
  private steps = new Map<Input['kind'], number[]>();
  private plans: { groups: number; search: number; act: number }[] = [];
  private counts = { transactions: 0, puts: 0, putBytes: 0, orderCalls: 0, starts: 0 };

  stopwatch(): Micros {
    return Number(process.hrtime.bigint() / NANOSECONDS_PER_MICROSECOND);
  }

  /** Forgets what was measured so far, and measures this node from now on. */
  begin(leader: string): void {
    this.leader = leader;
    this.steps = new Map();
    this.plans = [];
    this.counts = { transactions: 0, puts: 0, putBytes: 0, orderCalls: 0, starts: 0 };
  }

  stepped(node: string, input: Input, elapsedUs: Micros, effects: readonly CoreEffect[]): void {
    if (node !== this.leader) return;
    const times = this.steps.get(input.kind) ?? [];
    times.push(elapsedUs);
    this.steps.set(input.kind, times);
    for (const effect of effects) this.count(effect);
  }

  private count(effect: CoreEffect): void {
    if (effect.kind === 'storeRequest' && effect.op.kind === 'txn') {
      this.counts.transactions++;
      for (const write of effect.op.writes) {
        this.counts.puts++;
        if (write.kind === 'put') this.counts.putBytes += Buffer.byteLength(JSON.stringify(write.value));
      }
    } else if (effect.kind === 'workerCommands') {
      this.counts.orderCalls++;
      this.countStarts(effect.commands);
    } else if (effect.kind === 'heartbeatResponse' && effect.answer.kind === 'accepted')
      this.countStarts(effect.answer.commands);
    else if (effect.kind === 'log' && effect.event === 'plan.completed') this.notePlan(effect.fields);
  }

  private countStarts(orders: readonly WorkerCommand[]): void {
    for (const order of orders)
      if (order.op === 'start') {
        this.counts.starts++;
        this.onStart(order);
      }
  }

  private notePlan(fields: LogFields): void {
    this.plans.push({
      groups: Number(fields['groupsUs']),
      search: Number(fields['searchUs']),
      act: Number(fields['commitUs']),
    });
  }

  report(): PhaseReport {
    const stepUs = Object.fromEntries(
      [...this.steps].map(([kind, times]) => [STORED_INPUT_NAMES[kind], summarize(times)]),
    );
    const summaries = Object.values(stepUs);
    return {
      coreS: summaries.reduce((sum, s) => sum + s.total, 0) / 1e6,
      stepUs,
      longestStepUs: Math.max(0, ...summaries.map((s) => s.max)),
      plans: {
        groupsUs: summarize(this.plans.map((p) => p.groups)),
        searchUs: summarize(this.plans.map((p) => p.search)),
        actUs: summarize(this.plans.map((p) => p.act)),
        wholeUs: summarize(this.plans.map((p) => p.groups + p.search + p.act)),
      },
      ...this.counts,
    };
  }
}
