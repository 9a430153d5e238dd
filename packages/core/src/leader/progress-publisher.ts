/** Publishes counts of completed and running tasks to the other controllers and to this one's own job service. */
import type { JobService } from '../api/job-service.js';
import type { JobProgress } from '../domain/peer.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Maximum number of jobs in one message; the rest follow in the next one. */
const MAX_JOBS_PER_MESSAGE = 1_000;

/** Publishes progress that changed since it was last published. */
export class ProgressPublisher {
  /** Last published counts by job id, as `done/running`. */
  private readonly lastPublished = new Map<string, string>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly jobService: Pick<JobService, 'recordProgress'>,
  ) {}

  /** Drops the state kept for a job that has ended. */
  forget(job: string): void {
    this.lastPublished.delete(job);
  }

  /** Publishes changed progress; with `all`, also unchanged progress, for peers that missed a message. */
  publish(all: boolean): void {
    // Otherwise peers could take a leader that was deposed without noticing for the current one.
    if (!this.term.canActAsLeader()) return;
    const { context } = this.term;
    // Also sent with no jobs, since it announces the leader to peers that can't reach the store.
    const message = {
      kind: 'progress',
      member: context.settings.member,
      term: this.term.number,
      jobs: this.jobsToPublish(all),
    } as const;
    this.jobService.recordProgress(message);
    for (const peer of context.settings.peers)
      context.emit({ kind: 'peerMessage', member: peer.member, message });
  }

  private jobsToPublish(all: boolean): JobProgress[] {
    const changed: JobProgress[] = [];
    for (const job of this.term.cluster.jobs.values()) {
      if (job.phase === 'ended' || job.blockedOnDependencies) continue;
      const progress = { id: job.id, done: job.done.count, running: job.runningCount() };
      const counts = `${progress.done}/${progress.running}`;
      if (this.lastPublished.get(job.id) === counts && !all) continue;
      this.lastPublished.set(job.id, counts);
      changed.push(progress);
      if (changed.length >= MAX_JOBS_PER_MESSAGE) break;
    }
    return changed;
  }
}
