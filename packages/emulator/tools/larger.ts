/**
 * Writes a scaled copy of a site file and of the file that its `wire` key names. It doesn't run the site.
 *
 *     npx tsx packages/emulator/tools/larger.ts SITE.toml FOLDER [--times 1.5] [--restart-s 0.2]
 */
import { copyFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, dirname, join } from 'node:path';
import { parseArgs } from 'node:util';

import { parse, stringify } from 'smol-toml';

import { scaleSite } from '../src/site-scaling.js';

const main = (): void => {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { times: { type: 'string', default: '1.5' }, 'restart-s': { type: 'string' } },
  });
  const [siteFile, folder] = positionals;
  const times = Number(values.times);
  const restartS = values['restart-s'] === undefined ? null : Number(values['restart-s']);
  const problems = [
    siteFile === undefined || folder === undefined ? 'expected a site file and an output folder' : '',
    times > 0 ? '' : '--times: expected a number above 0',
    restartS === null || restartS >= 0 ? '' : '--restart-s: expected seconds, 0 or more',
  ].filter((problem) => problem !== '');
  if (problems.length > 0 || siteFile === undefined || folder === undefined) {
    console.error(problems.join('; '));
    process.exit(2);
  }
  const site = scaleSite(parse(readFileSync(siteFile, 'utf8')), times, restartS);
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, basename(siteFile)), stringify(site));
  const wireName = site['wire'];
  const wire = join(dirname(siteFile), typeof wireName === 'string' ? wireName : '');
  if (existsSync(wire)) copyFileSync(wire, join(folder, basename(wire)));
  console.log(join(folder, basename(siteFile)));
};

main();
