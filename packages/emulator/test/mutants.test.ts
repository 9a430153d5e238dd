/** Tests that each mutant's source text exists exactly once: a rename that misses a mutant would disable it. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { MUTANTS, occurrences } from '@shaleyoke/emulator/mutants';

const SOURCES = new URL('../../core/src/', import.meta.url);

test('the source text of each mutant occurs exactly once', () => {
  const mismatches = MUTANTS.flatMap((mutant) => {
    const count = occurrences(readFileSync(new URL(mutant.file, SOURCES), 'utf8'), mutant);
    return count === 1 ? [] : [`${mutant.name}: ${count} times in ${mutant.file}`];
  });
  assert.deepEqual(mismatches, []);
  assert.equal(MUTANTS.length, 27);
});
