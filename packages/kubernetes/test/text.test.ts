import assert from 'node:assert/strict';
import { test } from 'node:test';

import { checkText } from '@shaleyoke/kubernetes/check';
import { isTooDeep, parseText } from '@shaleyoke/kubernetes/text';
import fc from 'fast-check';

test('a text that nests too deeply is refused before parsing, for every kind of nesting', () => {
  // Each has at most 64 KiB, the limit of a body; on some of them the parser would end the process.
  const bodies = [
    '['.repeat(60_000),
    '{"a":'.repeat(5_000) + '1' + '}'.repeat(5_000),
    '{"a":'.repeat(12_000),
    '- '.repeat(30_000) + 'x',
    '? '.repeat(30_000) + 'x',
    `${'- ? '.repeat(15_000)}x`,
    Array.from({ length: 340 }, (_, i) => `${' '.repeat(i)}a:`).join('\n'),
    Array.from({ length: 340 }, (_, i) => `${' '.repeat(i)}- `).join('\n') + 'x',
    `"${'['.repeat(100)}"`,
  ];
  for (const body of bodies) {
    assert.ok(body.length <= 64 * 1024);
    assert.ok('problem' in parseText(body), body.slice(0, 20));
    assert.ok(checkText(body)[0]?.bad === true);
  }
});

test('a text within the depth limit is parsed unchanged, and a duplicate key is reported', () => {
  fc.assert(
    fc.property(fc.jsonValue({ maxDepth: 8 }), (value) => {
      const text = JSON.stringify(value);
      if (isTooDeep(text)) return;
      const parsed = parseText(text);
      assert.ok('value' in parsed, JSON.stringify(parsed));
      assert.equal(JSON.stringify(parsed.value), JSON.stringify(JSON.parse(text)));
    }),
    { seed: 21, numRuns: 500 },
  );
  const twice = parseText('{"kind":"Job","kind":"Job"}');
  assert.ok('problem' in twice && twice.problem.includes('unique'));
  const many = parseText(`a: &a [${'x,'.repeat(50)}]\nb: [${'*a,'.repeat(400)}]`);
  assert.ok('problem' in many);
});
