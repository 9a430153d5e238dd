/** Job completion: counts completed tasks, moves the record of an ended job from `j/` to `t/`, and reports its outcome. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import { decodeEndedJob, encodeEndedJob } from '../codecs/job-codec.js';
import { activeJobKey, endedJobKey, LEADER_KEY } from '../codecs/keys.js';
import type { StoreOperation, StoreReply } from '../domain/key-value-store.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { JobOutcome } from './dependency-graph.js';

/** Urgency of reads and writes of the records of ending jobs. */
const RECORD_URGENCY = 1;
/** Delay before a transaction that the state service refused is retried. */
const REFUSED_RETRY_US: Micros = 5 * SECOND;
/** Delay before a transaction without a usable reply is retried. */
const FAILED_RETRY_US: Micros = 200 * MILLISECOND;
/** Delay before the record of an ended job is read again, if it was missing or could not be read. */
const CONFIRM_RETRY_US: Micros = 300 * MILLISECOND;

/** Receives events about the end of jobs. */
export interface CompletionEvents {
  /** The outcome is recorded; this node answers polls with it from now on. */
  recordTerminalState(id: string, stage: 'done' | 'cancelled', done: number): void;
  /** The job has ended; if the outcome is null, it has yet to be read from the record. */
  ended(job: ActiveJob, outcome: JobOutcome | null): void;
  /** The attempt has to be stopped, since its job has ended. */
  stop(attempt: TaskAttempt): void;
  /** The job's progress no longer has to be stored. */
  dropProgress(job: ActiveJob): void;
  /** The job has ended and none of its attempts is left on any machine, so its state can be dropped. */
  forget(job: ActiveJob): void;
}

/** Records the completion and the cancellation of jobs during one leader's term. */
export class JobCompletion {
  constructor(
    private readonly term: LeaderTerm,
    private readonly host: CompletionEvents,
  ) {}

  /** Marks a task as complete, and ends its job if it was the last one. */
  markDone(job: ActiveJob, index: number): void {
    if (index >= job.spec.tasks) return;
    let added = false;
    if (job.spec.shape === 'gang') {
      // All tasks of a gang complete together.
      for (let i = 0; i < job.spec.tasks; i++) added = job.done.add(i) || added;
    } else added = job.done.add(index);
    if (!added) return;
    job.consecutiveFailures = 0;
    job.progressDirty = true;
    this.term.context.debug('task.completed', { job: job.id, task: index, done: job.done.count });
    if (job.isComplete) this.finish(job);
    this.term.schedulePass();
  }

  /**
   * Ends a job whose active record is gone, mostly because its user cancelled it. No more of its tasks are started, and its
   * running attempts are stopped. Its dependents follow the recorded outcome, which is read if `stage` is null.
   */
  recordEnd(job: ActiveJob, stage: 'done' | 'cancelled' | null): void {
    if (job.phase === 'ended') return;
    const { context } = this.term;
    job.phase = 'ended';
    job.cancelled = stage !== 'done';
    context.info('job.ended', {
      job: job.id,
      live: job.liveAttempts.size,
      doomed: job.dependencyFailed,
    });
    this.host.ended(job, stage === null ? null : { stage, endedAt: context.wallNow });
    for (const attempt of [...job.liveAttempts.values()]) this.host.stop(attempt);
    this.host.dropProgress(job);
    this.dropIfEmpty(job);
    this.term.schedulePass();
  }

  /** Drops the job's state if the job has ended and none of its attempts is left. */
  dropIfEmpty(job: ActiveJob): void {
    if (job.phase === 'ended' && job.liveAttempts.size === 0) this.host.forget(job);
  }

  /** Writes the end of a complete job at once, without batching: a poll three seconds later must see it. */
  finish(job: ActiveJob): void {
    if (job.phase !== 'active' || this.term.hasEnded) return;
    job.phase = 'finishing';
    const endedAt = this.term.context.wallNow;
    this.term.context.requestStore(this.endTransaction(job, endedAt), RECORD_URGENCY, (reply) => {
      if (!this.term.hasEnded) this.handleEndReply(job, endedAt, reply);
    });
  }

  private endTransaction(job: ActiveJob, endedAt: Micros): StoreOperation {
    const endedRecord = encodeEndedJob(job.spec, 'done', job.spec.tasks, endedAt);
    return {
      kind: 'txn',
      conditions: [
        { key: LEADER_KEY, version: this.term.lease.keyVersion },
        { key: activeJobKey(job.id), version: job.version },
      ],
      writes: [
        { kind: 'delete', key: activeJobKey(job.id) },
        { kind: 'put', key: endedJobKey(job.id), value: endedRecord },
      ],
    };
  }

  private handleEndReply(job: ActiveJob, endedAt: Micros, reply: StoreReply): void {
    if (reply.kind === 'ok') {
      this.completeEnd(job, endedAt);
      return;
    }
    if (reply.kind === 'conflict') {
      if (reply.failed.includes(LEADER_KEY)) this.term.election.stepDown('fenced');
      // The job's record has changed: it was cancelled, or an earlier try of this transaction was executed after all.
      else this.readOutcome(job);
      return;
    }
    job.phase = 'active';
    this.term.context.after(reply.kind === 'refused' ? REFUSED_RETRY_US : FAILED_RETRY_US, () => {
      this.finish(job);
    });
  }

  private completeEnd(job: ActiveJob, endedAt: Micros): void {
    const { context } = this.term;
    job.phase = 'ended';
    this.host.recordTerminalState(job.id, 'done', job.spec.tasks);
    context.info('job.completed', { job: job.id, afterS: (context.wallNow - job.acceptedAt) / SECOND });
    this.host.dropProgress(job);
    this.host.ended(job, { stage: 'done', endedAt });
    this.dropIfEmpty(job);
  }

  /** Reads the outcome of a job that was ended by another node, or by an earlier try of this leader. */
  readOutcome(job: ActiveJob): void {
    this.term.context.requestStore({ kind: 'get', key: endedJobKey(job.id) }, RECORD_URGENCY, (reply) => {
      if (this.term.hasEnded) return;
      if (reply.kind === 'item') {
        const record = decodeEndedJob(reply.item.value);
        if (job.phase !== 'ended') job.phase = 'active';
        if (record?.stage === 'done') this.host.recordTerminalState(job.id, 'done', record.done);
        this.recordEnd(job, record?.stage ?? null);
        return;
      }
      this.term.after(CONFIRM_RETRY_US, () => {
        this.readOutcome(job);
      });
    });
  }
}
