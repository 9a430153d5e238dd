/**
 * Queue of polls that wait for a validation, ordered by age and grouped by job. `takeExpired` drops polls whose clients
 * have given up; the number of jobs is limited by `ValidationQueue`.
 */
import type { Micros } from '../domain/time.js';

/** A poll request and its time of arrival. */
export interface PollRequest {
  readonly request: number;
  readonly arrivedAt: Micros;
}

/** The waiting polls of one job. */
export interface JobPolls {
  readonly id: string;
  readonly requests: readonly PollRequest[];
}

const oldestOf = (requests: readonly PollRequest[]): Micros =>
  requests.reduce((oldest, { arrivedAt }) => Math.min(oldest, arrivedAt), Infinity);

/** Waiting polls, grouped by job. */
export class PendingPolls {
  /** Polls whose validation has to be repeated; they are older than all fresh ones. */
  private readonly requeued = new Map<string, PollRequest[]>();
  private readonly fresh = new Map<string, PollRequest[]>();

  /** Number of jobs that have waiting polls. */
  get jobCount(): number {
    return this.requeued.size + this.fresh.size;
  }

  /** Adds a poll that has just arrived, to the other polls of its job if there are any. */
  add(id: string, poll: PollRequest): void {
    const waiting = this.requeued.get(id) ?? this.fresh.get(id);
    if (waiting === undefined) this.fresh.set(id, [poll]);
    else waiting.push(poll);
  }

  /** Returns polls that could not be answered yet to the queue, ahead of newer ones. */
  requeue({ id, requests }: JobPolls): void {
    const arrivedMeanwhile = [...(this.requeued.get(id) ?? []), ...(this.fresh.get(id) ?? [])];
    this.fresh.delete(id);
    this.requeued.set(id, [...requests, ...arrivedMeanwhile]);
  }

  /** Removes all polls of a job. */
  remove(id: string): void {
    this.requeued.delete(id);
    this.fresh.delete(id);
  }

  /** Returns all polls; the jobs that have waited longest come first. */
  inOrder(): JobPolls[] {
    return [...this.requeued, ...this.fresh].map(([id, requests]) => ({ id, requests }));
  }

  /** Removes the polls that arrived at or before `cutoff`, and returns their request numbers. */
  takeExpired(cutoff: Micros): number[] {
    const expired: number[] = [];
    for (const { id, requests } of this.inOrder()) {
      if (oldestOf(requests) > cutoff) continue;
      const remaining = requests.filter(({ arrivedAt }) => arrivedAt > cutoff);
      for (const { request, arrivedAt } of requests) if (arrivedAt <= cutoff) expired.push(request);
      if (remaining.length === 0) this.remove(id);
      else (this.requeued.has(id) ? this.requeued : this.fresh).set(id, remaining);
    }
    return expired;
  }

  /** Removes and returns all polls. */
  takeAll(): JobPolls[] {
    const all = this.inOrder();
    this.requeued.clear();
    this.fresh.clear();
    return all;
  }

  /** Arrival time of the oldest waiting poll; null if there is none. */
  get oldestArrival(): Micros | null {
    const oldest = oldestOf(this.inOrder().flatMap(({ requests }) => requests));
    return oldest === Infinity ? null : oldest;
  }
}
