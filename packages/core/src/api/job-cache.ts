/**
 * What this node knows of jobs: their records as last read or written, and the counts that the leader published for
 * display. Both are bounded; the oldest entries are evicted.
 */
import type { JobSpec, JobStage, JobView } from '../domain/job.js';
import type { ProgressUpdate } from '../domain/peer.js';
import { evictOldestBeyond } from './bounded-map.js';

/** Most jobs whose records, or whose counts, are cached. */
const MAX_CACHED_JOBS = 20_000;

/** A job that has not ended, as of the given version of its record. */
export interface KnownActiveJob {
  readonly kind: 'active';
  readonly version: number;
  readonly spec: JobSpec;
}

/** A job that has ended. This is final: the record of an ended job never changes. */
export interface KnownEndedJob {
  readonly kind: 'ended';
  readonly stage: 'done' | 'cancelled';
  readonly completedTasks: number;
  readonly isService: boolean;
}

/** What is known of an accepted job. */
export type KnownJob = KnownActiveJob | KnownEndedJob;

/** Counts for display, as published by the leader. */
interface DisplayCounts {
  readonly done: number;
  readonly running: number;
}

const NO_PROGRESS: DisplayCounts = { done: 0, running: 0 };

/** Records and display counts of jobs, cached on this node. */
export class JobCache {
  private readonly jobs = new Map<string, KnownJob>();
  private readonly counts = new Map<string, DisplayCounts>();

  /** What is known of the job, without asking the state service; an active job may have ended since. */
  get(id: string): KnownJob | undefined {
    return this.jobs.get(id);
  }

  /** Whether the end of the job is known here, which never changes. */
  hasEnded(id: string): boolean {
    return this.jobs.get(id)?.kind === 'ended';
  }

  /** How many jobs are known. */
  get size(): number {
    return this.jobs.size;
  }

  /** Remembers a record. One that is known to have ended stays as it is, and so does a newer one. */
  remember(id: string, job: KnownJob): void {
    const known = this.jobs.get(id);
    if (known?.kind === 'ended') return;
    if (known !== undefined && job.kind === 'active' && job.version < known.version) return;
    // Deleted first, so that it becomes the newest entry.
    this.jobs.delete(id);
    this.jobs.set(id, job);
    if (job.kind === 'ended') this.counts.delete(id);
    evictOldestBeyond(this.jobs, MAX_CACHED_JOBS);
  }

  /** Takes over the counts that the leader published. */
  recordProgress(update: ProgressUpdate): void {
    for (const { id, done, running } of update.jobs) {
      this.counts.delete(id);
      this.counts.set(id, { done, running });
      evictOldestBeyond(this.counts, MAX_CACHED_JOBS);
    }
  }

  /** The job as it is shown to clients. */
  viewOf(id: string, job: KnownJob): JobView {
    if (job.kind === 'ended') return { id, stage: job.stage, done: job.completedTasks, running: 0 };
    const { done, running } = this.counts.get(id) ?? NO_PROGRESS;
    const stage: JobStage = running > 0 ? 'running' : 'queued';
    return { id, stage, done, running };
  }
}
