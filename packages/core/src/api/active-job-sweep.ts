/**
 * Reads the records of all active jobs page by page, where single reads would take more requests: after a restart a
 * controller knows no job while thousands are polled.
 */
import { ACTIVE_JOBS_PREFIX } from '../codecs/keys.js';
import type { StoreOperation } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobLookup } from './job-lookup.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';

/** Records that one request asks for. */
const PAGE_ITEMS = 500;
/** Fewer missing records than this are read one by one. */
const MIN_MISSING = 8;
/** A page takes as much of a controller as several single reads, so that it has to spare more than one. */
const READS_PER_PAGE = 2;

/** One sweep at a time over the active jobs. */
export class ActiveJobSweep {
  private pagesOfLastSweep = 1;
  /** The key after which a sweep that was cut short goes on. */
  private resumeAfter: string | undefined;
  private underWay = false;
  /** Sweeps that were begun, and pages that were read. */
  readonly counts = { sweeps: 0, pages: 0 };

  constructor(
    private readonly context: NodeContext,
    private readonly lookups: JobLookup,
  ) {}

  /** Whether a sweep is under way. */
  get isUnderWay(): boolean {
    return this.underWay;
  }

  /** Whether a sweep costs less than so many single reads. */
  isWorthwhile(missing: number): boolean {
    return missing >= Math.max(MIN_MISSING, READS_PER_PAGE * this.pagesOfLastSweep);
  }

  /** Begins a sweep. `then` is called at its end, with whether all pages were read. */
  start(then: (isComplete: boolean) => void): void {
    this.underWay = true;
    this.counts.sweeps++;
    this.requestPage(this.resumeAfter, 1, then);
  }

  private requestPage(after: string | undefined, page: number, then: (isComplete: boolean) => void): void {
    const operation: StoreOperation = {
      kind: 'list',
      prefix: ACTIVE_JOBS_PREFIX,
      limit: PAGE_ITEMS,
      ...(after === undefined ? {} : { after }),
    };
    this.context.requestStore(operation, CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind !== 'items') {
        this.resumeAfter = after;
        this.finish(false, then);
        return;
      }
      this.counts.pages++;
      for (const item of reply.items) this.lookups.rememberListed(item);
      const last = reply.items.at(-1);
      if (reply.more && last !== undefined) {
        this.requestPage(last.key, page + 1, then);
        return;
      }
      // A sweep that went on where another one was cut short has read the other pages before.
      const isWhole = this.resumeAfter === undefined;
      if (isWhole) this.pagesOfLastSweep = page;
      this.resumeAfter = undefined;
      this.finish(true, then);
    });
  }

  private finish(isComplete: boolean, then: (isComplete: boolean) => void): void {
    this.underWay = false;
    then(isComplete);
  }
}
