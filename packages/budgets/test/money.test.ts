/** Exact amounts: nothing is lost or made by splitting, carrying on or writing down; months of two time zones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Calendar } from '@shaleyoke/budgets/calendar';
import { formatMoney, Meter, parseMoney, portion, rateOf, split } from '@shaleyoke/budgets/money';
import fc from 'fast-check';

const run = { seed: 7, numRuns: 500 };

test('an amount is split to the last unit, in proportion, and equal weights differ by one at most', () => {
  fc.assert(
    fc.property(
      fc.nat(10 ** 12),
      fc.array(fc.nat(10 ** 9), { minLength: 1, maxLength: 40 }).filter((w) => w.some((x) => x > 0)),
      (amount, weights) => {
        const parts = split(amount, weights);
        assert.equal(
          parts.reduce((a, b) => a + b, 0),
          amount,
        );
        const whole = weights.reduce((a, b) => a + BigInt(b), 0n);
        parts.forEach((p, i) => {
          const exact = (BigInt(amount) * BigInt(weights[i]!)) / whole;
          assert.ok(BigInt(p) === exact || BigInt(p) === exact + 1n);
          if (weights[i] === 0) assert.ok(p <= 1);
        });
      },
    ),
    run,
  );
});

test('a machine costs the floor of price times time, into however many intervals that is cut', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ rate: fc.nat(60_000_000), us: fc.nat(10 ** 10) }), { maxLength: 60 }),
      (intervals) => {
        const m = new Meter();
        let sum = 0;
        let exact = 0n;
        for (const { rate, us } of intervals) {
          sum += m.accrue(rate, us);
          exact += BigInt(rate) * BigInt(us);
        }
        assert.equal(BigInt(sum), exact / 3_600_000_000n);
      },
    ),
    run,
  );
  assert.equal(rateOf(29.31), 29_310_000);
});

test('amounts are read as they are written, and nothing else is taken for one', () => {
  fc.assert(
    fc.property(fc.nat(10 ** 14), (m) => {
      assert.equal(parseMoney(formatMoney(m)), m);
    }),
    run,
  );
  assert.equal(formatMoney(-1_500_000), '-1.500000');
  for (const wrong of ['', '-1', '1,5', '1.2345678', '1e3', 'NaN', '1 000', '.5', '12345678901'])
    assert.equal(parseMoney(wrong), null, wrong);
  assert.equal(portion(7, 1, 3), 2);
  assert.equal(portion(7, 3, 3), 7);
  assert.equal(portion(0, 0, 0), 0);
});

test('months follow one another without a gap through changes of the clocks, and time lies in its own', () => {
  for (const zone of ['Europe/Warsaw', 'Europe/Amsterdam', 'America/New_York', 'Asia/Kolkata', 'UTC']) {
    const c = new Calendar(zone);
    let id = '2026-01';
    for (let k = 0; k < 30; k++) {
      const m = c.month(id);
      const next = c.month(c.nextMonth(id));
      assert.equal(m.to, next.from);
      assert.equal(c.previousMonth(next.id), id);
      for (const t of [m.from, m.from + 1, m.to - 1]) assert.equal(new Calendar(zone).monthAt(t).id, id);
      assert.equal(c.monthAt(m.to).id, next.id);
      id = next.id;
    }
  }
  // March has an hour less, October one more; the first of April begins at 22:00 UTC of the day before.
  const c = new Calendar('Europe/Warsaw');
  const hours = (id: string): number => (c.month(id).to - c.month(id).from) / 3.6e9;
  assert.equal(hours('2026-03'), 31 * 24 - 1);
  assert.equal(hours('2026-10'), 31 * 24 + 1);
  assert.equal(c.month('2026-04').from, Date.UTC(2026, 2, 31, 22) * 1000);
  assert.equal(c.format(c.month('2026-12').from), '2026-12-01 00:00:00 +01:00');
});
