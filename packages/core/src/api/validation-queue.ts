/** Validates pending polls in batches, one transaction at a time. */
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { PendingPolls } from './pending-polls.js';
import type { ValidationBatch } from './validation-batch.js';
import type { ValidationResult, VersionValidator } from './version-validator.js';

/** Minimum time for which polls are collected into a batch; it is longer if the request rate is more limited. */
const MIN_BATCH_DELAY_US: Micros = 30 * MILLISECOND;
/** Fraction of the permitted request rate to the state service that the validations of one queue may use. */
const STORE_REQUEST_SHARE = 0.06;
/** Factor by which validations follow each other faster while more jobs wait than one transaction has conditions. */
const BACKLOG_SPEEDUP_FACTOR = 2;
/** The capacity of a queue is the number of jobs that it can validate within this time. */
const MAX_QUEUE_DELAY_US: Micros = 1_500 * MILLISECOND;

/** Supplies and resolves the batches of a queue. */
export interface ValidationQueueHost {
  /** Removes the next batch from the pending polls; it may be empty. */
  takeBatch(pending: PendingPolls): ValidationBatch;
  /** Answers, retries or fails the polls of a batch, according to the result of its validation. */
  resolveBatch(batch: ValidationBatch, result: ValidationResult): void;
}

/** A queue of polls with at most one validation in progress. */
export class ValidationQueue {
  /** The polls that wait for a validation. */
  readonly pending = new PendingPolls();
  private readonly batchDelayUs: Micros;
  private readonly backlogBatchDelayUs: Micros;
  private readonly maxJobs: number;
  /** Whether a validation is scheduled or in progress. */
  private isBusy = false;

  constructor(
    private readonly context: NodeContext,
    private readonly validator: VersionValidator,
    private readonly host: ValidationQueueHost,
  ) {
    const requestsPerSecond = STORE_REQUEST_SHARE * context.settings.storeRequestsPerS;
    this.batchDelayUs = Math.max(MIN_BATCH_DELAY_US, Math.round(SECOND / requestsPerSecond));
    this.backlogBatchDelayUs = Math.round(this.batchDelayUs / BACKLOG_SPEEDUP_FACTOR);
    const batches = Math.ceil(MAX_QUEUE_DELAY_US / this.backlogBatchDelayUs);
    this.maxJobs = batches * validator.conditionLimit;
  }

  /** Whether the queue is at capacity, so that another job would wait too long. */
  get isFull(): boolean {
    return this.pending.jobCount >= this.maxJobs;
  }

  /** Schedules a validation, unless one is scheduled or in progress. */
  schedule(delay = this.batchDelayUs): void {
    if (this.isBusy) return;
    this.isBusy = true;
    this.context.after(delay, () => {
      this.validate();
    });
  }

  private validate(): void {
    const batch = this.host.takeBatch(this.pending);
    if (batch.polls.length === 0) {
      this.finish();
      return;
    }
    this.validator.validate([...batch.conditions.values()], (result) => {
      this.host.resolveBatch(batch, result);
      this.finish();
    });
  }

  private finish(): void {
    this.isBusy = false;
    const waiting = this.pending.jobCount;
    if (waiting === 0) return;
    const isBacklogged = waiting > this.validator.conditionLimit;
    this.schedule(isBacklogged ? this.backlogBatchDelayUs : this.batchDelayUs);
  }
}
