/** An owner's monthly statement: made from the records, in a published format that can be verified offline. */
import { stringify } from 'csv-stringify/sync';

import { Calendar } from './calendar.js';
import { addCharge, type Charge, zeroCharge } from './ledger.js';
import { formatMoney, parseMoney } from './money.js';
import type { LedgerView } from './reader.js';
import { digestOf } from './records.js';

/** What a job was charged in the statement's month. */
export interface StatementLine {
  readonly job: string;
  readonly class: string;
  /** Charged to the owner, with six decimal places. */
  readonly charged: string;
  /** Task run time that was charged, in whole microseconds. */
  readonly charged_us: number;
  /** Cost of run time that was lost, repeated or unseen, paid by the platform. */
  readonly not_charged: string;
  /** Preemptions that lost work. */
  readonly stops: number;
  /** The part of `charged` that belongs to an earlier month which was already closed. */
  readonly late: string;
  /** Whether the job may still be charged for more. */
  readonly open: boolean;
}

/** Version 1, with the schema `schema/statement-1.json`. Amounts are decimal strings with six places. */
export interface Statement {
  readonly format: 'shaleyoke.statement';
  readonly version: 1;
  readonly owner: string;
  readonly month: string;
  /** The owner's time zone. */
  readonly zone: string;
  /** Local time of the first moment of the month. */
  readonly from: string;
  /** Local time of the first moment of the next month. */
  readonly to: string;
  readonly currency: string;
  /** A closed statement never changes. */
  readonly closed: boolean;
  /** The limits of the month; null: none. */
  readonly limit: { readonly soft: string | null; readonly hard: string | null };
  /** Overrun of the previous month, which counts against this month's limit. */
  readonly carried: string;
  /** One line for each job, ordered by id. */
  readonly lines: readonly StatementLine[];
  /** The sums of all lines. */
  readonly totals: Omit<StatementLine, 'job' | 'class' | 'open'>;
  /** SHA-256 of the canonical JSON (RFC 8785) of all other fields. */
  readonly digest: string;
}

/** What the operators' file says of an owner; used for months that are not closed. */
export interface StatementTerms {
  readonly zone: string;
  readonly currency: string;
  readonly limit: { readonly soft: number | null; readonly hard: number | null };
}

const amounts = (charge: Readonly<Charge>): Statement['totals'] => ({
  charged: formatMoney(charge.money),
  charged_us: charge.runUs,
  not_charged: formatMoney(charge.uncharged),
  stops: charge.stops,
  late: formatMoney(charge.late),
});

const formatOptional = (m: number | null): string | null => (m === null ? null : formatMoney(m));

/**
 * The statement of a month, without anything of other owners. `terms`: from the operators' file; the record of a closed
 * month takes precedence.
 */
export const statementOf = (
  view: LedgerView,
  owner: string,
  month: string,
  terms: StatementTerms,
): Statement => {
  const record = view.closed.find((c) => c.owner === owner && c.month === month);
  const zone = record?.zone ?? terms.zone;
  const calendar = new Calendar(zone);
  const { from, to } = calendar.month(month);
  const lines = new Map<string, { cls: string; charge: Charge; open: boolean }>();
  const total = zeroCharge();
  const open = new Set(view.open.map((o) => o.job));
  for (const charged of view.lines) {
    if (charged.owner !== owner || charged.month !== month) continue;
    const line = lines.get(charged.job) ?? { cls: charged.jobClass, charge: zeroCharge(), open: false };
    lines.set(charged.job, line);
    line.open ||= record === undefined && open.has(charged.job);
    addCharge(line.charge, charged.charge);
    addCharge(total, charged.charge);
  }
  const [carriedMonth, carried] = view.head?.c[owner] ?? ['', 0];
  const body: Omit<Statement, 'digest'> = {
    format: 'shaleyoke.statement',
    version: 1,
    owner,
    month,
    zone,
    from: calendar.format(from),
    to: calendar.format(to),
    currency: record?.currency ?? terms.currency,
    closed: record !== undefined,
    limit: {
      soft: formatOptional(record === undefined ? terms.limit.soft : record.limit.soft),
      hard: formatOptional(record === undefined ? terms.limit.hard : record.limit.hard),
    },
    carried: formatMoney(record?.carried ?? (carriedMonth === month ? carried : 0)),
    lines: [...lines]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([job, l]) => ({ job, class: l.cls, ...amounts(l.charge), open: l.open })),
    totals: amounts(total),
  };
  return { ...body, digest: digestOf(body) };
};

/** Checks the sums and the digest of a statement; returns each problem, or none. */
export const checkStatement = (statement: Statement): string[] => {
  const problems: string[] = [];
  const { digest, ...body } = statement;
  if (digestOf(body) !== digest) problems.push('digest: does not belong to this content; it was changed');
  const ids = new Set(statement.lines.map((l) => l.job));
  if (ids.size !== statement.lines.length) problems.push('lines: a job stands there twice');
  for (const field of ['charged', 'not_charged', 'late'] as const) {
    let sum = 0;
    for (const line of statement.lines) {
      const amount = parseMoney(line[field]);
      if (amount === null) problems.push(`lines.${line.job}.${field}: not an amount`);
      else sum += amount;
    }
    if (formatMoney(sum) !== statement.totals[field])
      problems.push(`totals.${field}: ${statement.totals[field]}, the lines add up to ${formatMoney(sum)}`);
  }
  for (const field of ['charged_us', 'stops'] as const) {
    const sum = statement.lines.reduce((n, l) => n + l[field], 0);
    if (sum !== statement.totals[field])
      problems.push(`totals.${field}: ${statement.totals[field]}, the lines add up to ${sum}`);
  }
  return problems;
};

/** The lines of a statement as CSV with a header. */
export const statementCsv = (statement: Statement): string =>
  stringify(
    statement.lines.map((line) => [
      statement.owner,
      statement.month,
      line.job,
      line.class,
      line.charged,
      line.charged_us,
      line.not_charged,
      line.stops,
      line.late,
    ]),
    {
      header: true,
      columns: ['owner', 'month', 'job', 'class', 'charged', 'charged_us', 'not_charged', 'stops', 'late'],
    },
  );

const hours = (us: number): string => (us / 3.6e9).toFixed(3);

/** A statement as text for people. */
export const statementText = (statement: Statement): string => {
  const lines = [
    `Statement of ${statement.owner} for ${statement.month} (${statement.zone})`,
    `${statement.from} to ${statement.to}, amounts in ${statement.currency}`,
    statement.closed
      ? 'Closed: it will not change.'
      : 'So far: the month is not closed, and jobs marked * go on.',
    '',
  ];
  const width = Math.max(12, ...statement.lines.map((l) => l.job.length));
  const row = (job: string, totals: Statement['totals'], mark: string): string =>
    `${job.padEnd(width)}${mark.padEnd(2)}${totals.charged.padStart(16)}${hours(totals.charged_us).padStart(12)}` +
    `${totals.not_charged.padStart(16)}${String(totals.stops).padStart(7)}`;
  lines.push(
    `${'job'.padEnd(width + 2)}${'charged'.padStart(16)}${'task hours'.padStart(12)}${'not charged'.padStart(16)}${'stops'.padStart(7)}`,
  );
  for (const line of statement.lines) lines.push(row(line.job, line, line.open ? '*' : ''));
  lines.push(row('total', statement.totals, ''), '');
  if (statement.totals.late !== '0.000000')
    lines.push(`Of this, ${statement.totals.late} is for earlier months.`);
  if (statement.carried !== '0.000000')
    lines.push(`Overrun of the month before, off this one's limit: ${statement.carried}`);
  if (statement.limit.hard !== null) lines.push(`Limit: ${statement.limit.hard}`);
  lines.push(
    'Not charged: what was lost with machines or stopped for higher priority, and what nobody could see.',
    `Digest: ${statement.digest}`,
  );
  return lines.join('\n');
};
