/** Amounts of money, exactly: whole millionths of the currency, products in `bigint`, no fraction anywhere. */
import type { Micros } from '@shaleyoke/core/domain/time';

/** Whole millionths of the currency. Sums stay below 2^53: nine thousand million units. */
export type Money = number;

const UNIT = 1_000_000;
const HOUR_US = 3_600_000_000n;

/** The cloud's price per hour, a decimal number, in millionths: the only place where one is rounded. */
export const rateOf = (perHour: number): Money => Math.round(perHour * UNIT);

/**
 * What a machine costs, interval by interval: the floor of the exact sum so far, less what was told before. What
 * an interval leaves over is carried on to the next one, so that short intervals lose nothing.
 */
export class Meter {
  private rest = 0n;

  /** `rate`: millionths per hour. `us`: whole microseconds, not negative. */
  run(rate: Money, us: Micros): Money {
    const sum = this.rest + BigInt(rate) * BigInt(us);
    this.rest = sum % HOUR_US;
    return Number(sum / HOUR_US);
  }
}

/** The floor of `amount * part / whole`; all of it where `part` is not less than `whole`. */
export const portion = (amount: Money, part: number, whole: number): Money =>
  part >= whole ? amount : Number((BigInt(amount) * BigInt(part)) / BigInt(whole));

/**
 * Splits an amount by weights (whole numbers, not negative, not all zero) so that the parts add up to it:
 * everyone the floor, then one more to those with the largest remainders, the first of equals first.
 */
export const split = (amount: Money, weights: readonly number[]): Money[] => {
  const whole = weights.reduce((sum, w) => sum + BigInt(w), 0n);
  const parts: Money[] = [];
  const rests: { i: number; rest: bigint }[] = [];
  let left = amount;
  weights.forEach((w, i) => {
    const product = BigInt(amount) * BigInt(w);
    const part = Number(product / whole);
    parts.push(part);
    rests.push({ i, rest: product % whole });
    left -= part;
  });
  if (left > 0) rests.sort((a, b) => (a.rest === b.rest ? a.i - b.i : a.rest > b.rest ? -1 : 1));
  for (let k = 0; k < left; k++) parts[rests[k]!.i]!++;
  return parts;
};

/** Six places, always: `12.340000`. */
export const formatMoney = (m: Money): string => {
  const abs = Math.abs(m);
  return `${m < 0 ? '-' : ''}${Math.floor(abs / UNIT)}.${String(abs % UNIT).padStart(6, '0')}`;
};

/** An amount as people write it, `1200` or `1200.5`, at most six places; null for anything else. */
export const parseMoney = (text: string): Money | null => {
  const m = /^(\d{1,9})(?:\.(\d{1,6}))?$/.exec(text.trim());
  return m === null ? null : Number(m[1]) * UNIT + Number((m[2] ?? '').padEnd(6, '0'));
};
