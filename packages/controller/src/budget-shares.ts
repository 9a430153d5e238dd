/**
 * Fixed shares of the request budgets of the store and the cloud, so that the controllers need no coordination. Requests are mostly
 * users' polls, which reach all controllers evenly; since lease renewals count as requests too, those shares add up to less than the
 * budget. The shares of writes add up to more: controllers seldom need them at the same time, and rejected writes are retried. Only
 * the leader calls the cloud, except for the machine types at start-up.
 */

/** One controller's shares of the whole budgets, from 0 to 1. */
export interface BudgetShares {
  readonly requests: number;
  readonly writes: number;
  readonly cloud: number;
}

const ALONE: BudgetShares = { requests: 0.95, writes: 0.95, cloud: 0.95 };
const LEADER: BudgetShares = { requests: 0.4, writes: 0.65, cloud: 0.9 };
/** The shares of all followers together. */
const FOLLOWERS: BudgetShares = { requests: 0.55, writes: 0.7, cloud: 0.1 };

/** The shares of one controller among `memberCount`. */
export const budgetShares = (memberCount: number, isLeader: boolean): BudgetShares => {
  const followers = memberCount - 1;
  if (followers <= 0) return ALONE;
  if (isLeader) return LEADER;
  return {
    requests: FOLLOWERS.requests / followers,
    writes: FOLLOWERS.writes / followers,
    cloud: FOLLOWERS.cloud / followers,
  };
};
