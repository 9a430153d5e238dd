/** What there is to do in a simulated world, and what of it workers have done. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';

export class Work {
  readonly specs = new Map<string, JobSpec>();
  readonly completed = new Map<string, Set<number>>();
  /** Task time that workers count, by task: its longest run. */
  readonly longestUs = new Map<string, Micros>();
  /** Task time that workers count, by job: all runs. */
  readonly ranUs = new Map<string, Micros>();

  /** Told of each job at the moment at which its last task completes. */
  onDone: (id: string) => void = () => undefined;

  isDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (spec === undefined) return false;
    return (this.completed.get(id)?.size ?? 0) >= (spec.shape === 'gang' ? 1 : spec.tasks);
  }

  complete(job: string, index: number): void {
    const set = this.completed.get(job) ?? new Set<number>();
    const before = this.isDone(job);
    set.add(index);
    this.completed.set(job, set);
    if (!before && this.isDone(job)) this.onDone(job);
  }

  /** A worker's own books: how long a task ran. */
  ran(job: string, index: number, length: Micros): void {
    const task = `${job}/${index}`;
    this.ranUs.set(job, (this.ranUs.get(job) ?? 0) + length);
    this.longestUs.set(task, Math.max(this.longestUs.get(task) ?? 0, length));
  }

  /** The job and all that it needs, directly or through others. */
  lineOf(id: string): Set<string> {
    const seen = new Set([id]);
    const next = [id];
    for (let x = next.pop(); x !== undefined; x = next.pop())
      for (const n of this.specs.get(x)?.dependsOn ?? [])
        if (!seen.has(n)) {
          seen.add(n);
          next.push(n);
        }
    return seen;
  }
}
