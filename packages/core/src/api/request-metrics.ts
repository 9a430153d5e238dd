/** Counts of what became of clients' requests, logged now and then together with what this node knows of jobs. */
import type { InternalResponse } from '../domain/client-api.js';
import type { LogFields } from '../domain/effects.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** How often the counts are logged. */
const SUMMARY_INTERVAL: Micros = 10 * SECOND;
/** Refusals that are logged by themselves between two summaries; all are counted. */
const MAX_LOGGED_REFUSALS = 10;

/** What a refusal rests on: a comparison at one moment, a lookup, or the request's body alone. */
export type RefusalBasis = 'validation' | 'lookup' | 'body';

/** What the counts are logged with. */
export type ReadState = () => LogFields;

interface Counts {
  requests: number;
  views: number;
  refusals: number;
  unavailable: number;
  /** Validations that were compared, those among them with conflicts, and those that were not answered or not sent. */
  validations: number;
  conflicts: number;
  unanswered: number;
  overBudget: number;
}

const noCounts = (): Counts => ({
  requests: 0,
  views: 0,
  refusals: 0,
  unavailable: 0,
  validations: 0,
  conflicts: 0,
  unanswered: 0,
  overBudget: 0,
});

/** Metrics of the client API of one node. */
export class RequestMetrics {
  private counts = noCounts();

  constructor(private readonly context: NodeContext) {}

  /** Begins to log summaries. */
  start(readState: ReadState): void {
    this.context.after(SUMMARY_INTERVAL, () => {
      if (this.counts.requests > 0) this.context.info('reads.summarized', { ...this.counts, ...readState() });
      this.counts = noCounts();
      this.start(readState);
    });
  }

  /** A request has arrived. */
  recordRequest(): void {
    this.counts.requests++;
  }

  /** A request was answered. */
  recordResponse({ kind }: InternalResponse): void {
    if (kind === 'view') this.counts.views++;
    else if (kind === 'unavailable') this.counts.unavailable++;
  }

  /** A request was refused: the job was never accepted, or can't be. */
  recordRefusal(job: string | null, refusal: string, basis: RefusalBasis): void {
    if (++this.counts.refusals <= MAX_LOGGED_REFUSALS)
      this.context.info('request.refused', { job, refusal, basis });
  }

  /** A validation has ended. */
  recordValidation(outcome: 'valid' | 'conflict' | 'unanswered' | 'overBudget'): void {
    if (outcome === 'unanswered') this.counts.unanswered++;
    else if (outcome === 'overBudget') this.counts.overBudget++;
    else this.counts.validations++;
    if (outcome === 'conflict') this.counts.conflicts++;
  }
}
