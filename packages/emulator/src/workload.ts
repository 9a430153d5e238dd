/** The submitted jobs of a simulation, and the task runs that workers completed. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';

/** Ground truth about the work, independent of what controllers believe. */
export class Workload {
  /** Specifications of jobs, by id. */
  readonly specs = new Map<string, JobSpec>();
  /** Indexes of the completed tasks, by job. */
  readonly completed = new Map<string, Set<number>>();
  /** The longest run of each task, as measured by workers; the keys are `job/index`. */
  readonly longestUs = new Map<string, Micros>();
  /** The total time of all runs of a job's tasks, as measured by workers. */
  readonly totalRunUs = new Map<string, Micros>();

  /** Called when the last task of a job completes. */
  onDone: (id: string) => void = () => undefined;

  /** Whether all tasks have completed; of a gang it takes one, as its members complete together. */
  isDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (spec === undefined) return false;
    return (this.completed.get(id)?.size ?? 0) >= (spec.shape === 'gang' ? 1 : spec.tasks);
  }

  /** Records that a task completed. */
  complete(job: string, index: number): void {
    const completed = this.completed.get(job) ?? new Set<number>();
    const wasDone = this.isDone(job);
    completed.add(index);
    this.completed.set(job, completed);
    if (!wasDone && this.isDone(job)) this.onDone(job);
  }

  /** Adds a worker's measurement of how long a task ran. */
  recordRun(job: string, index: number, length: Micros): void {
    const task = `${job}/${index}`;
    this.totalRunUs.set(job, (this.totalRunUs.get(job) ?? 0) + length);
    this.longestUs.set(task, Math.max(this.longestUs.get(task) ?? 0, length));
  }

  /** The job and its direct and transitive dependencies. */
  withDependencies(id: string): Set<string> {
    const seen = new Set([id]);
    const pending = [id];
    for (let current = pending.pop(); current !== undefined; current = pending.pop())
      for (const dependency of this.specs.get(current)?.dependsOn ?? [])
        if (!seen.has(dependency)) {
          seen.add(dependency);
          pending.push(dependency);
        }
    return seen;
  }
}
