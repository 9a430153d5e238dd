/** Exact amounts of money: whole millionths of the currency, with products computed in `bigint`. */
import type { Micros } from '@shaleyoke/core/domain/time';

/** Whole millionths of the currency. Sums stay exact below 2^53, which is nine thousand million units. */
export type Money = number;

const MILLIONTHS_PER_UNIT = 1_000_000;
const HOUR_US = 3_600_000_000n;

/** Converts the cloud's decimal price per hour to millionths. No other amount is rounded to the nearest unit. */
export const rateOf = (perHour: number): Money => Math.round(perHour * MILLIONTHS_PER_UNIT);

/**
 * Accrues a machine's cost interval by interval in whole units. The remainder of each interval is carried into the
 * next one, so the sum is the floor of the exact cost however many intervals there are.
 */
export class Meter {
  private remainder = 0n;

  /** Cost of an interval. `rate`: millionths per hour; `runUs`: whole microseconds, not negative. */
  accrue(rate: Money, runUs: Micros): Money {
    const sum = this.remainder + BigInt(rate) * BigInt(runUs);
    this.remainder = sum % HOUR_US;
    return Number(sum / HOUR_US);
  }
}

/** The floor of `amount * part / whole`; all of `amount` if `part` is at least `whole`. */
export const portion = (amount: Money, part: number, whole: number): Money =>
  part >= whole ? amount : Number((BigInt(amount) * BigInt(part)) / BigInt(whole));

/**
 * Splits an amount in proportion to weights (whole numbers, not negative, not all zero) by the largest remainder
 * method, so that the parts add up to it: each part is rounded down, then the largest remainders get one unit more;
 * among equals, the first.
 */
export const split = (amount: Money, weights: readonly number[]): Money[] => {
  const whole = weights.reduce((sum, w) => sum + BigInt(w), 0n);
  const parts: Money[] = [];
  const remainders: { i: number; rest: bigint }[] = [];
  let left = amount;
  weights.forEach((weight, i) => {
    const product = BigInt(amount) * BigInt(weight);
    const part = Number(product / whole);
    parts.push(part);
    remainders.push({ i, rest: product % whole });
    left -= part;
  });
  if (left > 0) remainders.sort((a, b) => (a.rest === b.rest ? a.i - b.i : a.rest > b.rest ? -1 : 1));
  for (let position = 0; position < left; position++) parts[remainders[position]!.i]!++;
  return parts;
};

/** Formats an amount with six decimal places: `12.340000`. */
export const formatMoney = (amount: Money): string => {
  const abs = Math.abs(amount);
  return `${amount < 0 ? '-' : ''}${Math.floor(abs / MILLIONTHS_PER_UNIT)}.${String(abs % MILLIONTHS_PER_UNIT).padStart(6, '0')}`;
};

/** Parses an amount such as `1200` or `1200.5` with at most six decimal places; null for anything else. */
export const parseMoney = (text: string): Money | null => {
  const match = /^(\d{1,9})(?:\.(\d{1,6}))?$/.exec(text.trim());
  return match === null
    ? null
    : Number(match[1]) * MILLIONTHS_PER_UNIT + Number((match[2] ?? '').padEnd(6, '0'));
};
