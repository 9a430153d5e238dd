/** Tests how the list of known failures is parsed, and which failures it lets pass. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { evaluateResults, KnownRedListError, parseKnownRed } from '../src/known-red.js';

const LISTED = { test: 'a, b', cause: 'no reason', issue: 'an issue' };

test('the list of known failures is parsed', () => {
  assert.deepEqual(parseKnownRed('# comment\n\na, b | no reason | an issue\n'), [LISTED]);
  assert.deepEqual(parseKnownRed(''), []);
  for (const invalid of ['a', 'a | b', 'a |  | c', 'a | b | c | d'])
    assert.throws(() => parseKnownRed(invalid), KnownRedListError, invalid);
  assert.throws(() => parseKnownRed('a | b | c\n'.repeat(4)), /3 at most/);
});

test('only failures of listed tests are ignored', () => {
  const failed = { name: 'a, b', passed: false };
  assert.deepEqual(evaluateResults([failed], [LISTED]).problems, []);
  assert.match(evaluateResults([failed], [LISTED]).report[0]!, /failed: a, b \(no reason; an issue\)/);
  assert.match(evaluateResults([{ ...failed, passed: true }], [LISTED]).report[0]!, /take it off the list/);
  assert.deepEqual(evaluateResults([failed], []).problems, ['failed: a, b']);
  assert.deepEqual(evaluateResults([failed, { name: 'c', passed: false }], [LISTED]).problems, ['failed: c']);
  assert.match(
    evaluateResults([{ name: 'c', passed: true }], [LISTED]).problems[0]!,
    /no test has this name: a, b/,
  );
  assert.match(evaluateResults([], []).problems[0]!, /no test was run/);
});

test('the runner fails for an unlisted failure and ignores a listed one', () => {
  const folder = mkdtempSync(join(tmpdir(), 'shaleyoke-known-red-'));
  const runner = new URL('../tools/run-tests.ts', import.meta.url).pathname;
  const file = join(folder, 'sample.test.mjs');
  const run = (known: string): { code: number | null; text: string } => {
    writeFileSync(join(folder, 'KNOWN-RED.txt'), known);
    const environment = { ...process.env };
    // With this variable set, the inner test runner would act as a child process of this one and report to it.
    delete environment['NODE_TEST_CONTEXT'];
    const { status, stdout, stderr } = spawnSync(
      process.execPath,
      ['--import', import.meta.resolve('tsx'), runner, file],
      { cwd: folder, encoding: 'utf8', env: environment },
    );
    return { code: status, text: stdout + stderr };
  };
  try {
    writeFileSync(
      file,
      `import { test } from 'node:test';\ntest('well', () => {});\ntest('ill', () => { throw new Error('x'); });\n`,
    );
    const unlisted = run('');
    assert.equal(unlisted.code, 1, unlisted.text);
    assert.match(unlisted.text, /error: failed: ill/);
    const listed = run('ill | a fault | an issue\n');
    assert.equal(listed.code, 0, listed.text);
    assert.match(listed.text, /known red, failed: ill/);
    const unknown = run('ill | a fault | an issue\nnobody | a fault | an issue\n');
    assert.equal(unknown.code, 1, unknown.text);
    assert.match(unknown.text, /no test has this name: nobody/);
    assert.equal(run('ill\n').code, 2);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
});
