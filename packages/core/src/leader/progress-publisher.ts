/** Counts of done and running tasks for display, to the other controllers and to this one's users. */
import type { JobProgress } from '../domain/peer.js';
import type { Term } from '../leadership/leader-term.js';
import type { Desk } from '../api/job-service.js';

/** Jobs that one message tells of; the others follow with the next. */
const MAX_NOTES = 1_000;

export class ProgressPublisher {
  /** What was published last, by job. */
  private readonly published = new Map<string, string>();

  constructor(
    private readonly term: Term,
    private readonly desk: Pick<Desk, 'noteProgress'>,
  ) {}

  /** The job is over: nothing more is published of it. */
  forget(job: string): void {
    this.published.delete(job);
  }

  /** Publishes what changed since the last time. `all`: what did not change too, for those who missed it. */
  publish(all: boolean): void {
    // Who was deposed and doesn't know it would else be taken for the leader by those who know less.
    if (!this.term.entitled()) return;
    const { ctx } = this.term;
    // Sent without counts too: it tells the others who leads, also those who can't ask the state service.
    const message = {
      kind: 'progress',
      member: ctx.settings.member,
      term: this.term.no,
      jobs: this.notes(all),
    } as const;
    this.desk.noteProgress(message);
    for (const peer of ctx.settings.peers) ctx.emit({ kind: 'peer', member: peer.member, message });
  }

  private notes(all: boolean): JobProgress[] {
    const notes: JobProgress[] = [];
    for (const job of this.term.estate.jobs.values()) {
      if (job.phase === 'ended' || job.held) continue;
      const note = { id: job.id, done: job.done.count, running: job.running() };
      const text = `${note.done}/${note.running}`;
      if (this.published.get(job.id) === text && !all) continue;
      this.published.set(job.id, text);
      notes.push(note);
      if (notes.length >= MAX_NOTES) break;
    }
    return notes;
  }
}
