/** Compares the versions of cached records with those in the state service. */
import type { VersionCondition } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';

/** A transaction without writes may hold so many conditions for each operation that the store allows. */
const CONDITIONS_PER_OPERATION = 4;
const MIN_CONDITION_LIMIT = 2;

/** The keys whose conditions failed, none if all hold; null if the state service gave no usable answer. */
export type FailedKeys = ReadonlySet<string> | null;

/** Validates conditions by transactions that write nothing. */
export class VersionValidator {
  constructor(private readonly context: NodeContext) {}

  /** Most conditions that are compared in one transaction. */
  get conditionLimit(): number {
    const { maxTransactionOperations } = this.context.settings;
    return Math.max(MIN_CONDITION_LIMIT, maxTransactionOperations * CONDITIONS_PER_OPERATION);
  }

  /** Finds out which of the conditions fail, in as many transactions as it takes; the first that fails is the last. */
  validate(
    conditions: readonly VersionCondition[],
    callback: (failed: FailedKeys) => void,
    limit = this.conditionLimit,
  ): void {
    const first = conditions.slice(0, limit);
    this.context.requestStore(
      { kind: 'txn', conditions: first, writes: [] },
      CLIENT_REQUEST_URGENCY,
      (reply) => {
        if (reply.kind === 'conflict' && reply.failed.length > 0) callback(new Set(reply.failed));
        else if (reply.kind !== 'ok') callback(null);
        else if (conditions.length > limit) this.validate(conditions.slice(limit), callback, limit);
        else callback(new Set());
      },
    );
  }
}
