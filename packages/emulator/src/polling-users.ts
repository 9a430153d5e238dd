/** Simulated users who poll each of their jobs every 5 s at a random node, and record for how long none was answered. */
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import type { ClusterSimulation } from './cluster-simulation.js';
import type { Random } from './random.js';
import { summarize, type Summary } from './scale/statistics.js';

/** How often a user polls a job. */
const POLL_INTERVAL: Micros = 5 * SECOND;
/** A poll is sent up to this much earlier or later. */
const POLL_JITTER: Micros = 500 * MILLISECOND;

interface PolledJob {
  readonly id: string;
  lastAnsweredAt: Micros;
  /** Nodes that were polled since the last answer, one entry per poll. */
  polledSince: string[];
  longestGap: Gap;
}

/** A period without an answer. */
interface Gap {
  readonly length: Micros;
  readonly polled: readonly string[];
}

const NO_GAP: Gap = { length: 0, polled: [] };

/** A job about which no poll was answered for a while. */
export interface UnansweredJob {
  /** Id of the job. */
  readonly job: string;
  /** The longest period without an answer, in seconds. */
  readonly unansweredS: number;
  /** Number of polls in that period, by node. */
  readonly polled: Readonly<Record<string, number>>;
}

/** Polls jobs regularly and measures the answers. */
export class PollingUsers {
  private readonly jobs: PolledJob[] = [];
  private latenciesMs: number[] = [];
  private isStopped = false;
  /** Polls sent. */
  sentPolls = 0;
  /** Polls that were answered with the job's state before the timeout. */
  answeredPolls = 0;

  constructor(
    private readonly simulation: ClusterSimulation,
    private readonly random: Random,
  ) {}

  /** Begins to poll the job, at a random time within the interval. */
  add(id: string): void {
    const job: PolledJob = { id, lastAnsweredAt: this.simulation.now, polledSince: [], longestGap: NO_GAP };
    this.jobs.push(job);
    this.simulation.runAfter(this.random.below(POLL_INTERVAL), () => {
      this.poll(job);
    });
  }

  /** Sends no further polls. */
  stop(): void {
    this.isStopped = true;
  }

  /** Discards all measurements; periods without an answer begin anew. */
  resetMeasurements(): void {
    this.latenciesMs = [];
    this.sentPolls = 0;
    this.answeredPolls = 0;
    for (const job of this.jobs) {
      job.lastAnsweredAt = this.simulation.now;
      job.longestGap = NO_GAP;
      job.polledSince = [];
    }
  }

  /** Latency of the answered polls, in milliseconds. */
  get latencyMs(): Summary {
    return summarize(this.latenciesMs);
  }

  /** Jobs about which no poll was answered for longer than `limit`, the longest period first. */
  unansweredFor(limit: Micros): UnansweredJob[] {
    return this.jobs
      .map((job) => ({ id: job.id, gap: this.longestGapOf(job) }))
      .filter(({ gap }) => gap.length > limit)
      .sort((left, right) => right.gap.length - left.gap.length)
      .map(({ id, gap }) => ({
        job: id,
        unansweredS: gap.length / SECOND,
        polled: countsOf(gap.polled),
      }));
  }

  /** The longest period without an answer about any job, in seconds. */
  get longestUnansweredS(): number {
    return this.unansweredFor(0)[0]?.unansweredS ?? 0;
  }

  private longestGapOf(job: PolledJob): Gap {
    const length = this.simulation.now - job.lastAnsweredAt;
    return length > job.longestGap.length ? { length, polled: job.polledSince } : job.longestGap;
  }

  private poll(job: PolledJob): void {
    if (this.isStopped) return;
    const node = this.random.below(this.simulation.nodes.length);
    const sentAt = this.simulation.now;
    this.sentPolls++;
    job.polledSince.push(this.simulation.nodes[node]!.name);
    this.simulation.users.poll(job.id, node, (answer) => {
      if (answer?.kind === 'view') this.recordAnswer(job, sentAt);
    });
    const untilNext = POLL_INTERVAL - POLL_JITTER + this.random.below(2 * POLL_JITTER);
    this.simulation.runAfter(untilNext, () => {
      this.poll(job);
    });
  }

  private recordAnswer(job: PolledJob, sentAt: Micros): void {
    const { now } = this.simulation;
    this.answeredPolls++;
    this.latenciesMs.push((now - sentAt) / MILLISECOND);
    job.longestGap = this.longestGapOf(job);
    job.lastAnsweredAt = now;
    job.polledSince = [];
  }
}

const countsOf = (names: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
};
