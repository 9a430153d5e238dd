/** Counts the outcomes of client requests, and periodically logs them together with the state of the read path. */
import type { InternalResponse } from '../domain/client-api.js';
import type { LogFields } from '../domain/effects.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** Interval between two logged summaries. */
const SUMMARY_INTERVAL_US: Micros = 10 * SECOND;
/** Maximum number of refusals logged individually between two summaries; the others are only counted. */
const MAX_LOGGED_REFUSALS = 10;

/** The evidence for a refusal: a validation of both records at once, a lookup, or only the request's body. */
export type RefusalBasis = 'validation' | 'lookup' | 'body';

/** Returns the fields on the read path's state that are logged with the counts. */
export type ReadSummary = () => LogFields;

/** Counts since the last summary; the keys are those of the log event. */
interface Counts {
  requests: number;
  views: number;
  refusals: number;
  unavailable: number;
  /** Validations whose conditions were compared. */
  validations: number;
  /** Compared validations with at least one failed condition. */
  conflicts: number;
  /** Validations to which the state service gave no usable answer. */
  unanswered: number;
  /** Validations rejected because of too many requests. */
  overBudget: number;
}

const zeroCounts = (): Counts => ({
  requests: 0,
  views: 0,
  refusals: 0,
  unavailable: 0,
  validations: 0,
  conflicts: 0,
  unanswered: 0,
  overBudget: 0,
});

/** Request metrics of the client API on one node. */
export class RequestMetrics {
  private counts = zeroCounts();

  constructor(private readonly context: NodeContext) {}

  /** Starts to log periodic summaries. */
  start(readSummary: ReadSummary): void {
    this.context.after(SUMMARY_INTERVAL_US, () => {
      if (this.counts.requests > 0)
        this.context.info('reads.summarized', { ...this.counts, ...readSummary() });
      this.counts = zeroCounts();
      this.start(readSummary);
    });
  }

  /** Counts a request on arrival. */
  recordRequest(): void {
    this.counts.requests++;
  }

  /** Counts a response, if it is a job's view or says that the service is unavailable. */
  recordResponse({ kind }: InternalResponse): void {
    if (kind === 'view') this.counts.views++;
    else if (kind === 'unavailable') this.counts.unavailable++;
  }

  /** Counts a refusal (the job was never accepted, or can't be), and logs it up to a limit. */
  recordRefusal(job: string | null, refusal: string, basis: RefusalBasis): void {
    if (++this.counts.refusals <= MAX_LOGGED_REFUSALS)
      this.context.info('request.refused', { job, refusal, basis });
  }

  /** Counts a finished validation by its outcome. */
  recordValidation(outcome: 'valid' | 'conflict' | 'unanswered' | 'overBudget'): void {
    if (outcome === 'unanswered') this.counts.unanswered++;
    else if (outcome === 'overBudget') this.counts.overBudget++;
    else this.counts.validations++;
    if (outcome === 'conflict') this.counts.conflicts++;
  }
}
