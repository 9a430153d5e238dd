/**
 * Reads the outcomes of jobs whose end this leader has not written itself, with limited concurrency. After a failover,
 * these are all ended jobs that others still depend on.
 */
import { decodeEndedJob } from '../codecs/job-codec.js';
import { endedJobKey } from '../codecs/keys.js';
import type { StoredItem } from '../domain/key-value-store.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobOutcome } from './dependency-graph.js';

/** Maximum number of concurrent reads. */
const MAX_CONCURRENT_READS = 6;
/** Urgency of record reads. */
const READ_URGENCY = 1;
/** Delay before a record that could not be decoded is read again. */
const UNREADABLE_RETRY_US: Micros = 10 * SECOND;
/** Delay before a missing record is read again. */
const MISSING_RETRY_US: Micros = 400 * MILLISECOND;

/** Reads the records of ended jobs that others depend on. */
export class DependencyOutcomeResolver {
  /** Ids of jobs whose records are queued or being read. */
  private readonly requested = new Set<string>();
  private readonly queue: string[] = [];
  private readsInFlight = 0;

  constructor(
    private readonly context: NodeContext,
    /** Whether this leader's term has not ended. */
    private readonly isActive: () => boolean,
    /** Whether a job has ended, as far as the leader knows, and others still await its outcome. */
    private readonly isAwaited: (id: string) => boolean,
    /** Called with the outcome of a job once its record is read. */
    private readonly onResolved: (id: string, outcome: JobOutcome) => void,
  ) {}

  /** Reads the record of an ended job, with retries until it is found or no longer needed. */
  resolve(id: string): void {
    if (this.requested.has(id)) return;
    this.requested.add(id);
    this.queue.push(id);
    this.startReads();
  }

  private startReads(): void {
    while (this.readsInFlight < MAX_CONCURRENT_READS) {
      const id = this.queue.shift();
      if (id === undefined) return;
      this.readsInFlight++;
      this.read(id);
    }
  }

  private read(id: string): void {
    this.context.requestStore({ kind: 'get', key: endedJobKey(id) }, READ_URGENCY, (reply) => {
      if (!this.isActive()) return;
      this.readsInFlight--;
      this.requested.delete(id);
      if (reply.kind === 'item') this.decode(id, reply.item);
      // The record is missing: the job has not ended, and this leader doesn't know yet that it was accepted.
      else this.retryAfter(id, MISSING_RETRY_US);
      this.startReads();
    });
  }

  private decode(id: string, item: StoredItem): void {
    const record = decodeEndedJob(item.value);
    if (record !== null) {
      this.onResolved(id, { stage: record.stage, endedAt: record.endedAt });
      return;
    }
    this.context.error('job.record_unreadable', { job: id });
    this.retryAfter(id, UNREADABLE_RETRY_US);
  }

  private retryAfter(id: string, delay: Micros): void {
    this.context.after(delay, () => {
      if (this.isActive() && this.isAwaited(id)) this.resolve(id);
    });
  }
}
