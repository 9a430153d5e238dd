/** Compares the versions of cached records with the current ones in the state service. */
import type { StoreReply, VersionCondition } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';

/** Number of conditions that a transaction without writes may have per operation that the store allows. */
const CONDITIONS_PER_OPERATION = 4;
const MIN_CONDITION_LIMIT = 2;

/**
 * `compared`: the store has evaluated the conditions, and those with keys in `failed` do not hold; `overBudget`: rejected
 * because of too many requests, which says nothing about these records; `unanswered`: the store gave no usable answer.
 */
export type ValidationResult =
  | { readonly kind: 'compared'; readonly failed: ReadonlySet<string> }
  | { readonly kind: 'overBudget' }
  | { readonly kind: 'unanswered' };

const resultOf = (reply: StoreReply): ValidationResult => {
  if (reply.kind === 'ok') return { kind: 'compared', failed: new Set() };
  if (reply.kind === 'conflict' && reply.failed.length > 0)
    return { kind: 'compared', failed: new Set(reply.failed) };
  if (reply.kind === 'failed' && reply.cause === 'busy') return { kind: 'overBudget' };
  return { kind: 'unanswered' };
};

/** Validates conditions with transactions that contain no writes. */
export class VersionValidator {
  constructor(private readonly context: NodeContext) {}

  /** Maximum number of conditions in one transaction. */
  get conditionLimit(): number {
    const { maxTransactionOperations } = this.context.settings;
    return Math.max(MIN_CONDITION_LIMIT, maxTransactionOperations * CONDITIONS_PER_OPERATION);
  }

  /**
   * Determines which conditions fail, in several transactions if necessary, stopping at the first that does not
   * succeed.
   */
  validate(
    conditions: readonly VersionCondition[],
    callback: (result: ValidationResult) => void,
    limit = this.conditionLimit,
  ): void {
    const first = conditions.slice(0, limit);
    this.context.requestStore(
      { kind: 'txn', conditions: first, writes: [] },
      CLIENT_REQUEST_URGENCY,
      (reply) => {
        const isLast = conditions.length <= limit;
        if (reply.kind === 'ok' && !isLast) this.validate(conditions.slice(limit), callback, limit);
        else callback(resultOf(reply));
      },
    );
  }
}
