/**
 * A larger copy of a site file, with the file of names that it refers to. Plays nothing itself.
 *
 *     npx tsx packages/emulator/tools/larger.ts SITE.toml FOLDER [--times 1.5] [--restart-s 0.2]
 */
import { copyFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, dirname, join } from 'node:path';
import { parseArgs } from 'node:util';

import { parse, stringify } from 'smol-toml';

import { larger } from '../src/larger.js';

const main = (): void => {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { times: { type: 'string', default: '1.5' }, 'restart-s': { type: 'string' } },
  });
  const [from, folder] = positionals;
  const times = Number(values.times);
  const restartS = values['restart-s'] === undefined ? null : Number(values['restart-s']);
  const wrong = [
    from === undefined || folder === undefined ? 'name a site file and a folder' : '',
    times > 0 ? '' : '--times: expected a number above 0',
    restartS === null || restartS >= 0 ? '' : '--restart-s: expected seconds, 0 or more',
  ].filter((w) => w !== '');
  if (wrong.length > 0 || from === undefined || folder === undefined) {
    console.error(wrong.join('; '));
    process.exit(2);
  }
  const site = larger(parse(readFileSync(from, 'utf8')), times, restartS);
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, basename(from)), stringify(site));
  const wireName = site['wire'];
  const wire = join(dirname(from), typeof wireName === 'string' ? wireName : '');
  if (existsSync(wire)) copyFileSync(wire, join(folder, basename(wire)));
  console.log(join(folder, basename(from)));
};

main();
