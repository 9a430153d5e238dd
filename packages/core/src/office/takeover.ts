/** What a new leader reads of its predecessors, and how it hears of jobs from then on. */
import { MACHINES, JOBS, PLACES, PROGRESS, ROSTER, TIMINGS } from '../base/keys.js';
import type { Item, Micros, StateEvent } from '../model.js';
import { MILLI } from '../model.js';
import type { Term } from './term.js';

const PAGE = 500;
const WATCH_MS = 8_000;

export interface TakeoverHost {
  /** All that was read; `read` gives the items under a prefix. `timings`: the stored summary, or null. */
  rebuild(read: (prefix: string) => readonly Item[], timings: Item | null): void;
  /** A job's record is there: as read anew, or as the watch tells. */
  appeared(id: string, value: unknown, version: number): void;
  /** A job's record is gone, by a change of this version or a later one. */
  vanished(id: string, version: number): void;
  /** All jobs there were at a revision: those not among them are gone. */
  present(ids: ReadonlySet<string>, revision: number): void;
}

export class Takeover {
  constructor(
    private readonly term: Term,
    private readonly host: TakeoverHost,
  ) {}

  /** Six reads at any size: the records come in pages. */
  start(): void {
    const lists = new Map<string, Item[]>();
    const prefixes = [JOBS, PLACES, ROSTER, PROGRESS, MACHINES];
    let revision = 0;
    const next = (i: number): void => {
      const prefix = prefixes[i];
      if (prefix !== undefined) {
        this.listAll(prefix, (items, rev) => {
          if (i === 0) revision = rev;
          lists.set(prefix, items);
          next(i + 1);
        });
        return;
      }
      this.term.ctx.state({ kind: 'get', key: TIMINGS }, 2, (t) => {
        if (this.term.stopped) return;
        this.host.rebuild((p) => lists.get(p) ?? [], t.kind === 'item' ? t.item : null);
        this.watch(revision);
      });
    };
    next(0);
  }

  private listAll(prefix: string, then: (items: Item[], revision: number) => void): void {
    let items: Item[] = [];
    let first: number | null = null;
    const page = (after: string | undefined): void => {
      this.term.ctx.state(
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
          first ??= r.revision;
          items = items.concat(r.items);
          const last = r.items.at(-1);
          if (r.more && last !== undefined) page(last.key);
          else then(items, first);
        },
      );
    };
    page(undefined);
  }

  private later(delay: Micros, run: () => void): void {
    this.term.after(delay, run);
  }

  private watch(after: number): void {
    this.term.ctx.state({ kind: 'watch', prefix: JOBS, after, waitMs: WATCH_MS }, 0, (r) => {
      if (this.term.stopped) return;
      if (r.kind === 'events') {
        for (const e of r.events) this.onJobEvent(e);
        this.watch(Math.max(after, r.revision));
      } else if (r.kind === 'tooOld') {
        this.resync();
      } else {
        this.later(200 * MILLI, () => {
          this.watch(after);
        });
      }
    });
  }

  private resync(): void {
    this.readJobs((revision) => {
      this.watch(revision);
    });
  }

  /** The watch may be minutes behind: what it tells later again changes nothing. */
  catchUp(done: () => void): void {
    this.readJobs(done);
  }

  private readJobs(then: (revision: number) => void): void {
    this.listAll(JOBS, (items, revision) => {
      const present = new Set(items.map((it) => it.key.slice(JOBS.length)));
      for (const it of items) this.host.appeared(it.key.slice(JOBS.length), it.value, it.version);
      this.host.present(present, revision);
      then(revision);
    });
  }

  private onJobEvent(e: StateEvent): void {
    const id = e.key.slice(JOBS.length);
    if (e.kind === 'put') this.host.appeared(id, e.value, e.version);
    else this.host.vanished(id, e.version);
  }
}
