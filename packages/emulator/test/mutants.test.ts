/** What the mutants take out stands in the sources, exactly once: a renaming that passes it by would disarm them. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { MUTANTS, occurrences } from '@shaleyoke/emulator/mutants';

const SOURCES = new URL('../../core/src/', import.meta.url);

test('each mutant finds its text once', () => {
  const lost = MUTANTS.flatMap((mutant) => {
    const count = occurrences(readFileSync(new URL(mutant.file, SOURCES), 'utf8'), mutant);
    return count === 1 ? [] : [`${mutant.name}: ${count} times in ${mutant.file}`];
  });
  assert.deepEqual(lost, []);
  assert.equal(MUTANTS.length, 27);
});
