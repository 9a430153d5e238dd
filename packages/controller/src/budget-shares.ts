/**
 * How the controllers share the request budgets of the store and the cloud, without asking each other. Requests are mostly users'
 * polls, which come to all controllers alike; renewals of leases count among them, so the shares stay within the whole. Shares of
 * writes add up to more than the whole: the controllers seldom need them at once, and what the store rejects is tried again. Only
 * the leader calls the cloud, except for the machine types at the start.
 */

/** Shares of the whole budget, for one controller. */
export interface BudgetShares {
  readonly requests: number;
  readonly writes: number;
  readonly cloud: number;
}

const ALONE: BudgetShares = { requests: 0.95, writes: 0.95, cloud: 0.95 };
const LEADER: BudgetShares = { requests: 0.4, writes: 0.65, cloud: 0.9 };
/** Of all followers together. */
const FOLLOWERS: BudgetShares = { requests: 0.55, writes: 0.7, cloud: 0.1 };

/** The shares of one of `memberCount` controllers. */
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
