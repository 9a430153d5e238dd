/** Reads stored results of the scale tool from a folder. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import type { Measurements, SlopesResult, StoredResult } from './capacity.js';
import type { HollowReport } from './hollow.js';

const readStored = <T>(file: string): StoredResult<T> => {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as StoredResult<T>;
  } catch (error) {
    throw new Error(`${file}: ${(error as Error).message}`);
  }
};

const readRuns = (folder: string, prefix: string): StoredResult<HollowReport>[] =>
  readdirSync(folder)
    .filter((name) => name.startsWith(prefix) && name.endsWith('.json'))
    .sort()
    .map((name) => readStored<HollowReport>(join(folder, name)));

/** Reads `slopes.json`, and all `hollow-*.json` and `rest-*.json` files in the order of their names. */
export const readMeasurements = (folder: string): Measurements => ({
  slopes: readStored<SlopesResult>(join(folder, 'slopes.json')),
  hollow: readRuns(folder, 'hollow-'),
  rest: readRuns(folder, 'rest-'),
});
