/** Restores the state stored by earlier leaders when a term begins, then watches the job records for changes. */
import {
  ACTIVE_JOBS_PREFIX,
  jobIdOfActiveKey,
  LARGE_PROGRESS_PREFIX,
  LEGACY_MACHINES_PREFIX,
  MACHINE_PAGES_PREFIX,
  PROGRESS_PAGES_PREFIX,
  RUNTIME_SUMMARY_KEY,
} from '../codecs/keys.js';
import type { StoredItem, StoreEvent, StoreReply } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CancellationFreshness } from './cancellation-freshness.js';
import { listAllItems, type ListingTerm } from './paged-list.js';

/** Key prefixes that a new leader reads. Jobs come first, because workers are answered as soon as those are known. */
const RESTORED_PREFIXES = [
  ACTIVE_JOBS_PREFIX,
  PROGRESS_PAGES_PREFIX,
  MACHINE_PAGES_PREFIX,
  LARGE_PROGRESS_PREFIX,
  LEGACY_MACHINES_PREFIX,
] as const;

/** Upper bound of the time that a watch request waits for a change. */
const MAX_WATCH_MS = 8_000;
/** Lower bound of that time, for short cancellation deadlines. */
const MIN_WATCH_MS = 100;
/**
 * Wait of a watch request as a fraction of the maximum age of the leader's cancellation data. An open watch confirms
 * nothing until it is answered.
 */
const WATCH_FRACTION_OF_MAX_AGE = 0.25;
const WATCH_RETRY_DELAY_US: Micros = 200 * MILLISECOND;
/** Pause between requests for changes that do not wait, while the watch is late. */
const PROBE_INTERVAL_US: Micros = SECOND;

/** The part of the leader's term that `Failover` depends on. */
export interface FailoverTerm extends ListingTerm {
  readonly context: Pick<NodeContext, 'now' | 'requestStore' | 'info'>;
  /** Whether the records of earlier leaders have been read. */
  readonly isRestored: boolean;
  /** Ids of the jobs that were active when they were listed; null until then. Set by `Failover`. */
  activeJobIds: ReadonlySet<string> | null;
}

/** Receives the records that `Failover` reads. */
export interface FailoverEvents {
  /** All records are read: `read` returns the items under a prefix, `timings` is the stored runtime summary, if any. */
  restore(read: (prefix: string) => readonly StoredItem[], timings: StoredItem | null): void;
  /** A job's record was created or changed, as found by a watch or a list. */
  jobRecordPut(id: string, value: unknown, version: number): void;
  /** A job's record was deleted by a change with this version. */
  jobRecordDeleted(id: string, version: number): void;
  /** `ids` are all jobs that existed at this revision; any other job was deleted. */
  jobsListed(ids: ReadonlySet<string>, revision: number): void;
}

/** Reads the store for a new leader, and watches the job records until the term ends. */
export class Failover {
  /**
   * All job changes up to this revision are applied to the cluster state. Changes received again are ignored: a delayed
   * watch reply can report that a job was created after a list has already shown that it ended.
   */
  private appliedRevision = 0;
  private isProbing = false;

  constructor(
    private readonly term: FailoverTerm,
    private readonly freshness: CancellationFreshness,
    private readonly events: FailoverEvents,
  ) {}

  /**
   * Reads all records, then reports `restore` and starts the watch. Records are packed into pages, so that this takes six
   * reads whatever the size of the cluster.
   */
  start(): void {
    const listed = new Map<string, StoredItem[]>();
    const listNext = (index: number): void => {
      const prefix = RESTORED_PREFIXES[index];
      if (prefix === undefined) {
        this.restore(listed);
        return;
      }
      listAllItems(this.term, prefix, ({ items, revision, requestedAt }) => {
        if (prefix === ACTIVE_JOBS_PREFIX) {
          this.appliedRevision = revision;
          this.term.activeJobIds = new Set(items.map((item) => jobIdOfActiveKey(item.key)));
          this.freshness.confirmUpTo(requestedAt);
        }
        listed.set(prefix, items);
        listNext(index + 1);
      });
    };
    listNext(0);
  }

  /**
   * Requests changes without waiting if the watch is late, and lists all jobs again if that fails too. Meant to be called
   * periodically; does nothing while the cancellation data is recent.
   */
  probeIfStale(): void {
    const { now } = this.term.context;
    if (this.isProbing || !this.term.isRestored || !this.freshness.isProbeDue(now)) return;
    this.isProbing = true;
    const pause = (): void => {
      this.term.after(PROBE_INTERVAL_US, () => {
        this.isProbing = false;
      });
    };
    this.requestChanges(0, (succeeded) => {
      if (succeeded) pause();
      else this.listJobs(pause);
    });
  }

  private restore(listed: ReadonlyMap<string, readonly StoredItem[]>): void {
    this.term.context.requestStore({ kind: 'get', key: RUNTIME_SUMMARY_KEY }, 2, (reply) => {
      if (this.term.hasEnded) return;
      this.events.restore((prefix) => listed.get(prefix) ?? [], reply.kind === 'item' ? reply.item : null);
      // Does not wait: jobs may have changed while the other records were read.
      this.watch(0);
    });
  }

  private get watchMs(): number {
    const fraction = Math.floor((this.freshness.maxAgeUs * WATCH_FRACTION_OF_MAX_AGE) / MILLISECOND);
    return Math.min(MAX_WATCH_MS, Math.max(MIN_WATCH_MS, fraction));
  }

  private watch(waitMs = this.watchMs): void {
    this.requestChanges(waitMs, (succeeded) => {
      if (succeeded) this.watch();
      else
        this.term.after(WATCH_RETRY_DELAY_US, () => {
          this.watch();
        });
    });
  }

  /**
   * Requests all changes after the last applied revision. Only a reply, whether or not the request waited, shows that all
   * cancellations confirmed before the request was sent are known.
   */
  private requestChanges(waitMs: number, onReply: (succeeded: boolean) => void): void {
    const requestedAt = this.term.context.now;
    const after = this.appliedRevision;
    this.term.context.requestStore(
      { kind: 'watch', prefix: ACTIVE_JOBS_PREFIX, after, waitMs },
      0,
      (reply) => {
        if (this.term.hasEnded) return;
        if (reply.kind === 'tooOld') {
          this.listJobs(() => {
            onReply(true);
          });
          return;
        }
        onReply(reply.kind === 'events' && this.applyChanges(reply, after, requestedAt));
      },
    );
  }

  /** Returns whether the reply was applied. A reply with a revision before `after` is stale and confirms nothing. */
  private applyChanges(reply: StoreReply & { kind: 'events' }, after: number, requestedAt: Micros): boolean {
    if (reply.revision < after) {
      this.term.context.info('watch.revision_regressed', { to: reply.revision, from: after });
      return false;
    }
    for (const event of reply.events) if (event.version > this.appliedRevision) this.applyJobEvent(event);
    this.appliedRevision = Math.max(this.appliedRevision, reply.revision);
    this.freshness.confirmUpTo(requestedAt);
    return true;
  }

  private listJobs(onListed: () => void): void {
    listAllItems(this.term, ACTIVE_JOBS_PREFIX, ({ items, revision, requestedAt }) => {
      const present = new Set(items.map((item) => jobIdOfActiveKey(item.key)));
      for (const item of items)
        if (item.version > this.appliedRevision)
          this.events.jobRecordPut(jobIdOfActiveKey(item.key), item.value, item.version);
      this.events.jobsListed(present, revision);
      this.appliedRevision = Math.max(this.appliedRevision, revision);
      this.freshness.confirmUpTo(requestedAt);
      onListed();
    });
  }

  private applyJobEvent(event: StoreEvent): void {
    const id = jobIdOfActiveKey(event.key);
    if (event.kind === 'put') this.events.jobRecordPut(id, event.value, event.version);
    else this.events.jobRecordDeleted(id, event.version);
  }
}
