/** Scales a site file: machines, cloud capacity, team quotas, arrivals of jobs and absolute numbers in faults. */
import type { TomlTable } from 'smol-toml';

/** Fields that are multiplied by the factor, by table. */
const SCALED_FIELDS: Readonly<Record<string, readonly string[]>> = {
  capacity: ['count', 'spot'],
  machines: ['count'],
  teams: ['cpus', 'cpus_max', 'gpus', 'gpus_max'],
  jobs: ['initial'],
};
/** Kinds of faults whose `count` is multiplied; faults that name a share stay as they are. */
const SCALED_FAULTS: readonly string[] = [
  'machine_die',
  'machine_slow',
  'machine_hang',
  'machine_cut',
  'machine_sick',
];

const isTable = (value: unknown): value is TomlTable =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const tables = (value: unknown): TomlTable[] =>
  Array.isArray(value) ? (value as unknown[]).filter(isTable) : [];

/** The number times the factor, rounded if it was an integer; null: not a number. */
const scaled = (value: unknown, factor: number): number | null => {
  if (typeof value !== 'number') return null;
  return Number.isInteger(value) ? Math.round(value * factor) : value * factor;
};

const scaleFields = (table: TomlTable, fields: readonly string[], factor: number): void => {
  for (const field of fields) {
    const value = scaled(table[field], factor);
    if (value !== null) table[field] = value;
  }
};

/** Scales the site by a factor, in place. `restartS` replaces the controllers' restart delay; null: keeps it. */
export const scaleSite = (site: TomlTable, factor: number, restartS: number | null): TomlTable => {
  for (const [name, fields] of Object.entries(SCALED_FIELDS))
    for (const table of tables(site[name])) scaleFields(table, fields, factor);
  for (const job of tables(site['jobs']))
    if (isTable(job['arrivals'])) scaleFields(job['arrivals'], ['rate'], factor);
  for (const day of tables(site['day']))
    for (const fault of tables(day['faults'])) {
      const { kind } = fault;
      if (typeof kind === 'string' && SCALED_FAULTS.includes(kind)) scaleFields(fault, ['count'], factor);
    }
  const { nodes } = site;
  if (restartS !== null && isTable(nodes)) nodes['restart_delay_s'] = restartS;
  return site;
};
