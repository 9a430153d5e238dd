/** Validates pending polls batch by batch, one transaction at a time. */
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { PendingPolls } from './pending-polls.js';
import type { ValidationBatch } from './validation-batch.js';
import type { ValidationResult, VersionValidator } from './version-validator.js';

/** Polls that arrive within this time share one transaction; the time is longer where requests are scarce. */
const MIN_GATHER_US: Micros = 30 * MILLI;
/** Share of all requests to the state service that the validations of one lane may take. */
const REQUEST_SHARE = 0.06;
/** While more polls wait than one transaction holds, validations follow each other so much faster. */
const BACKLOG_SPEED_UP = 2;
/** A lane accepts as many polls as it can validate within this time. */
const MAX_QUEUE_US: Micros = 1_500 * MILLI;

/** Takes and resolves the batches of a lane. */
export interface LaneHost {
  takeBatch(pending: PendingPolls): ValidationBatch;
  resolve(batch: ValidationBatch, result: ValidationResult): void;
}

/** A queue of polls with one validation under way at most. */
export class ValidationLane {
  readonly pending = new PendingPolls();
  private readonly gatherUs: Micros;
  private readonly backlogGatherUs: Micros;
  private readonly maxJobs: number;
  /** Whether a validation is scheduled or under way. */
  private isBusy = false;

  constructor(
    private readonly context: NodeContext,
    private readonly validator: VersionValidator,
    private readonly host: LaneHost,
  ) {
    const requestsPerSecond = REQUEST_SHARE * context.settings.storeRequestsPerS;
    this.gatherUs = Math.max(MIN_GATHER_US, Math.round(SECOND / requestsPerSecond));
    this.backlogGatherUs = Math.round(this.gatherUs / BACKLOG_SPEED_UP);
    const batches = Math.ceil(MAX_QUEUE_US / this.backlogGatherUs);
    this.maxJobs = batches * validator.conditionLimit;
  }

  /** Whether a further job would wait for longer than its client does. */
  get isFull(): boolean {
    return this.pending.jobCount >= this.maxJobs;
  }

  /** Schedules a validation, unless one is scheduled or under way. */
  schedule(delay = this.gatherUs): void {
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
      this.host.resolve(batch, result);
      this.finish();
    });
  }

  private finish(): void {
    this.isBusy = false;
    const waiting = this.pending.jobCount;
    if (waiting === 0) return;
    const isBacklogged = waiting > this.validator.conditionLimit;
    this.schedule(isBacklogged ? this.backlogGatherUs : this.gatherUs);
  }
}
