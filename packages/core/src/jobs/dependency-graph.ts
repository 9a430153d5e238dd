/**
 * The dependency graph of jobs (a DAG). A job is blocked until the records of all its dependencies state `done`; it fails
 * once one of them, direct or transitive, is cancelled. Both are final, since records of ended jobs never change.
 *
 * The graph has no cycles: a job can depend only on jobs that were accepted before it, and its dependencies never change.
 * Record versions, which are assigned when jobs are accepted, are therefore a topological order of the graph.
 */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { latestFinish } from '../cluster/deadline-chain.js';
import type { Micros } from '../domain/time.js';

/** Outcome of an ended job, as recorded. */
export interface JobOutcome {
  /** `done` if all tasks completed. */
  readonly stage: 'done' | 'cancelled';
  /** Wall-clock time of the end; null if the record doesn't state it. */
  readonly endedAt: Micros | null;
}

/** State of the leader that the graph requires, and events that it reports. */
export interface DependencyEvents {
  /** Finds a job that has not ended, as far as the leader knows. */
  findJob(id: string): ActiveJob | undefined;
  /** Reads the record of an ended job; its outcome is passed to `DependencyGraph.recordOutcome` later. */
  readOutcome(id: string): void;
  /** All dependencies of the job are done, so it may start. */
  dependenciesMet(job: ActiveJob): void;
  /** These jobs can never run and have to be cancelled. `cause` is the id of the cancelled dependency. */
  dependencyFailed(jobs: readonly ActiveJob[], cause: string): void;
  /** Predicted time from when a job's dependencies are met to its end. */
  expectedDuration(job: ActiveJob): Micros;
  /** Current wall-clock time. */
  readonly wallNow: Micros;
}

/** Dependencies between the jobs that have not ended. */
export class DependencyGraph {
  /** Jobs that have not ended, by the id of a dependency. */
  private readonly dependents = new Map<string, Set<ActiveJob>>();
  /** Dependencies that are not done yet, by blocked job. */
  private readonly unmet = new Map<ActiveJob, Set<string>>();
  /** Recorded outcomes of dependencies, kept while any job depends on them. */
  private readonly outcomes = new Map<string, JobOutcome>();
  /** Whether inherited priorities and deadlines have to be recomputed. */
  private inheritanceStale = false;

  constructor(private readonly host: DependencyEvents) {}

  /** Number of jobs with unmet dependencies. */
  get blockedCount(): number {
    return this.unmet.size;
  }

  /** Ids of the dependencies that are not done yet; empty if the job isn't blocked. */
  unmetDependencies(job: ActiveJob): readonly string[] {
    return [...(this.unmet.get(job) ?? [])];
  }

  /** Jobs that depend directly on this one and have not ended. */
  dependentsOf(id: string): Iterable<ActiveJob> {
    return this.dependents.get(id) ?? [];
  }

  /** Whether other jobs depend on this one and its outcome is not known yet. */
  isAwaitingOutcome(id: string): boolean {
    return this.dependents.has(id) && !this.outcomes.has(id);
  }

  /** Adds a job with dependencies: by the outcomes known so far, it is released at once, blocked, or failed. */
  add(job: ActiveJob): void {
    const { dependsOn } = job.spec;
    if (dependsOn.length === 0) return;
    this.inheritanceStale = true;
    const unmet = new Set<string>();
    let failedDependency: string | null = null;
    for (const id of dependsOn) {
      const dependents = this.dependents.get(id) ?? new Set();
      this.dependents.set(id, dependents.add(job));
      const outcome = this.outcomes.get(id);
      if (outcome?.stage === 'done') {
        this.recordMet(job, outcome);
        continue;
      }
      unmet.add(id);
      const dependency = this.host.findJob(id);
      if (outcome?.stage === 'cancelled' || dependency?.dependencyFailed === true) failedDependency = id;
      else if (dependency === undefined || dependency.phase === 'ended') this.host.readOutcome(id);
    }
    if (unmet.size === 0) {
      this.host.dependenciesMet(job);
      return;
    }
    job.blockedOnDependencies = true;
    this.unmet.set(job, unmet);
    if (failedDependency !== null) this.propagateFailure([job], failedDependency);
  }

  /** Updates the time when the job's last dependency was met, from which its other times count. */
  private recordMet(job: ActiveJob, outcome: JobOutcome): void {
    const metAt = outcome.endedAt ?? this.host.wallNow;
    job.dependenciesMetAt = Math.max(job.dependenciesMetAt ?? job.acceptedAt, metAt);
  }

  /** Records the outcome of a job, and releases or fails the jobs that depend on it. */
  recordOutcome(id: string, outcome: JobOutcome): void {
    const dependents = this.dependents.get(id);
    if (dependents === undefined || this.outcomes.has(id)) return;
    this.outcomes.set(id, outcome);
    this.inheritanceStale = true;
    if (outcome.stage === 'cancelled') {
      this.propagateFailure([...dependents], id);
      return;
    }
    for (const job of [...dependents]) {
      const unmet = this.unmet.get(job);
      if (unmet?.delete(id) !== true) continue;
      this.recordMet(job, outcome);
      if (unmet.size > 0) continue;
      this.unmet.delete(job);
      job.blockedOnDependencies = false;
      this.host.dependenciesMet(job);
    }
  }

  /** Marks these jobs and all their transitive dependents as failed, and reports them together. */
  private propagateFailure(first: readonly ActiveJob[], cause: string): void {
    const failed: ActiveJob[] = [];
    const pending = [...first];
    for (let job = pending.pop(); job !== undefined; job = pending.pop()) {
      if (job.dependencyFailed || job.phase === 'ended') continue;
      job.dependencyFailed = true;
      failed.push(job);
      pending.push(...(this.dependents.get(job.id) ?? []));
    }
    if (failed.length > 0) this.host.dependencyFailed(failed, cause);
  }

  /** Removes an ended job as a dependent of others, whatever its outcome. */
  remove(job: ActiveJob): void {
    this.unmet.delete(job);
    for (const id of job.spec.dependsOn) {
      const dependents = this.dependents.get(id);
      if (dependents?.delete(job) !== true) continue;
      this.inheritanceStale = true;
      if (dependents.size > 0) continue;
      this.dependents.delete(id);
      this.outcomes.delete(id);
    }
  }

  /**
   * Recomputes inherited priorities and deadlines if the graph has changed or `force` is set. A job inherits the highest
   * priority of its dependents, and the tightest deadline that lets them meet theirs. Both are propagated backwards, from
   * the latest accepted job on. Linear in the number of dependencies, apart from the sorting.
   */
  refreshInheritance(force: boolean): void {
    if (!this.inheritanceStale && !force) return;
    this.inheritanceStale = false;
    const linked = this.linkedJobs();
    for (const job of linked) {
      job.priority = job.spec.priority;
      job.deadlineChain = null;
    }
    for (const job of [...linked].sort((first, second) => second.version - first.version))
      this.inheritFrom(job);
  }

  /** All jobs that have not ended and that are dependents or dependencies of others. */
  private linkedJobs(): Set<ActiveJob> {
    const linked = new Set<ActiveJob>();
    for (const [id, dependents] of this.dependents) {
      const dependency = this.host.findJob(id);
      if (dependency !== undefined) linked.add(dependency);
      for (const job of dependents) linked.add(job);
    }
    return linked;
  }

  /** Passes the job's priority and its tightest deadline on to its dependencies. */
  private inheritFrom(job: ActiveJob): void {
    const { deadlineChain: chain } = job;
    const inheritedDue = chain === null ? Infinity : latestFinish(chain);
    const ownDue = job.spec.deadlineUs === null ? Infinity : job.acceptedAt + job.spec.deadlineUs;
    const last = ownDue <= inheritedDue ? job : chain?.last;
    for (const id of job.spec.dependsOn) {
      const dependency = this.host.findJob(id);
      if (dependency === undefined) continue;
      if (job.priority > dependency.priority) dependency.priority = job.priority;
      if (last === undefined || last.spec.deadlineUs === null) continue;
      const tailAfterJob = ownDue <= inheritedDue ? 0 : (chain?.tailDuration ?? 0);
      const link = { last, tailDuration: tailAfterJob + this.host.expectedDuration(job) };
      const { deadlineChain } = dependency;
      if (deadlineChain === null || latestFinish(link) < latestFinish(deadlineChain))
        dependency.deadlineChain = link;
    }
  }
}
