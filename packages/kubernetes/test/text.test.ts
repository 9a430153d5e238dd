import assert from 'node:assert/strict';
import { test } from 'node:test';

import { checkText } from '@shaleyoke/kubernetes/check';
import { isTooDeep, parseText } from '@shaleyoke/kubernetes/text';
import fc from 'fast-check';

test('what nests too deep is refused before it is parsed, in every form that nests', () => {
  // Each of these has at most 64 KiB, as a body may; the parser would end the process on some of them.
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

test('what is flat enough is read as it is, and a key that stands twice is named', () => {
  fc.assert(
    fc.property(fc.jsonValue({ maxDepth: 8 }), (value) => {
      const text = JSON.stringify(value);
      if (isTooDeep(text)) return;
      const r = parseText(text);
      assert.ok('value' in r, JSON.stringify(r));
      assert.equal(JSON.stringify(r.value), JSON.stringify(JSON.parse(text)));
    }),
    { seed: 21, numRuns: 500 },
  );
  const twice = parseText('{"kind":"Job","kind":"Job"}');
  assert.ok('problem' in twice && twice.problem.includes('unique'));
  const many = parseText(`a: &a [${'x,'.repeat(50)}]\nb: [${'*a,'.repeat(400)}]`);
  assert.ok('problem' in many);
});
