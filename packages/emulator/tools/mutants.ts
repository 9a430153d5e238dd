/**
 * Mutation testing: removes the conditions that the protocol's rules depend on, one at a time, in a copy of the sources,
 * and reports which test fails. Run it by hand from the project's root:
 * `node --import tsx packages/emulator/tools/mutants.ts [PART-OF-NAME]`.
 */
import { spawnSync } from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { MUTANTS, occurrences } from '../src/mutants.js';

/** Names of test files, those that detect mutants fastest first; the first failure ends the run of a mutant. */
const TESTS = [
  'usage-totals',
  'bulk-starts',
  'delayed-heartbeats',
  'immediate-queries',
  'fault-scenario-combinations',
  'failover',
  'cancellations',
  'packed-pages',
  'fault-scenarios',
  'rapid-restarts',
  'partition-histories',
];

const root = resolve('.');
const nameFilter = process.argv[2] ?? '';
const copy = mkdtempSync(join(tmpdir(), 'mutants-'));
try {
  for (const name of ['package.json', 'tsconfig.json']) cpSync(join(root, name), join(copy, name));
  for (const packageName of readdirSync(join(root, 'packages')))
    cpSync(join(root, 'packages', packageName), join(copy, 'packages', packageName), {
      recursive: true,
      filter: (s) => !s.includes('node_modules'),
    });
  // Third-party packages are linked from the project; its own packages resolve to the copy.
  mkdirSync(join(copy, 'node_modules', '@shaleyoke'), { recursive: true });
  for (const name of readdirSync(join(root, 'node_modules')))
    if (name !== '@shaleyoke')
      symlinkSync(join(root, 'node_modules', name), join(copy, 'node_modules', name));
  for (const name of readdirSync(join(root, 'node_modules', '@shaleyoke')))
    symlinkSync(join(copy, 'packages', name), join(copy, 'node_modules', '@shaleyoke', name));
  const findFailingTest = (): string | null => {
    for (const testName of TESTS) {
      const run = spawnSync(
        process.execPath,
        ['--import', 'tsx', '--test', `packages/core/test/${testName}.test.ts`],
        {
          cwd: copy,
          encoding: 'utf8',
          maxBuffer: 64 * 1024 * 1024,
        },
      );
      if (run.status !== 0)
        return `${testName}: ${/^\s*not ok \d+ - (.*)$/m.exec(run.stdout)?.[1] ?? 'fails'}`;
    }
    return null;
  };
  let survivorCount = 0;
  for (const mutant of MUTANTS.filter((x) => x.name.includes(nameFilter))) {
    const path = join(copy, 'packages/core/src', mutant.file);
    const text = readFileSync(path, 'utf8');
    const count = occurrences(text, mutant);
    if (count !== 1)
      throw new Error(`${mutant.name}: expected its text once, found it ${count} times in ${mutant.file}`);
    writeFileSync(
      path,
      text.replace(mutant.from, () => mutant.to),
    );
    const failingTest = findFailingTest();
    writeFileSync(path, text);
    if (failingTest === null) survivorCount++;
    console.log(
      `${failingTest === null ? 'SURVIVED' : 'detected'}  ${mutant.name}${failingTest === null ? '' : `  (${failingTest})`}`,
    );
  }
  process.exitCode = survivorCount > 0 ? 1 : 0;
} finally {
  rmSync(copy, { recursive: true, force: true });
}
