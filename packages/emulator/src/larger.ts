/** A site with more machines than its file states: machines, capacity, limits of teams and arrivals times a factor. */
import type { TomlTable } from 'smol-toml';

/** Amounts that grow with a site, by table: whole ones are rounded. */
const GROWS: Readonly<Record<string, readonly string[]>> = {
  capacity: ['count', 'spot'],
  machines: ['count'],
  teams: ['cpus', 'cpus_max', 'gpus', 'gpus_max'],
  jobs: ['initial'],
};
/** What faults name a number of. A share stays a share. */
const FAULTS: readonly string[] = [
  'machine_die',
  'machine_slow',
  'machine_hang',
  'machine_cut',
  'machine_sick',
];

const isTable = (v: unknown): v is TomlTable => typeof v === 'object' && v !== null && !Array.isArray(v);

const tables = (v: unknown): TomlTable[] => (Array.isArray(v) ? (v as unknown[]).filter(isTable) : []);

/** The number as it was written: whole ones stay whole. */
const grown = (n: unknown, times: number): number | null => {
  if (typeof n !== 'number') return null;
  return Number.isInteger(n) ? Math.round(n * times) : n * times;
};

const grow = (t: TomlTable, fields: readonly string[], times: number): void => {
  for (const f of fields) {
    const n = grown(t[f], times);
    if (n !== null) t[f] = n;
  }
};

/** The site, larger by `times`; `restartS` replaces how long a controller is gone after its end. Changes `site`. */
export const larger = (site: TomlTable, times: number, restartS: number | null): TomlTable => {
  for (const [name, fields] of Object.entries(GROWS))
    for (const t of tables(site[name])) grow(t, fields, times);
  for (const job of tables(site['jobs']))
    if (isTable(job['arrivals'])) grow(job['arrivals'], ['rate'], times);
  for (const day of tables(site['day']))
    for (const fault of tables(day['faults'])) {
      const { kind } = fault;
      if (typeof kind === 'string' && FAULTS.includes(kind)) grow(fault, ['count'], times);
    }
  const { nodes } = site;
  if (restartS !== null && isTable(nodes)) nodes['restart_delay_s'] = restartS;
  return site;
};
