/**
 * Cancels the jobs that depend on a cancelled one: a few in each transaction, each by compare-and-swap on its own record.
 * All of them are queued at once, so that a chain of dependencies needs no round trip for each level. What a crash leaves
 * undone the next leader finds again, since it follows from the records alone.
 */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { encodeEndedJob } from '../codecs/job-codec.js';
import { activeJobKey, endedJobKey, LEADER_KEY } from '../codecs/keys.js';
import type { StoreOperation, StoreReply, StoreWrite, VersionCondition } from '../domain/key-value-store.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** Writes that the cancellation of one job takes. */
const WRITES_PER_JOB = 2;
/** Urgency of writing the cancellations. */
const WRITE_URGENCY = 1;
/** After which time a transaction that was refused is repeated with fewer jobs. */
const REFUSED_RETRY_US: Micros = SECOND;
/** After which time a transaction that got no usable answer is repeated. */
const FAILED_RETRY_US: Micros = 300 * MILLI;

/** What the propagation needs of the leader, and reports to it. */
export interface PropagationEvents {
  /** Version of the leader lease's key; all writes depend on it. */
  readonly leadVersion: number;
  /** Whether the leader's term still goes on. */
  isActive(): boolean;
  /** Another leader has been elected. */
  onFenced(): void;
  /** The job's record now states its cancellation. */
  cancelled(job: ActiveJob): void;
  /** The job's record changed meanwhile: its outcome has to be read. */
  recordMoved(job: ActiveJob): void;
}

/** Writes the cancellation of jobs whose dependencies failed. */
export class DependencyFailurePropagation {
  private queue: ActiveJob[] = [];
  /** Whether a transaction is under way or scheduled. */
  private busy = false;
  /** Most jobs in one transaction. */
  private batchLimit: number;

  constructor(
    private readonly context: NodeContext,
    private readonly host: PropagationEvents,
  ) {
    this.batchLimit = Math.max(1, Math.floor(context.settings.maxTransactionOperations / WRITES_PER_JOB));
  }

  /** Queues jobs for cancellation. */
  add(jobs: readonly ActiveJob[]): void {
    this.queue.push(...jobs);
    if (!this.busy) this.flush();
  }

  private flushAfter(delay: Micros): void {
    this.context.after(delay, () => {
      if (this.host.isActive()) this.flush();
    });
  }

  private flush(): void {
    this.queue = this.queue.filter((job) => job.phase === 'active');
    const batch = this.queue.slice(0, this.batchLimit);
    this.busy = batch.length > 0;
    if (batch.length === 0) return;
    this.context.requestStore(this.cancellationOf(batch), WRITE_URGENCY, (reply) => {
      if (this.host.isActive()) this.handleReply(batch, reply);
    });
  }

  private cancellationOf(batch: readonly ActiveJob[]): StoreOperation {
    const conditions: VersionCondition[] = [{ key: LEADER_KEY, version: this.host.leadVersion }];
    const writes: StoreWrite[] = [];
    for (const job of batch) {
      conditions.push({ key: activeJobKey(job.id), version: job.version });
      writes.push(
        { kind: 'delete', key: activeJobKey(job.id) },
        {
          kind: 'put',
          key: endedJobKey(job.id),
          value: encodeEndedJob(job.spec, 'cancelled', 0, this.context.wallNow),
        },
      );
    }
    return { kind: 'txn', conditions, writes };
  }

  private handleReply(batch: readonly ActiveJob[], reply: StoreReply): void {
    if (reply.kind === 'ok') {
      for (const job of batch) this.host.cancelled(job);
      this.flush();
    } else if (reply.kind === 'conflict') {
      if (reply.failed.includes(LEADER_KEY)) this.host.onFenced();
      else this.handleConflict(batch, new Set(reply.failed));
    } else if (reply.kind === 'refused') {
      this.batchLimit = Math.max(1, Math.floor(this.batchLimit / 2));
      this.flushAfter(REFUSED_RETRY_US);
    } else this.flushAfter(FAILED_RETRY_US);
  }

  /** Records moved: their users cancelled the jobs too, or an earlier try of this transaction was executed after all. */
  private handleConflict(batch: readonly ActiveJob[], failedKeys: ReadonlySet<string>): void {
    this.queue = this.queue.filter((job) => !failedKeys.has(activeJobKey(job.id)));
    for (const job of batch) if (failedKeys.has(activeJobKey(job.id))) this.host.recordMoved(job);
    this.flush();
  }
}
