/** What a new leader reads of its predecessors, and how it hears of jobs from then on. */
import { idOfActive, MACHINES, JOBS, PLACES, PROGRESS, ROSTER, TIMINGS } from '../codecs/keys.js';
import type { StoredItem, StoreEvent } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import type { CancellationFreshness } from './cancellation-freshness.js';
import type { LeaderTerm } from './leader-term.js';

const PAGE = 500;
const WATCH_MS = 8_000;
/** An open watch proves nothing before it is answered: it lasts for so much of what knowledge may be old at most. */
const WATCH_PART = 0.25;
/** How often what is known is asked for by itself once the watch is late. */
const PROBE_EVERY: Micros = SECOND;

export interface FailoverEvents {
  /** All that was read; `read` gives the items under a prefix. `timings`: the stored summary, or null. */
  restore(read: (prefix: string) => readonly StoredItem[], timings: StoredItem | null): void;
  /** A job's record is there: as read anew, or as the watch tells. */
  jobPut(id: string, value: unknown, version: number): void;
  /** A job's record is gone, by a change of this version or a later one. */
  jobDeleted(id: string, version: number): void;
  /** All jobs there were at a revision: those not among them are gone. */
  jobsListed(ids: ReadonlySet<string>, revision: number): void;
}

interface Listed {
  readonly items: StoredItem[];
  /** Of the first page: what changed later may or may not be in the list. */
  readonly revision: number;
  /** When the first page was asked for. */
  readonly sent: Micros;
}

export class Failover {
  /**
   * All changes of jobs up to this revision are in the picture. What tells of them again changes nothing: a watch that
   * had hung once told of a job's beginning after a list had shown its end.
   */
  private cursor = 0;
  private probing = false;

  constructor(
    private readonly term: LeaderTerm,
    private readonly freshness: CancellationFreshness,
    private readonly host: FailoverEvents,
  ) {}

  /** Six reads at any size: the records come in pages. The jobs come first: workers are answered from then on. */
  start(): void {
    const lists = new Map<string, StoredItem[]>();
    const prefixes = [JOBS, PLACES, ROSTER, PROGRESS, MACHINES];
    const next = (i: number): void => {
      const prefix = prefixes[i];
      if (prefix !== undefined) {
        this.listAll(prefix, ({ items, revision, sent }) => {
          if (prefix === JOBS) {
            this.cursor = revision;
            this.term.unendedJobs = new Set(items.map((it) => idOfActive(it.key)));
            this.freshness.confirmUpTo(sent);
          }
          lists.set(prefix, items);
          next(i + 1);
        });
        return;
      }
      this.term.ctx.requestStore({ kind: 'get', key: TIMINGS }, 2, (t) => {
        if (this.term.stopped) return;
        this.host.restore((p) => lists.get(p) ?? [], t.kind === 'item' ? t.item : null);
        // What changed while the rest was read is asked for at once.
        this.watch(0);
      });
    };
    next(0);
  }

  private listAll(prefix: string, then: (l: Listed) => void): void {
    let items: StoredItem[] = [];
    let first: { revision: number; sent: Micros } | null = null;
    const page = (after: string | undefined): void => {
      const sent = this.term.ctx.now;
      this.term.ctx.requestStore(
        { kind: 'list', prefix, limit: PAGE, ...(after === undefined ? {} : { after }) },
        0,
        (r) => {
          if (this.term.stopped) return;
          if (r.kind !== 'items') {
            this.later(300 * MILLI, () => {
              page(after);
            });
            return;
          }
          // However long the others take: a job on this page may have ended since.
          first ??= { revision: r.revision, sent };
          items = items.concat(r.items);
          const last = r.items.at(-1);
          if (r.more && last !== undefined) page(last.key);
          else then({ items, ...first });
        },
      );
    };
    page(undefined);
  }

  private later(delay: Micros, run: () => void): void {
    this.term.after(delay, run);
  }

  private get watchMs(): number {
    return Math.min(WATCH_MS, Math.max(100, Math.floor((this.freshness.maxAgeUs * WATCH_PART) / MILLI)));
  }

  private watch(waitMs = this.watchMs): void {
    this.follow(waitMs, (ok) => {
      if (ok) this.watch();
      else
        this.later(200 * MILLI, () => {
          this.watch();
        });
    });
  }

  /**
   * Asks for all changes since the last that is known. An answer shows what was confirmed before it was asked for,
   * whether it waited or not; nothing else does.
   */
  private follow(waitMs: number, then: (ok: boolean) => void): void {
    const sent = this.term.ctx.now;
    const after = this.cursor;
    this.term.ctx.requestStore({ kind: 'watch', prefix: JOBS, after, waitMs }, 0, (r) => {
      if (this.term.stopped) return;
      if (r.kind === 'events' && r.revision >= after) {
        for (const e of r.events) if (e.version > this.cursor) this.onJobEvent(e);
        this.cursor = Math.max(this.cursor, r.revision);
        this.freshness.confirmUpTo(sent);
        then(true);
      } else if (r.kind === 'tooOld') {
        this.readJobs(() => {
          then(true);
        });
      } else {
        if (r.kind === 'events')
          this.term.ctx.info('watch.revision_regressed', { to: r.revision, from: after });
        then(false);
      }
    });
  }

  /** To be called often: asks beside a watch that isn't answered, and reads the jobs anew if that isn't either. */
  probeIfStale(): void {
    const { now } = this.term.ctx;
    if (this.probing || !this.term.ready || !this.freshness.isProbeDue(now)) return;
    this.probing = true;
    const rest = (): void => {
      this.later(PROBE_EVERY, () => {
        this.probing = false;
      });
    };
    this.follow(0, (ok) => {
      if (ok) rest();
      else this.readJobs(rest);
    });
  }

  private readJobs(then: () => void): void {
    this.listAll(JOBS, ({ items, revision, sent }) => {
      const present = new Set(items.map((it) => idOfActive(it.key)));
      for (const it of items)
        if (it.version > this.cursor) this.host.jobPut(idOfActive(it.key), it.value, it.version);
      this.host.jobsListed(present, revision);
      this.cursor = Math.max(this.cursor, revision);
      this.freshness.confirmUpTo(sent);
      then();
    });
  }

  private onJobEvent(e: StoreEvent): void {
    const id = idOfActive(e.key);
    if (e.kind === 'put') this.host.jobPut(id, e.value, e.version);
    else this.host.jobDeleted(id, e.version);
  }
}
