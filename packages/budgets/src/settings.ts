/** The file that switches budgets on (`deploy/budgets.yaml`), checked against the platform's teams. */
import { check, read } from '@shaleyoke/config/checked';
import type { Team } from '@shaleyoke/core/domain/settings';
import { Schema } from 'effect';
import { parse as parseYaml } from 'yaml';

import { Calendar, knownZone } from './calendar.js';
import { type Money, parseMoney } from './money.js';

export interface Limit {
  /** Told once a month when it is reached; null: none. */
  readonly soft: Money | null;
  /** New jobs are held back beyond it; null: none. */
  readonly hard: Money | null;
}
export const NO_LIMIT: Limit = { soft: null, hard: null };

export interface BudgetSettings {
  readonly currency: string;
  readonly zone: string;
  /** The share of runs that a commitment is to be enough for. */
  readonly quantile: number;
  /** Changes of the state service a second, on average. */
  readonly changesPerS: number;
  readonly owners: ReadonlyMap<string, { readonly calendar: Calendar; readonly limit: Limit }>;
}

export class BudgetSettingsError extends Error {}

const Amount = Schema.Union(Schema.Number, Schema.String).pipe(
  Schema.filter((v) => parseMoney(String(v)) !== null, {
    message: () => 'expected an amount, not negative, with at most six places, such as 1200 or 1200.50',
  }),
);
const Zone = Schema.String.pipe(
  Schema.filter(knownZone, { message: () => 'expected a time zone such as Europe/Warsaw' }),
);

const File = Schema.Struct({
  version: Schema.Literal(1),
  currency: Schema.String.pipe(
    Schema.pattern(/^[A-Z]{3}$/, { message: () => 'expected three capitals such as EUR' }),
  ),
  zone: Zone,
  quantile: Schema.optionalWith(Schema.Number.pipe(Schema.between(0.5, 0.99)), { default: () => 0.9 }),
  changes_per_s: Schema.optionalWith(Schema.Number.pipe(Schema.between(0.05, 5)), { default: () => 0.4 }),
  owners: Schema.optionalWith(
    Schema.Record({
      key: Schema.String,
      value: Schema.Struct({
        zone: Schema.optional(Zone),
        soft: Schema.optional(Amount),
        hard: Schema.optional(Amount),
      }),
    }),
    { default: () => ({}) },
  ),
});

const money = (v: string | number | undefined): Money | null =>
  v === undefined ? null : parseMoney(String(v));

/** `what`: the file's name, for messages. Throws `BudgetSettingsError` naming each wrong field. */
export const parseBudgets = (yaml: string, teams: readonly Team[], what: string): BudgetSettings => {
  const fail = (message: string): BudgetSettingsError => new BudgetSettingsError(message);
  const f = check(File, read(parseYaml, yaml, what, fail), what, fail, true);
  const problems: string[] = [];
  const names = teams.map((t) => t.name);
  for (const [name, o] of Object.entries(f.owners)) {
    if (!names.includes(name))
      problems.push(`${what}: owners.${name}: no team of the platform's file; those are ${names.join(', ')}`);
    const soft = money(o.soft);
    const hard = money(o.hard);
    if (soft !== null && hard !== null && soft > hard)
      problems.push(`${what}: owners.${name}.soft: is above hard; lower it, or raise hard`);
  }
  if (problems.length > 0) throw new BudgetSettingsError(problems.join('\n'));
  return {
    currency: f.currency,
    zone: f.zone,
    quantile: f.quantile,
    changesPerS: f.changes_per_s,
    owners: new Map(
      names.map((name) => {
        const o = f.owners[name];
        const limit = { soft: money(o?.soft), hard: money(o?.hard) };
        return [name, { calendar: new Calendar(o?.zone ?? f.zone), limit }];
      }),
    ),
  };
};
