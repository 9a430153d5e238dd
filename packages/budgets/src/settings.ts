/** Reads the file that switches budgets on (`deploy/budgets.yaml`) and checks it against the platform's teams. */
import { decodeOrThrow, parseOrThrow } from '@shaleyoke/config/schema-decoding';
import type { Team } from '@shaleyoke/core/domain/settings';
import { Schema } from 'effect';
import { parse as parseYaml } from 'yaml';

import { Calendar, isKnownZone } from './calendar.js';
import { type Money, parseMoney } from './money.js';

/** An owner's monthly limits. */
export interface Limit {
  /** Logged once a month when it is reached; null: none. */
  readonly soft: Money | null;
  /** Jobs that would exceed it are held back; null: none. */
  readonly hard: Money | null;
}
/** The limits of an owner that has none configured. */
export const NO_LIMIT: Limit = { soft: null, hard: null };

/** The checked content of the file. */
export interface BudgetSettings {
  /** Three-letter code, such as `EUR`. */
  readonly currency: string;
  /** Time zone of owners that have none of their own. */
  readonly zone: string;
  /** The share of runs whose cost a commitment is to cover. */
  readonly quantile: number;
  /** Records written to the state service per second, on average. */
  readonly changesPerS: number;
  /** By name: every team of the platform. */
  readonly owners: ReadonlyMap<string, { readonly calendar: Calendar; readonly limit: Limit }>;
}

/** Wrong settings or arguments; the message names each field and what to do. */
export class BudgetSettingsError extends Error {}

const Amount = Schema.Union(Schema.Number, Schema.String).pipe(
  Schema.filter((v) => parseMoney(String(v)) !== null, {
    message: () => 'expected an amount, not negative, with at most six places, such as 1200 or 1200.50',
  }),
);
const Zone = Schema.String.pipe(
  Schema.filter(isKnownZone, { message: () => 'expected a time zone such as Europe/Warsaw' }),
);

const BudgetsFile = Schema.Struct({
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

const parseAmount = (value: string | number | undefined): Money | null =>
  value === undefined ? null : parseMoney(String(value));

/** Parses the file's text. `what`: its name, for messages. Throws `BudgetSettingsError` naming each wrong field. */
export const parseBudgets = (yaml: string, teams: readonly Team[], what: string): BudgetSettings => {
  const fail = (message: string): BudgetSettingsError => new BudgetSettingsError(message);
  const file = decodeOrThrow(BudgetsFile, parseOrThrow(parseYaml, yaml, what, fail), what, fail, true);
  const problems: string[] = [];
  const names = teams.map((t) => t.name);
  for (const [name, entry] of Object.entries(file.owners)) {
    if (!names.includes(name))
      problems.push(`${what}: owners.${name}: no team of the platform's file; those are ${names.join(', ')}`);
    const soft = parseAmount(entry.soft);
    const hard = parseAmount(entry.hard);
    if (soft !== null && hard !== null && soft > hard)
      problems.push(`${what}: owners.${name}.soft: is above hard; lower it, or raise hard`);
  }
  if (problems.length > 0) throw new BudgetSettingsError(problems.join('\n'));
  return {
    currency: file.currency,
    zone: file.zone,
    quantile: file.quantile,
    changesPerS: file.changes_per_s,
    owners: new Map(
      names.map((name) => {
        const entry = file.owners[name];
        const limit = { soft: parseAmount(entry?.soft), hard: parseAmount(entry?.hard) };
        return [name, { calendar: new Calendar(entry?.zone ?? file.zone), limit }];
      }),
    ),
  };
};
