import assert from 'node:assert/strict';
import { test } from 'node:test';

import { commandRunner } from '@shaleyoke/emulator/command-runner';
import { deployedNodeFlags } from '@shaleyoke/emulator/deployed-flags';
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

test('a text with a mistake in each byte is refused, and does not end the process', async () => {
  // Guards against an error object with a stack trace for each mistake (docs/incidents/many-yaml-errors.md).
  const reader = new URL('text-reader.ts', import.meta.url).pathname;
  const { exitCode, output } = await commandRunner([
    process.execPath,
    ...deployedNodeFlags(),
    '--import',
    'tsx',
    reader,
  ])();
  assert.equal(exitCode, 0, output.slice(0, 500));
  assert.deepEqual(output.trim().split('\n').slice(0, 3), [
    'Unexpected , in flow sequence at line 1, column 3',
    'Missing , between flow map items at line 1, column 8',
    'Unexpected flow-map-end token in YAML document: "}" at line 1, column 1',
  ]);
});
