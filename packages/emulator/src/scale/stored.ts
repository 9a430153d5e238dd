/** Stored results of the scale tool, read from a folder. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import type { Measurements, Stored, StoredSlopes } from './capacity.js';
import type { HollowReport } from './hollow.js';

const readStored = <T>(file: string): Stored<T> => {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as Stored<T>;
  } catch (e) {
    throw new Error(`${file}: ${(e as Error).message}`);
  }
};

const readAll = (folder: string, prefix: string): Stored<HollowReport>[] =>
  readdirSync(folder)
    .filter((name) => name.startsWith(prefix) && name.endsWith('.json'))
    .sort()
    .map((name) => readStored<HollowReport>(join(folder, name)));

/** `slopes.json`, and all `hollow-*.json` and `rest-*.json` in the order of their names. */
export const readMeasurements = (folder: string): Measurements => ({
  slopes: readStored<StoredSlopes>(join(folder, 'slopes.json')),
  hollow: readAll(folder, 'hollow-'),
  rest: readAll(folder, 'rest-'),
});
