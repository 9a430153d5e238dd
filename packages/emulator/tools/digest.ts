/**
 * Prints for each seed a digest of all messages that simulated controllers send. If the digests of two versions of the
 * code are equal, the versions behave alike in these histories.
 *
 *     node --import tsx packages/emulator/tools/digest.ts --seeds 1..20 [--trace FILE]
 *
 * `--trace` writes a line for each message, so that a diff of two traces shows the first message that differs.
 */
import { closeSync, openSync, writeSync } from 'node:fs';
import { parseArgs } from 'node:util';

import { digestOfSeed, type HistoryPlan, planOf } from '../src/digest/generated-history.js';
import { featuresOf } from './digest-features.js';

const EXIT_USAGE = 2;
const USAGE = 'usage: digest [--seeds FROM..TO] [--trace FILE]';

const describe = (plan: HistoryPlan): string =>
  [
    plan.faults ? 'faults' : 'quiet',
    plan.membership ? 'membership' : '',
    plan.budgets ? 'budgets' : '',
    plan.kubernetes ? 'kubernetes' : '',
  ]
    .filter((word) => word !== '')
    .join('+');

const main = (): void => {
  const { values } = parseArgs({
    options: { seeds: { type: 'string', default: '1..20' }, trace: { type: 'string' } },
  });
  const range = /^(\d+)\.\.(\d+)$/.exec(values.seeds);
  if (range === null) {
    console.error(USAGE);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const file = values.trace === undefined ? null : openSync(values.trace, 'w');
  for (let seed = Number(range[1]); seed <= Number(range[2]); seed++) {
    const plan = planOf(seed);
    const trace =
      file === null
        ? null
        : (line: string): void => {
            writeSync(file, `${seed} ${line}\n`);
          };
    const { digest, messages } = digestOfSeed(plan, featuresOf(plan), trace);
    console.log(`${String(seed).padStart(3)} ${digest} ${messages} messages, ${describe(plan)}`);
  }
  if (file !== null) closeSync(file);
};

main();
