/** Measures the leader of a simulated deployment: CPU time by kind of input, store writes, worker commands and starts. */
import type { CoreEffect, Input, LogFields } from '@shaleyoke/core/domain/effects';
import type { WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { Micros } from '@shaleyoke/core/domain/time';

import type { StepMeter } from '../step-meter.js';
import { summarize, type Summary } from './statistics.js';

const NANOSECONDS_PER_MICROSECOND = 1000n;

/** Names of inputs in stored measurements, kept so that they remain comparable with those of earlier versions. */
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

/** Durations of the planner's phases, and of whole planning passes. */
export interface PlanTimes {
  readonly groupsUs: Summary;
  readonly searchUs: Summary;
  readonly actUs: Summary;
  readonly wholeUs: Summary;
}

/** The leader's costs and operations in one phase of a run. */
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

/** Records the steps and effects of one node of a simulated deployment. */
export class LeaderProbe implements StepMeter {
  /** Called for each start command that is sent to a machine. */
  onStart: (order: WorkerCommand & { op: 'start' }) => void = () => undefined;
  private leader = '';
  private stepTimes = new Map<Input['kind'], number[]>();
  private plans: { groups: number; search: number; commit: number }[] = [];
  private counts = { transactions: 0, puts: 0, putBytes: 0, orderCalls: 0, starts: 0 };

  /** Reads the monotonic clock that measures the duration of steps. */
  stopwatch(): Micros {
    return Number(process.hrtime.bigint() / NANOSECONDS_PER_MICROSECOND);
  }

  /** Discards previous measurements and measures the given node from now on. */
  startPhase(leader: string): void {
    this.leader = leader;
    this.stepTimes = new Map();
    this.plans = [];
    this.counts = { transactions: 0, puts: 0, putBytes: 0, orderCalls: 0, starts: 0 };
  }

  /** Records a step of a node; steps of other nodes than the measured one are ignored. */
  recordStep(node: string, input: Input, elapsedUs: Micros, effects: readonly CoreEffect[]): void {
    if (node !== this.leader) return;
    const times = this.stepTimes.get(input.kind) ?? [];
    times.push(elapsedUs);
    this.stepTimes.set(input.kind, times);
    for (const effect of effects) this.countEffect(effect);
  }

  private countEffect(effect: CoreEffect): void {
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
    else if (effect.kind === 'log' && effect.event === 'plan.completed') this.recordPlan(effect.fields);
  }

  private countStarts(commands: readonly WorkerCommand[]): void {
    for (const command of commands)
      if (command.op === 'start') {
        this.counts.starts++;
        this.onStart(command);
      }
  }

  private recordPlan(fields: LogFields): void {
    this.plans.push({
      groups: Number(fields['groupsUs']),
      search: Number(fields['searchUs']),
      commit: Number(fields['commitUs']),
    });
  }

  /** Summarizes the measurements since the phase started. */
  report(): PhaseReport {
    const stepUs = Object.fromEntries(
      [...this.stepTimes].map(([kind, times]) => [STORED_INPUT_NAMES[kind], summarize(times)]),
    );
    const summaries = Object.values(stepUs);
    return {
      coreS: summaries.reduce((sum, s) => sum + s.total, 0) / 1e6,
      stepUs,
      longestStepUs: Math.max(0, ...summaries.map((s) => s.max)),
      plans: {
        groupsUs: summarize(this.plans.map((p) => p.groups)),
        searchUs: summarize(this.plans.map((p) => p.search)),
        actUs: summarize(this.plans.map((p) => p.commit)),
        wholeUs: summarize(this.plans.map((p) => p.groups + p.search + p.commit)),
      },
      ...this.counts,
    };
  }
}
