/** How jobs end: results counted, the record moved from `j/` to `t/`, and what others had to hear of it. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { JobOutcome } from './dependencies.js';
import { activeKey, endedKey, LEAD } from '../codecs/keys.js';
import { MILLI, SECOND } from '../domain/time.js';
import { encodeEndedJob, decodeEndedJob } from '../codecs/job-codec.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

export interface CompletionEvents {
  /** Polls on this node are answered from now on by how the job ended. */
  told(id: string, stage: 'done' | 'cancelled', done: number): void;
  /** It waits for nothing any more, and its end is known, or to be read from its record. */
  ended(job: ActiveJob, end: JobOutcome | null): void;
  stop(a: TaskAttempt): void;
  /** Its progress need not be kept any more. */
  dropProgress(job: ActiveJob): void;
  /** Nothing of it is left anywhere. */
  forget(job: ActiveJob): void;
}

export class JobCompletion {
  constructor(
    private readonly term: LeaderTerm,
    private readonly host: CompletionEvents,
  ) {}

  markDone(job: ActiveJob, index: number): void {
    if (index >= job.spec.tasks) return;
    let added = false;
    if (job.spec.shape === 'gang') {
      // The members of a gang complete together.
      for (let i = 0; i < job.spec.tasks; i++) added = job.done.add(i) || added;
    } else added = job.done.add(index);
    if (!added) return;
    job.consecutiveFailures = 0;
    job.progressDirty = true;
    this.term.ctx.debug('task.completed', { job: job.id, task: index, done: job.done.count });
    if (job.isComplete) this.finish(job);
    this.term.schedulePass();
  }

  /**
   * Its record moved: mostly because its user cancelled it. Nothing of it is started from here on. Jobs that
   * need it go by what its record says, which is read if that is not known.
   */
  ended(job: ActiveJob, stage: 'done' | 'cancelled' | null): void {
    if (job.phase === 'ended') return;
    const { ctx } = this.term;
    job.phase = 'ended';
    job.cancelled = stage !== 'done';
    ctx.info('job.dependency_failed', {
      job: job.id,
      live: job.liveAttempts.size,
      doomed: job.dependencyFailed,
    });
    this.host.ended(job, stage === null ? null : { stage, at: ctx.wallNow });
    for (const a of [...job.liveAttempts.values()]) this.host.stop(a);
    this.host.dropProgress(job);
    this.dropIfEmpty(job);
    this.term.schedulePass();
  }

  dropIfEmpty(job: ActiveJob): void {
    if (job.phase === 'ended' && job.liveAttempts.size === 0) this.host.forget(job);
  }

  /** Written at once, not gathered: a poll three seconds later must see it. */
  finish(job: ActiveJob): void {
    if (job.phase !== 'active' || this.term.stopped) return;
    const { ctx, lease: office, election: leadership } = this.term;
    job.phase = 'finishing';
    const at = ctx.wallNow;
    ctx.requestStore(
      {
        kind: 'txn',
        conditions: [
          { key: LEAD, version: office.keyVersion },
          { key: activeKey(job.id), version: job.version },
        ],
        writes: [
          { kind: 'delete', key: activeKey(job.id) },
          {
            kind: 'put',
            key: endedKey(job.id),
            value: encodeEndedJob(job.spec, 'done', job.spec.tasks, ctx.wallNow),
          },
        ],
      },
      1,
      (r) => {
        if (this.term.stopped) return;
        if (r.kind === 'ok') {
          job.phase = 'ended';
          this.host.told(job.id, 'done', job.spec.tasks);
          ctx.info('job.completed', { job: job.id, afterS: (ctx.wallNow - job.acceptedAt) / SECOND });
          this.host.dropProgress(job);
          this.host.ended(job, { stage: 'done', at });
          this.dropIfEmpty(job);
          return;
        }
        if (r.kind === 'conflict' && r.failed.includes(LEAD)) {
          leadership.stepDown('fenced');
          return;
        }
        if (r.kind === 'conflict') {
          // Its record moved: cancelled, or an earlier try of this write was executed after all.
          this.confirm(job);
          return;
        }
        job.phase = 'active';
        ctx.after(r.kind === 'refused' ? 5 * SECOND : 200 * MILLI, () => {
          this.finish(job);
        });
      },
    );
  }

  /** Reads how a job ended whose record moved without this leader's doing. */
  confirm(job: ActiveJob): void {
    this.term.ctx.requestStore({ kind: 'get', key: endedKey(job.id) }, 1, (r) => {
      if (this.term.stopped) return;
      if (r.kind === 'item') {
        const rec = decodeEndedJob(r.item.value);
        if (job.phase !== 'ended') job.phase = 'active';
        if (rec?.stage === 'done') this.host.told(job.id, 'done', rec.done);
        this.ended(job, rec?.stage ?? null);
        return;
      }
      this.term.after(300 * MILLI, () => {
        this.confirm(job);
      });
    });
  }
}
