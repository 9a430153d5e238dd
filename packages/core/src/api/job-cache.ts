/**
 * Caches jobs on this node: their records as last read or written, and the task counts that the leader publishes for
 * display. Both caches are bounded and evict their oldest entries.
 */
import type { JobSpec, JobStage, JobView } from '../domain/job.js';
import type { ProgressUpdate } from '../domain/peer.js';
import { evictOldestBeyond } from './bounded-map.js';

/** Maximum number of cached records, and of cached task counts. */
const MAX_CACHED_JOBS = 20_000;

/** A job that was active at the given version of its record. */
export interface KnownActiveJob {
  readonly kind: 'active';
  readonly version: number;
  readonly spec: JobSpec;
}

/** A job that has ended. The record of an ended job never changes. */
export interface KnownEndedJob {
  readonly kind: 'ended';
  readonly stage: 'done' | 'cancelled';
  readonly completedTasks: number;
  readonly isService: boolean;
}

/** The cached state of an accepted job. */
export type KnownJob = KnownActiveJob | KnownEndedJob;

/** Numbers of tasks for display, as published by the leader. */
interface DisplayCounts {
  readonly done: number;
  readonly running: number;
}

const NO_PROGRESS: DisplayCounts = { done: 0, running: 0 };

/** Bounded cache of job records and display counts. */
export class JobCache {
  private readonly jobs = new Map<string, KnownJob>();
  private readonly counts = new Map<string, DisplayCounts>();

  /** Returns the cached state of the job, without reading the state service; an active job may have ended since. */
  get(id: string): KnownJob | undefined {
    return this.jobs.get(id);
  }

  /** Whether the job is known to have ended, which is final. */
  hasEnded(id: string): boolean {
    return this.jobs.get(id)?.kind === 'ended';
  }

  /** Number of jobs whose state is cached. */
  get size(): number {
    return this.jobs.size;
  }

  /** Caches a job's state, unless the job is known to have ended or a newer version is cached. */
  put(id: string, job: KnownJob): void {
    const known = this.jobs.get(id);
    if (known?.kind === 'ended') return;
    if (known !== undefined && job.kind === 'active' && job.version < known.version) return;
    // Deletes first, so that the entry moves to the end of the eviction order.
    this.jobs.delete(id);
    this.jobs.set(id, job);
    if (job.kind === 'ended') this.counts.delete(id);
    evictOldestBeyond(this.jobs, MAX_CACHED_JOBS);
  }

  /** Caches the task counts that the leader has published. */
  recordProgress(update: ProgressUpdate): void {
    for (const { id, done, running } of update.jobs) {
      this.counts.delete(id);
      this.counts.set(id, { done, running });
      evictOldestBeyond(this.counts, MAX_CACHED_JOBS);
    }
  }

  /** Builds the view of the job that clients receive, with the latest published counts. */
  viewOf(id: string, job: KnownJob): JobView {
    if (job.kind === 'ended') return { id, stage: job.stage, done: job.completedTasks, running: 0 };
    const { done, running } = this.counts.get(id) ?? NO_PROGRESS;
    const stage: JobStage = running > 0 ? 'running' : 'queued';
    return { id, stage, done, running };
  }
}
