/** Exact amounts when splitting, accruing and formatting; months in several time zones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Calendar } from '@shaleyoke/budgets/calendar';
import { formatMoney, Meter, parseMoney, portion, rateOf, split } from '@shaleyoke/budgets/money';
import fc from 'fast-check';

const runOptions = { seed: 7, numRuns: 500 };

test('the parts of a split amount add up to it and differ from their exact shares by one unit at most', () => {
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
        parts.forEach((part, i) => {
          const exact = (BigInt(amount) * BigInt(weights[i]!)) / whole;
          assert.ok(BigInt(part) === exact || BigInt(part) === exact + 1n);
          if (weights[i] === 0) assert.ok(part <= 1);
        });
      },
    ),
    runOptions,
  );
});

test('a machine costs the floor of price times time, however many intervals it is accrued in', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ rate: fc.nat(60_000_000), us: fc.nat(10 ** 10) }), { maxLength: 60 }),
      (intervals) => {
        const meter = new Meter();
        let sum = 0;
        let exact = 0n;
        for (const { rate, us: runUs } of intervals) {
          sum += meter.accrue(rate, runUs);
          exact += BigInt(rate) * BigInt(runUs);
        }
        assert.equal(BigInt(sum), exact / 3_600_000_000n);
      },
    ),
    runOptions,
  );
  assert.equal(rateOf(29.31), 29_310_000);
});

test('formatted amounts are parsed to the same value, and other texts are rejected', () => {
  fc.assert(
    fc.property(fc.nat(10 ** 14), (amount) => {
      assert.equal(parseMoney(formatMoney(amount)), amount);
    }),
    runOptions,
  );
  assert.equal(formatMoney(-1_500_000), '-1.500000');
  for (const wrong of ['', '-1', '1,5', '1.2345678', '1e3', 'NaN', '1 000', '.5', '12345678901'])
    assert.equal(parseMoney(wrong), null, wrong);
  assert.equal(portion(7, 1, 3), 2);
  assert.equal(portion(7, 3, 3), 7);
  assert.equal(portion(0, 0, 0), 0);
});

test('months follow one another without a gap across daylight saving time, and contain their moments', () => {
  for (const zone of ['Europe/Warsaw', 'Europe/Amsterdam', 'America/New_York', 'Asia/Kolkata', 'UTC']) {
    const calendar = new Calendar(zone);
    let id = '2026-01';
    for (let step = 0; step < 30; step++) {
      const month = calendar.month(id);
      const next = calendar.month(calendar.nextMonth(id));
      assert.equal(month.to, next.from);
      assert.equal(calendar.previousMonth(next.id), id);
      for (const time of [month.from, month.from + 1, month.to - 1])
        assert.equal(new Calendar(zone).monthAt(time).id, id);
      assert.equal(calendar.monthAt(month.to).id, next.id);
      id = next.id;
    }
  }
  // March has one hour less and October one more; April begins at 22:00 UTC of the day before.
  const warsaw = new Calendar('Europe/Warsaw');
  const hours = (id: string): number => (warsaw.month(id).to - warsaw.month(id).from) / 3.6e9;
  assert.equal(hours('2026-03'), 31 * 24 - 1);
  assert.equal(hours('2026-10'), 31 * 24 + 1);
  assert.equal(warsaw.month('2026-04').from, Date.UTC(2026, 2, 31, 22) * 1000);
  assert.equal(warsaw.format(warsaw.month('2026-12').from), '2026-12-01 00:00:00 +01:00');
});
