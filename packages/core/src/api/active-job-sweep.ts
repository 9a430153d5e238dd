/**
 * Reads the records of all active jobs page by page, for cases in which single reads would need more requests: a
 * restarted controller has an empty cache while clients poll thousands of jobs.
 */
import { ACTIVE_JOBS_PREFIX } from '../codecs/keys.js';
import type { StoreOperation } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobLookup } from './job-lookup.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';

/** Maximum number of records per request. */
const PAGE_ITEM_LIMIT = 500;
/** Fewer missing records than this are read individually. */
const MIN_MISSING_JOBS = 8;
/** Cost of processing a page, in single reads: a sweep only pays off if each page replaces at least this many. */
const PAGE_COST_IN_READS = 2;

/** Runs sweeps over the active jobs, one at a time. */
export class ActiveJobSweep {
  private lastSweepPages = 1;
  /** Key after which the next sweep continues, if the last one failed partway. */
  private resumeAfter: string | undefined;
  private running = false;
  /** Number of sweeps started and of pages read since the process started; logged under these keys. */
  readonly counts = { sweeps: 0, pages: 0 };

  constructor(
    private readonly context: NodeContext,
    private readonly lookups: JobLookup,
  ) {}

  /** Whether a sweep has started and not finished yet. */
  get isRunning(): boolean {
    return this.running;
  }

  /** Whether a sweep is expected to cost less than reading `missing` records individually. */
  isWorthwhile(missing: number): boolean {
    return missing >= Math.max(MIN_MISSING_JOBS, PAGE_COST_IN_READS * this.lastSweepPages);
  }

  /** Starts a sweep. `onFinished` is called at its end, with whether all pages were read. */
  start(onFinished: (isComplete: boolean) => void): void {
    this.running = true;
    this.counts.sweeps++;
    this.requestPage(this.resumeAfter, 1, onFinished);
  }

  private requestPage(
    after: string | undefined,
    page: number,
    onFinished: (isComplete: boolean) => void,
  ): void {
    const operation: StoreOperation = {
      kind: 'list',
      prefix: ACTIVE_JOBS_PREFIX,
      limit: PAGE_ITEM_LIMIT,
      ...(after === undefined ? {} : { after }),
    };
    this.context.requestStore(operation, CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind !== 'items') {
        this.resumeAfter = after;
        this.finish(false, onFinished);
        return;
      }
      this.counts.pages++;
      for (const item of reply.items) this.lookups.cacheListedRecord(item);
      const last = reply.items.at(-1);
      if (reply.more && last !== undefined) {
        this.requestPage(last.key, page + 1, onFinished);
        return;
      }
      // A resumed sweep does not count all pages: the earlier ones were read by the sweep that failed.
      const startedAtFirstPage = this.resumeAfter === undefined;
      if (startedAtFirstPage) this.lastSweepPages = page;
      this.resumeAfter = undefined;
      this.finish(true, onFinished);
    });
  }

  private finish(isComplete: boolean, onFinished: (isComplete: boolean) => void): void {
    this.running = false;
    onFinished(isComplete);
  }
}
