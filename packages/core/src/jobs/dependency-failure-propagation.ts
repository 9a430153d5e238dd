/**
 * Cancels the jobs that depend on a cancelled one, in batched transactions with a compare-and-swap on each job's record.
 * All transitive dependents are queued at once, so a chain of dependencies needs no round trip per level. After a crash,
 * the next leader derives the remaining cancellations from the records alone.
 */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { encodeEndedJob } from '../codecs/job-codec.js';
import { activeJobKey, endedJobKey, LEADER_KEY } from '../codecs/keys.js';
import type { StoreOperation, StoreReply, StoreWrite, VersionCondition } from '../domain/key-value-store.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** Number of writes per cancelled job. */
const WRITES_PER_JOB = 2;
/** Urgency of the cancellation writes. */
const WRITE_URGENCY = 1;
/** Delay before a refused transaction is retried with fewer jobs. */
const REFUSED_RETRY_US: Micros = SECOND;
/** Delay before a transaction without a usable reply is retried. */
const FAILED_RETRY_US: Micros = 300 * MILLISECOND;

/** State of the leader that the propagation requires, and events that it reports. */
export interface PropagationEvents {
  /** Version of the leader key, on which all writes are conditional. */
  readonly leaderKeyVersion: number;
  /** Whether the leader's term has not ended. */
  isActive(): boolean;
  /** A write failed because another leader has been elected. */
  onFenced(): void;
  /** The job's cancellation is recorded. */
  cancelled(job: ActiveJob): void;
  /** The job's record was changed by another write, so its outcome has to be read. */
  recordChanged(job: ActiveJob): void;
}

/** Records the cancellation of jobs whose dependencies failed. */
export class DependencyFailurePropagation {
  private queue: ActiveJob[] = [];
  /** Whether a transaction is in flight or scheduled. */
  private transactionPending = false;
  /** Maximum number of jobs per transaction; halved after each refusal. */
  private batchLimit: number;

  constructor(
    private readonly context: NodeContext,
    private readonly host: PropagationEvents,
  ) {
    this.batchLimit = Math.max(1, Math.floor(context.settings.maxTransactionOperations / WRITES_PER_JOB));
  }

  /** Queues jobs for cancellation, and sends the next transaction unless one is pending. */
  add(jobs: readonly ActiveJob[]): void {
    this.queue.push(...jobs);
    if (!this.transactionPending) this.flush();
  }

  private flushAfter(delay: Micros): void {
    this.context.after(delay, () => {
      if (this.host.isActive()) this.flush();
    });
  }

  private flush(): void {
    this.queue = this.queue.filter((job) => job.phase === 'active');
    const batch = this.queue.slice(0, this.batchLimit);
    this.transactionPending = batch.length > 0;
    if (batch.length === 0) return;
    this.context.requestStore(this.cancelTransaction(batch), WRITE_URGENCY, (reply) => {
      if (this.host.isActive()) this.handleReply(batch, reply);
    });
  }

  private cancelTransaction(batch: readonly ActiveJob[]): StoreOperation {
    const conditions: VersionCondition[] = [{ key: LEADER_KEY, version: this.host.leaderKeyVersion }];
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

  /** Drops and reports jobs whose records changed: cancelled by their users, or by an earlier try of this transaction. */
  private handleConflict(batch: readonly ActiveJob[], failedKeys: ReadonlySet<string>): void {
    this.queue = this.queue.filter((job) => !failedKeys.has(activeJobKey(job.id)));
    for (const job of batch) if (failedKeys.has(activeJobKey(job.id))) this.host.recordChanged(job);
    this.flush();
  }
}
