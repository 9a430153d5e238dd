/** Tolerance of comparisons between amounts of capacity. */

/** Amounts are decimals; sums of them are compared with this slack. */
export const AMOUNT_SLACK = 1e-6;
