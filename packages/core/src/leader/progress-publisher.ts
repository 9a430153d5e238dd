/** Counts of done and running tasks for display, to the other controllers and to this one's users. */
import type { JobProgress } from '../domain/peer.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { JobService } from '../api/job-service.js';

/** Jobs that one message tells of; the others follow with the next. */
const MAX_NOTES = 1_000;

export class ProgressPublisher {
  /** What was published last, by job. */
  private readonly published = new Map<string, string>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly desk: Pick<JobService, 'recordProgress'>,
  ) {}

  /** The job is over: nothing more is published of it. */
  forget(job: string): void {
    this.published.delete(job);
  }

  /** Publishes what changed since the last time. `all`: what did not change too, for those who missed it. */
  publish(all: boolean): void {
    // Who was deposed and doesn't know it would else be taken for the leader by those who know less.
    if (!this.term.canActAsLeader()) return;
    const { ctx } = this.term;
    // Sent without counts too: it tells the others who leads, also those who can't ask the state service.
    const message = {
      kind: 'progress',
      member: ctx.settings.member,
      term: this.term.number,
      jobs: this.notes(all),
    } as const;
    this.desk.recordProgress(message);
    for (const peer of ctx.settings.peers) ctx.emit({ kind: 'peerMessage', member: peer.member, message });
  }

  private notes(all: boolean): JobProgress[] {
    const notes: JobProgress[] = [];
    for (const job of this.term.cluster.jobs.values()) {
      if (job.phase === 'ended' || job.blockedOnDependencies) continue;
      const note = { id: job.id, done: job.done.count, running: job.runningCount() };
      const text = `${note.done}/${note.running}`;
      if (this.published.get(job.id) === text && !all) continue;
      this.published.set(job.id, text);
      notes.push(note);
      if (notes.length >= MAX_NOTES) break;
    }
    return notes;
  }
}
