import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatQuantity, parseQuantity, toNumber } from '@shaleyoke/kubernetes/quantity';
import fc from 'fast-check';

const UNIT = 1_000_000_000n;

test('quantities of every form of the API are parsed exactly', () => {
  const same: [string, bigint][] = [
    ['0', 0n],
    ['500m', UNIT / 2n],
    ['0.1', UNIT / 10n],
    ['.5', UNIT / 2n],
    ['5.', 5n * UNIT],
    ['1Ki', 1024n * UNIT],
    ['1.5Gi', 1_610_612_736n * UNIT],
    ['36G', 36_000_000_000n * UNIT],
    ['2e3', 2000n * UNIT],
    ['2E3', 2000n * UNIT],
    ['2E', 2_000_000_000_000_000_000n * UNIT],
    ['12e-3', 12_000_000n],
    ['+3', 3n * UNIT],
    ['-1', -UNIT],
    ['100n', 100n],
    // Finer than the smallest unit: rounded up, as in the API.
    ['0.1n', 1n],
  ];
  for (const [text, amount] of same) assert.equal(parseQuantity(text), amount, text);
  for (const text of ['', '.', 'm', '1 G', '1g', '1KI', '1e', '0x10', '1,5', '1e999', '1Gi1', 'NaN', '--1'])
    assert.equal(parseQuantity(text), null, text);
});

test('a formatted quantity parses to the same amount, and the core’s number equals its decimal text', () => {
  fc.assert(
    fc.property(fc.bigInt(0n, 2n ** 62n), (amount) => {
      assert.equal(parseQuantity(formatQuantity(amount)), amount);
      assert.equal(parseQuantity(`${amount}n`), amount);
      // The same memory in native units of 10^9 bytes and in megabytes.
      const megabytes = amount % 10n ** 9n;
      assert.equal(toNumber(parseQuantity(`${megabytes}M`)!, UNIT), Number(megabytes) / 1000);
    }),
    { seed: 3, numRuns: 2_000 },
  );
  assert.equal(toNumber(UNIT / 10n), 0.1);
  assert.equal(formatQuantity(-UNIT / 4n), '-0.25');
});
