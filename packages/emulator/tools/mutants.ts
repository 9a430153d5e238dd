/**
 * Takes the conditions that the rules rest on out, one at a time, on a copy of the sources, and tells which test notices.
 * By hand, from the project's root: `node --import tsx packages/emulator/tools/mutants.ts [PART-OF-NAME]`.
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

/** The quickest to notice first; a mutant is done with once one fails. */
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
const only = process.argv[2] ?? '';
const copy = mkdtempSync(join(tmpdir(), 'mutants-'));
try {
  for (const name of ['package.json', 'tsconfig.json']) cpSync(join(root, name), join(copy, name));
  for (const p of readdirSync(join(root, 'packages')))
    cpSync(join(root, 'packages', p), join(copy, 'packages', p), {
      recursive: true,
      filter: (s) => !s.includes('node_modules'),
    });
  // Libraries are shared; the project's own packages are the copy's.
  mkdirSync(join(copy, 'node_modules', '@shaleyoke'), { recursive: true });
  for (const name of readdirSync(join(root, 'node_modules')))
    if (name !== '@shaleyoke')
      symlinkSync(join(root, 'node_modules', name), join(copy, 'node_modules', name));
  for (const name of readdirSync(join(root, 'node_modules', '@shaleyoke')))
    symlinkSync(join(copy, 'packages', name), join(copy, 'node_modules', '@shaleyoke', name));
  const noticedBy = (): string | null => {
    for (const t of TESTS) {
      const run = spawnSync(
        process.execPath,
        ['--import', 'tsx', '--test', `packages/core/test/${t}.test.ts`],
        {
          cwd: copy,
          encoding: 'utf8',
          maxBuffer: 64 * 1024 * 1024,
        },
      );
      if (run.status !== 0) return `${t}: ${/^\s*not ok \d+ - (.*)$/m.exec(run.stdout)?.[1] ?? 'fails'}`;
    }
    return null;
  };
  let survivors = 0;
  for (const m of MUTANTS.filter((x) => x.name.includes(only))) {
    const path = join(copy, 'packages/core/src', m.file);
    const text = readFileSync(path, 'utf8');
    const count = occurrences(text, m);
    if (count !== 1) throw new Error(`${m.name}: what it takes out stands ${count} times in ${m.file}`);
    writeFileSync(
      path,
      text.replace(m.from, () => m.to),
    );
    const by = noticedBy();
    writeFileSync(path, text);
    if (by === null) survivors++;
    console.log(`${by === null ? 'SURVIVES' : 'noticed'}  ${m.name}${by === null ? '' : `  (${by})`}`);
  }
  process.exitCode = survivors > 0 ? 1 : 0;
} finally {
  rmSync(copy, { recursive: true, force: true });
}
