/** Reads how jobs ended, a few at a time: after a failover, every ended job that another one still depends on. */
import { decodeEndedJob } from '../codecs/job-codec.js';
import { endedJobKey } from '../codecs/keys.js';
import type { StoredItem } from '../domain/key-value-store.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobOutcome } from './dependency-graph.js';

/** Most records that are read at the same time. */
const MAX_CONCURRENT_READS = 6;
/** Urgency of reading a record. */
const READ_URGENCY = 1;
/** After which time a record that could not be decoded is read again. */
const UNREADABLE_RETRY_US: Micros = 10 * SECOND;
/** After which time a record that is not there yet is read again. */
const MISSING_RETRY_US: Micros = 400 * MILLI;

/** Finds out how jobs ended whose records this leader has not written itself. */

/** Reads the records of ended jobs that others depend on. */
export class DependencyOutcomeResolver {
  /** Jobs that are queued or being read. */
  private readonly requested = new Set<string>();
  private readonly queue: string[] = [];
  private readsInFlight = 0;

  constructor(
    private readonly context: NodeContext,
    /** Whether this leader's term still goes on. */
    private readonly active: () => boolean,
    /** Whether another job still depends on it, and it is no longer among the jobs that have not ended. */
    private readonly isAwaited: (id: string) => boolean,
    /** Receives the outcome that a record holds. */
    private readonly onResolved: (id: string, outcome: JobOutcome) => void,
  ) {}

  /** Reads the record of an ended job, repeatedly until it is there or no longer needed. */
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
      if (!this.active()) return;
      this.readsInFlight--;
      this.requested.delete(id);
      if (reply.kind === 'item') this.decode(id, reply.item);
      // Not there: the job has not ended yet, and this leader has still to learn that it was accepted.
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
      if (this.active() && this.isAwaited(id)) this.resolve(id);
    });
  }
}
