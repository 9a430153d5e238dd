/** Publishes the counts of done and running tasks to the other controllers, and to the users of this one. */
import type { JobService } from '../api/job-service.js';
import type { JobProgress } from '../domain/peer.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** The most jobs in one message; the others follow with the next. */
const MAX_JOBS_PER_MESSAGE = 1_000;

/** Publishes what changed since the last time. */
export class ProgressPublisher {
  /** What was published last, by job. */
  private readonly published = new Map<string, string>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly jobService: Pick<JobService, 'recordProgress'>,
  ) {}

  /** The job has ended: nothing more is published of it. */
  forget(job: string): void {
    this.published.delete(job);
  }

  /** Publishes what changed since the last time; with `all` also what did not, for peers that missed it. */
  publish(all: boolean): void {
    // A leader that was deposed without noticing would else pass for the leader with peers that know less.
    if (!this.term.canActAsLeader()) return;
    const { context: ctx } = this.term;
    // Sent without any counts too: it announces the leader, also to peers that can't reach the store.
    const message = {
      kind: 'progress',
      member: ctx.settings.member,
      term: this.term.number,
      jobs: this.jobsToPublish(all),
    } as const;
    this.jobService.recordProgress(message);
    for (const peer of ctx.settings.peers) ctx.emit({ kind: 'peerMessage', member: peer.member, message });
  }

  private jobsToPublish(all: boolean): JobProgress[] {
    const changed: JobProgress[] = [];
    for (const job of this.term.cluster.jobs.values()) {
      if (job.phase === 'ended' || job.blockedOnDependencies) continue;
      const progress = { id: job.id, done: job.done.count, running: job.runningCount() };
      const text = `${progress.done}/${progress.running}`;
      if (this.published.get(job.id) === text && !all) continue;
      this.published.set(job.id, text);
      changed.push(progress);
      if (changed.length >= MAX_JOBS_PER_MESSAGE) break;
    }
    return changed;
  }
}
