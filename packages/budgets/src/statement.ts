/** An owner's monthly statement: made from the records, in a published form that anyone can check offline. */
import { stringify } from 'csv-stringify/sync';

import { addCharge, type Charge, noCharge } from './books.js';
import { Calendar } from './calendar.js';
import { formatMoney, parseMoney } from './money.js';
import type { BooksView } from './reader.js';
import { digestOf } from './records.js';

export interface StatementLine {
  readonly job: string;
  readonly class: string;
  /** Charged to the owner, six places. */
  readonly charged: string;
  /** Task time that was charged, whole microseconds. */
  readonly charged_us: number;
  /** Ran as well, but lost, repeated or unclear: the platform's. */
  readonly not_charged: string;
  /** Stops for higher priority that lost work. */
  readonly stops: number;
  /** Of `charged`: for an earlier month that was closed already. */
  readonly late: string;
  /** Whether the job may still be charged for more. */
  readonly open: boolean;
}

/** Version 1; its schema is `schema/statement-1.json`. Amounts are decimal texts of six places. */
export interface Statement {
  readonly format: 'shaleyoke.statement';
  readonly version: 1;
  readonly owner: string;
  readonly month: string;
  readonly zone: string;
  readonly from: string;
  readonly to: string;
  readonly currency: string;
  /** A closed statement never changes. */
  readonly closed: boolean;
  readonly limit: { readonly soft: string | null; readonly hard: string | null };
  /** Overrun of the month before, which came off this one. */
  readonly carried: string;
  readonly lines: readonly StatementLine[];
  readonly totals: Omit<StatementLine, 'job' | 'class' | 'open'>;
  /** SHA-256 of the canonical JSON (RFC 8785) of all the rest. */
  readonly digest: string;
}

export interface StatementTerms {
  readonly zone: string;
  readonly currency: string;
  readonly limit: { readonly soft: number | null; readonly hard: number | null };
}

const amounts = (c: Readonly<Charge>): Statement['totals'] => ({
  charged: formatMoney(c.money),
  charged_us: c.us,
  not_charged: formatMoney(c.free),
  stops: c.stops,
  late: formatMoney(c.late),
});

const money = (m: number | null): string | null => (m === null ? null : formatMoney(m));

/** Nothing in it comes from another owner's records. `terms`: as the operators' file says; a closed record counts. */
export const statementOf = (
  view: BooksView,
  owner: string,
  month: string,
  terms: StatementTerms,
): Statement => {
  const record = view.closed.find((c) => c.owner === owner && c.month === month);
  const zone = record?.zone ?? terms.zone;
  const calendar = new Calendar(zone);
  const { from, to } = calendar.month(month);
  const lines = new Map<string, { cls: string; charge: Charge; open: boolean }>();
  const total = noCharge();
  const open = new Set(view.open.map((o) => o.job));
  for (const l of view.lines) {
    if (l.owner !== owner || l.month !== month) continue;
    const line = lines.get(l.job) ?? { cls: l.cls, charge: noCharge(), open: false };
    lines.set(l.job, line);
    line.open ||= record === undefined && open.has(l.job);
    addCharge(line.charge, l.charge);
    addCharge(total, l.charge);
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
      soft: money(record === undefined ? terms.limit.soft : record.limit.soft),
      hard: money(record === undefined ? terms.limit.hard : record.limit.hard),
    },
    carried: formatMoney(record?.carried ?? (carriedMonth === month ? carried : 0)),
    lines: [...lines]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([job, l]) => ({ job, class: l.cls, ...amounts(l.charge), open: l.open })),
    totals: amounts(total),
  };
  return { ...body, digest: digestOf(body) };
};

/** What is wrong with a statement that somebody was given; empty if its sums and its digest hold. */
export const checkStatement = (s: Statement): string[] => {
  const out: string[] = [];
  const { digest, ...body } = s;
  if (digestOf(body) !== digest) out.push('digest: does not belong to this content; it was changed');
  const ids = new Set(s.lines.map((l) => l.job));
  if (ids.size !== s.lines.length) out.push('lines: a job stands there twice');
  for (const field of ['charged', 'not_charged', 'late'] as const) {
    let sum = 0;
    for (const l of s.lines) {
      const m = parseMoney(l[field]);
      if (m === null) out.push(`lines.${l.job}.${field}: not an amount`);
      else sum += m;
    }
    if (formatMoney(sum) !== s.totals[field])
      out.push(`totals.${field}: ${s.totals[field]}, the lines add up to ${formatMoney(sum)}`);
  }
  for (const field of ['charged_us', 'stops'] as const) {
    const sum = s.lines.reduce((n, l) => n + l[field], 0);
    if (sum !== s.totals[field]) out.push(`totals.${field}: ${s.totals[field]}, the lines add up to ${sum}`);
  }
  return out;
};

export const csvOf = (s: Statement): string =>
  stringify(
    s.lines.map((l) => [
      s.owner,
      s.month,
      l.job,
      l.class,
      l.charged,
      l.charged_us,
      l.not_charged,
      l.stops,
      l.late,
    ]),
    {
      header: true,
      columns: ['owner', 'month', 'job', 'class', 'charged', 'charged_us', 'not_charged', 'stops', 'late'],
    },
  );

const hours = (us: number): string => (us / 3.6e9).toFixed(3);

export const textOf = (s: Statement): string => {
  const out = [
    `Statement of ${s.owner} for ${s.month} (${s.zone})`,
    `${s.from} to ${s.to}, amounts in ${s.currency}`,
    s.closed ? 'Closed: it will not change.' : 'So far: the month is not closed, and jobs marked * go on.',
    '',
  ];
  const width = Math.max(12, ...s.lines.map((l) => l.job.length));
  const row = (job: string, a: Statement['totals'], mark: string): string =>
    `${job.padEnd(width)}${mark.padEnd(2)}${a.charged.padStart(16)}${hours(a.charged_us).padStart(12)}` +
    `${a.not_charged.padStart(16)}${String(a.stops).padStart(7)}`;
  out.push(
    `${'job'.padEnd(width + 2)}${'charged'.padStart(16)}${'task hours'.padStart(12)}${'not charged'.padStart(16)}${'stops'.padStart(7)}`,
  );
  for (const l of s.lines) out.push(row(l.job, l, l.open ? '*' : ''));
  out.push(row('total', s.totals, ''), '');
  if (s.totals.late !== '0.000000') out.push(`Of this, ${s.totals.late} is for earlier months.`);
  if (s.carried !== '0.000000') out.push(`Overrun of the month before, off this one's limit: ${s.carried}`);
  if (s.limit.hard !== null) out.push(`Limit: ${s.limit.hard}`);
  out.push(
    'Not charged: what was lost with machines or stopped for higher priority, and what nobody could see.',
    `Digest: ${s.digest}`,
  );
  return out.join('\n');
};
