/**
 * Which jobs wait for which. A job is held until the record of each job that it needs says `done`; it is
 * doomed once one of them, directly or through others, is cancelled. Both are final: records of ended jobs
 * never change.
 *
 * There are no cycles: a job names only jobs that were accepted before it, never itself, and what it names
 * never changes. So the versions of the jobs' records, which are those of their acceptance, order the graph.
 */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { latestFinish } from '../cluster/deadline-chain.js';
import type { Micros } from '../domain/time.js';

export interface JobOutcome {
  readonly stage: 'done' | 'cancelled';
  /** Time of day; null where the record doesn't say. */
  readonly at: Micros | null;
}

export interface DependencyEvents {
  /** A job that has not ended as far as the leader knows. */
  job(id: string): ActiveJob | undefined;
  /** Reads the record of an ended job; answers by `ended`, in time. */
  resolve(id: string): void;
  released(job: ActiveJob): void;
  /** These can never run: their records are to say so. `cause`: the cancelled job. */
  doomed(jobs: readonly ActiveJob[], cause: string): void;
  /** Predicted time from a job's release to its end. */
  expected(job: ActiveJob): Micros;
  readonly wallNow: Micros;
}

export class DependencyGraph {
  /** Jobs that have not ended, by the job that they need. */
  private readonly dependents = new Map<string, Set<ActiveJob>>();
  private readonly unmet = new Map<ActiveJob, Set<string>>();
  /** Ends of needed jobs, as their records say, while anything still depends on them. */
  private readonly ends = new Map<string, JobOutcome>();
  private stale = false;

  constructor(private readonly host: DependencyEvents) {}

  /** How many jobs are held. */
  get blockedCount(): number {
    return this.unmet.size;
  }

  /** What a held job still waits for. */
  waitsFor(job: ActiveJob): readonly string[] {
    return [...(this.unmet.get(job) ?? [])];
  }

  /** Jobs that directly need this one and have not ended. */
  needing(id: string): Iterable<ActiveJob> {
    return this.dependents.get(id) ?? [];
  }

  needed(id: string): boolean {
    return this.dependents.has(id);
  }

  /** Whether its end is not known yet, but something waits for it. */
  open(id: string): boolean {
    return this.dependents.has(id) && !this.ends.has(id);
  }

  add(job: ActiveJob): void {
    const needs = job.spec.dependsOn;
    if (needs.length === 0) return;
    this.stale = true;
    const unmet = new Set<string>();
    let cause: string | null = null;
    for (const n of needs) {
      const others = this.dependents.get(n) ?? new Set();
      this.dependents.set(n, others.add(job));
      const end = this.ends.get(n);
      if (end?.stage === 'done') {
        job.dependenciesMetAt = Math.max(
          job.dependenciesMetAt ?? job.acceptedAt,
          end.at ?? this.host.wallNow,
        );
        continue;
      }
      unmet.add(n);
      const needed = this.host.job(n);
      if (end?.stage === 'cancelled' || needed?.dependencyFailed === true) cause = n;
      else if (needed === undefined || needed.phase === 'ended') this.host.resolve(n);
    }
    if (unmet.size === 0) {
      this.host.released(job);
      return;
    }
    job.blockedOnDependencies = true;
    this.unmet.set(job, unmet);
    if (cause !== null) this.doom([job], cause);
  }

  /** The record of a job says how it ended. */
  ended(id: string, end: JobOutcome): void {
    const dependents = this.dependents.get(id);
    if (dependents === undefined || this.ends.has(id)) return;
    this.ends.set(id, end);
    this.stale = true;
    if (end.stage === 'cancelled') {
      this.doom([...dependents], id);
      return;
    }
    for (const job of [...dependents]) {
      const unmet = this.unmet.get(job);
      if (unmet?.delete(id) !== true) continue;
      // The other times of a job count from the moment when the last that it needs is done.
      job.dependenciesMetAt = Math.max(job.dependenciesMetAt ?? job.acceptedAt, end.at ?? this.host.wallNow);
      if (unmet.size > 0) continue;
      this.unmet.delete(job);
      job.blockedOnDependencies = false;
      this.host.released(job);
    }
  }

  /** These and all that need them, directly or through others, in one go. */
  private doom(first: readonly ActiveJob[], cause: string): void {
    const found: ActiveJob[] = [];
    const next = [...first];
    for (let job = next.pop(); job !== undefined; job = next.pop()) {
      if (job.dependencyFailed || job.phase === 'ended') continue;
      job.dependencyFailed = true;
      found.push(job);
      next.push(...(this.dependents.get(job.id) ?? []));
    }
    if (found.length > 0) this.host.doomed(found, cause);
  }

  /** The job has ended, however: it waits for nothing any more. */
  remove(job: ActiveJob): void {
    this.unmet.delete(job);
    for (const n of job.spec.dependsOn) {
      const others = this.dependents.get(n);
      if (others?.delete(job) !== true) continue;
      this.stale = true;
      if (others.size > 0) continue;
      this.dependents.delete(n);
      this.ends.delete(n);
    }
  }

  /**
   * A job counts with the highest priority of those that need it, and has to be done in time for them:
   * worked backwards from the last jobs' due times, the latest accepted first. Linear in the edges.
   */
  refresh(force: boolean): void {
    if (!this.stale && !force) return;
    this.stale = false;
    const linked = new Set<ActiveJob>();
    for (const [id, others] of this.dependents) {
      const needed = this.host.job(id);
      if (needed !== undefined) linked.add(needed);
      for (const job of others) linked.add(job);
    }
    for (const job of linked) {
      job.priority = job.spec.priority;
      job.deadlineChain = null;
    }
    for (const job of [...linked].sort((a, b) => b.version - a.version)) {
      const { deadlineChain: chain } = job;
      const due = chain === null ? Infinity : latestFinish(chain);
      const own = job.spec.deadlineUs === null ? Infinity : job.acceptedAt + job.spec.deadlineUs;
      const last = own <= due ? job : chain?.last;
      for (const n of job.spec.dependsOn) {
        const needed = this.host.job(n);
        if (needed === undefined) continue;
        if (job.priority > needed.priority) needed.priority = job.priority;
        if (last === undefined || last.spec.deadlineUs === null) continue;
        const tail = (own <= due ? 0 : (chain?.tail ?? 0)) + this.host.expected(job);
        const link = { last, tail };
        if (needed.deadlineChain === null || latestFinish(link) < latestFinish(needed.deadlineChain))
          needed.deadlineChain = link;
      }
    }
  }
}
