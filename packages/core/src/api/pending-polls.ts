/** Polls that wait for a validation: the oldest first, none for longer than its client waits, and no more than can be served. */
import type { Micros } from '../domain/time.js';

/** A poll and when it arrived. */
export interface PollRequest {
  readonly request: number;
  readonly arrivedAt: Micros;
}

/** Polls of one job. */
export interface JobPolls {
  readonly id: string;
  readonly requests: readonly PollRequest[];
}

const oldestOf = (requests: readonly PollRequest[]): Micros =>
  requests.reduce((oldest, { arrivedAt }) => Math.min(oldest, arrivedAt), Infinity);

/** A queue of polls, gathered by job. */
export class PendingPolls {
  /** Polls whose validation has to be repeated: they are older than those that came since. */
  private readonly repeated = new Map<string, PollRequest[]>();
  private readonly fresh = new Map<string, PollRequest[]>();

  /** Jobs with polls that wait. */
  get jobCount(): number {
    return this.repeated.size + this.fresh.size;
  }

  /** Adds a poll that has just arrived. */
  add(id: string, poll: PollRequest): void {
    const waiting = this.repeated.get(id) ?? this.fresh.get(id);
    if (waiting === undefined) this.fresh.set(id, [poll]);
    else waiting.push(poll);
  }

  /** Puts polls back that could not be answered yet; they keep their place before newer ones. */
  putBack({ id, requests }: JobPolls): void {
    const arrivedMeanwhile = [...(this.repeated.get(id) ?? []), ...(this.fresh.get(id) ?? [])];
    this.fresh.delete(id);
    this.repeated.set(id, [...requests, ...arrivedMeanwhile]);
  }

  /** Takes the polls of a job out. */
  remove(id: string): void {
    this.repeated.delete(id);
    this.fresh.delete(id);
  }

  /** All polls, those of the longest waiting jobs first. */
  inOrder(): JobPolls[] {
    return [...this.repeated, ...this.fresh].map(([id, requests]) => ({ id, requests }));
  }

  /** Takes out the polls that arrived before `cutoff`, and returns their numbers. */
  takeExpired(cutoff: Micros): number[] {
    const expired: number[] = [];
    for (const { id, requests } of this.inOrder()) {
      if (oldestOf(requests) > cutoff) continue;
      const remaining = requests.filter(({ arrivedAt }) => arrivedAt > cutoff);
      for (const { request, arrivedAt } of requests) if (arrivedAt <= cutoff) expired.push(request);
      if (remaining.length === 0) this.remove(id);
      else (this.repeated.has(id) ? this.repeated : this.fresh).set(id, remaining);
    }
    return expired;
  }

  /** Takes all polls out. */
  takeAll(): JobPolls[] {
    const all = this.inOrder();
    this.repeated.clear();
    this.fresh.clear();
    return all;
  }

  /** When the oldest waiting poll arrived; null: none waits. */
  get oldestArrival(): Micros | null {
    const oldest = oldestOf(this.inOrder().flatMap(({ requests }) => requests));
    return oldest === Infinity ? null : oldest;
  }
}
