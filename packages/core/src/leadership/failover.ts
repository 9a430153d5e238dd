/** Reads the records of earlier leaders when a term begins, and follows changes of job records from then on. */
import {
  ACTIVE_JOBS_PREFIX,
  FORMER_MACHINES_PREFIX,
  jobIdOfActiveKey,
  LARGE_PROGRESS_PREFIX,
  MACHINE_PAGES_PREFIX,
  PROGRESS_PAGES_PREFIX,
  RUNTIME_SUMMARY_KEY,
} from '../codecs/keys.js';
import type { StoredItem, StoreEvent, StoreReply } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CancellationFreshness } from './cancellation-freshness.js';
import { listAllItems, type ListingTerm } from './paged-list.js';

/** What a new leader reads. The jobs come first: workers are answered from then on. */
const PREFIXES_TO_RESTORE = [
  ACTIVE_JOBS_PREFIX,
  PROGRESS_PAGES_PREFIX,
  MACHINE_PAGES_PREFIX,
  LARGE_PROGRESS_PREFIX,
  FORMER_MACHINES_PREFIX,
] as const;

/** The longest and the shortest wait of a watch for changes. */
const MAX_WATCH_MS = 8_000;
const MIN_WATCH_MS = 100;
/**
 * How long a watch waits, as a part of the greatest age that the leader's knowledge of cancellations may have: an open
 * watch confirms nothing before it is answered.
 */
const WATCH_FRACTION_OF_MAX_AGE = 0.25;
const WATCH_RETRY_DELAY: Micros = 200 * MILLI;
/** How often changes are requested without waiting, once the watch is late. */
const PROBE_INTERVAL: Micros = SECOND;

/** What a failover needs of the leader's term. */
export interface FailoverTerm extends ListingTerm {
  readonly context: Pick<NodeContext, 'now' | 'requestStore' | 'info'>;
  /** The records of earlier leaders are read. */
  readonly isRestored: boolean;
  /** Ids of the jobs that had not ended when they were listed; set by the failover. */
  activeJobIds: ReadonlySet<string> | null;
}

/** Receives what a failover reads. */
export interface FailoverEvents {
  /** Everything is read; `read` returns the items under a prefix. `timings`: the stored summary, or null. */
  restore(read: (prefix: string) => readonly StoredItem[], timings: StoredItem | null): void;
  /** A job's record exists: from a list, or from a watch. */
  jobPut(id: string, value: unknown, version: number): void;
  /** A job's record was deleted, by a change of this version or a later one. */
  jobDeleted(id: string, version: number): void;
  /** All jobs that existed at a revision: those not among them are deleted. */
  jobsListed(ids: ReadonlySet<string>, revision: number): void;
}

/** A new leader's reading of the store, and its watch of job records while the term lasts. */
export class Failover {
  /**
   * All changes of jobs up to this revision are applied to the cluster state. A change that is received once more is
   * ignored: a watch that had hung once reported a job's creation after a list had shown that it had ended.
   */
  private appliedRevision = 0;
  private isProbing = false;

  constructor(
    private readonly term: FailoverTerm,
    private readonly freshness: CancellationFreshness,
    private readonly events: FailoverEvents,
  ) {}

  /** Reads all records, then calls `restore` and begins to watch. Six reads at any size, since records are packed. */
  start(): void {
    const listed = new Map<string, StoredItem[]>();
    const listNext = (index: number): void => {
      const prefix = PREFIXES_TO_RESTORE[index];
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
   * Requests changes without waiting when the watch is late, and lists the jobs anew if that fails too. To be called
   * often: does nothing while the knowledge of cancellations is fresh.
   */
  probeIfStale(): void {
    const { now } = this.term.context;
    if (this.isProbing || !this.term.isRestored || !this.freshness.isProbeDue(now)) return;
    this.isProbing = true;
    const pause = (): void => {
      this.term.after(PROBE_INTERVAL, () => {
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
      // Jobs may have changed while the rest was read.
      this.watch(0);
    });
  }

  private get watchMs(): number {
    const fraction = Math.floor((this.freshness.maxAgeUs * WATCH_FRACTION_OF_MAX_AGE) / MILLI);
    return Math.min(MAX_WATCH_MS, Math.max(MIN_WATCH_MS, fraction));
  }

  private watch(waitMs = this.watchMs): void {
    this.requestChanges(waitMs, (succeeded) => {
      if (succeeded) this.watch();
      else
        this.term.after(WATCH_RETRY_DELAY, () => {
          this.watch();
        });
    });
  }

  /**
   * Requests all changes since the last that was applied. A reply shows what was confirmed before it was requested,
   * whether it waited or not; nothing else does.
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

  /** Returns whether the reply was applied: one of a revision before `after` confirms nothing. */
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
          this.events.jobPut(jobIdOfActiveKey(item.key), item.value, item.version);
      this.events.jobsListed(present, revision);
      this.appliedRevision = Math.max(this.appliedRevision, revision);
      this.freshness.confirmUpTo(requestedAt);
      onListed();
    });
  }

  private applyJobEvent(event: StoreEvent): void {
    const id = jobIdOfActiveKey(event.key);
    if (event.kind === 'put') this.events.jobPut(id, event.value, event.version);
    else this.events.jobDeleted(id, event.version);
  }
}
