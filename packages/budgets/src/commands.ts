/** Commands of operators. All but `budget set` read only; that one says what it changed. */
import { readFileSync } from 'node:fs';

import {
  ACTIVE_JOBS_PREFIX,
  endedJobKey,
  MACHINE_TYPES_KEY,
  RUNTIME_SUMMARY_KEY,
} from '@shaleyoke/core/codecs/keys';
import { bytesOf } from '@shaleyoke/core/codecs/value-size';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Command } from 'commander';

import { isMonth } from './calendar.js';
import { explainJob, standingOf } from './explain.js';
import { allBooks, booksOfMonth, type Service } from './fetch.js';
import { spentOf } from './limits.js';
import { formatMoney, type Money, parseMoney } from './money.js';
import { balanceOf, verifyBooks } from './reader.js';
import { limitKey, type LimitRecord, readLimit } from './records.js';
import { type BudgetSettings, BudgetSettingsError, type Limit, parseBudgets } from './settings.js';
import { csvOf, statementOf, textOf } from './statement.js';
import { verifyStatement } from './verify.js';

export interface Host {
  load(files: FileOptions): Settings;
  service(settings: Settings): Service;
  print(text: string): void;
  now(): number;
  /** Ends the program with an exit code: 1 something outside failed or does not agree, 2 wrong arguments. */
  end(code: number, problem?: string): void;
}

export interface FileOptions {
  readonly config: string;
  readonly operators?: string;
  readonly budgets: string;
}

const KEPT_CHANGES = 10;

interface Opened {
  readonly settings: Settings;
  readonly budgets: BudgetSettings;
  readonly service: Service;
}

const open = (host: Host, o: FileOptions): Opened => {
  const settings = host.load(o);
  let text: string;
  try {
    text = readFileSync(o.budgets, 'utf8');
  } catch (e) {
    throw new BudgetSettingsError(`${o.budgets}: ${(e as Error).message}`);
  }
  const budgets = parseBudgets(text, settings.teams, o.budgets);
  return { settings, budgets, service: host.service(settings) };
};

const ownerOf = (o: Opened, owner: string): string => {
  if (!o.budgets.owners.has(owner))
    throw new BudgetSettingsError(
      `--owner: ${owner} is no team of the platform's file; those are ${[...o.budgets.owners.keys()].join(', ')}`,
    );
  return owner;
};

const limitText = (m: Money | null): string => (m === null ? 'none' : formatMoney(m));

const parseLimit = (text: string | undefined, field: string, before: Money | null): Money | null => {
  if (text === undefined) return before;
  if (text === 'none') return null;
  const m = parseMoney(text);
  if (m === null)
    throw new BudgetSettingsError(
      `--${field}: expected an amount such as 1200 or 1200.50, or none, not ${text}`,
    );
  return m;
};

interface SetOptions extends FileOptions {
  readonly owner: string;
  readonly soft?: string;
  readonly hard?: string;
  readonly by: string;
  readonly why: string;
}

const setLimit = async (host: Host, o: SetOptions): Promise<void> => {
  const at = open(host, o);
  const owner = ownerOf(at, o.owner);
  if (o.soft === undefined && o.hard === undefined)
    throw new BudgetSettingsError('budget set: name --soft, --hard or both; nothing was changed');
  // Wrong amounts are named before anything is asked of the service.
  parseLimit(o.soft, 'soft', null);
  parseLimit(o.hard, 'hard', null);
  const item = await at.service.get(limitKey(owner));
  const old = item === null ? null : readLimit(item.value);
  if (item !== null && old === null) {
    host.end(1, `${limitKey(owner)}: the record can't be read; nothing was changed`);
    return;
  }
  const before: Limit = old ?? at.budgets.owners.get(owner)!.limit;
  const after: Limit = {
    soft: parseLimit(o.soft, 'soft', before.soft),
    hard: parseLimit(o.hard, 'hard', before.hard),
  };
  if (after.soft !== null && after.hard !== null && after.soft > after.hard)
    throw new BudgetSettingsError(
      `--soft: ${limitText(after.soft)} is above hard, ${limitText(after.hard)}; nothing was changed`,
    );
  const plain = (l: Limit): Limit => ({ soft: l.soft, hard: l.hard });
  const change = { at: host.now(), by: o.by, why: o.why, before: plain(before), after };
  let changes = [...(old?.changes ?? []), change].slice(-KEPT_CHANGES);
  const record = (): LimitRecord => ({ v: 1, ...after, changes });
  while (changes.length > 1 && bytesOf(record()) > at.settings.maxValueBytes - 256)
    changes = changes.slice(1);
  if (!(await at.service.put(limitKey(owner), record(), item?.version ?? 0))) {
    host.end(
      1,
      `somebody else changed the limit of ${owner} at the same time; nothing was changed, look and try again`,
    );
    return;
  }
  host.print(
    [
      `CHANGED the limit of ${owner}`,
      `soft: ${limitText(before.soft)} -> ${limitText(after.soft)}`,
      `hard: ${limitText(before.hard)} -> ${limitText(after.hard)}`,
      `by ${o.by}: ${o.why}`,
      'The leader takes it up within half a minute. What has begun goes on.',
    ].join('\n'),
  );
};

const listOwners = async (host: Host, o: FileOptions): Promise<void> => {
  const at = open(host, o);
  const view = await allBooks(at.service);
  const rows = [...at.budgets.owners.keys()].map((owner) => {
    const s = standingOf(view, owner, at.budgets, host.now());
    return [
      owner,
      s.month,
      formatMoney(s.charged),
      formatMoney(s.pending),
      formatMoney(s.committed),
      limitText(s.limit.soft),
      limitText(s.limit.hard),
      s.limit.hard !== null && spentOf(s) >= s.limit.hard ? 'LIMIT REACHED' : '',
    ];
  });
  const head = ['owner', 'month', 'charged', 'pending', 'committed', 'soft', 'hard', ''];
  const widths = head.map((h, i) => Math.max(h.length, ...rows.map((r) => r[i]!.length)));
  for (const r of [head, ...rows])
    host.print(
      r
        .map((c, i) => (i < 2 ? c.padEnd(widths[i]!) : c.padStart(widths[i]!)))
        .join('  ')
        .trimEnd(),
    );
};

const showOwner = async (host: Host, o: FileOptions & { readonly owner: string }): Promise<void> => {
  const at = open(host, o);
  const owner = ownerOf(at, o.owner);
  const view = await allBooks(at.service);
  const s = standingOf(view, owner, at.budgets, host.now());
  const { calendar } = at.budgets.owners.get(owner)!;
  host.print(
    [
      `${owner}, ${s.month} (${calendar.zone}), amounts in ${at.budgets.currency}`,
      `charged     ${formatMoney(s.charged)}`,
      `pending     ${formatMoney(s.pending)}  running now, charged when it is done or saved`,
      `committed   ${formatMoney(s.committed)}  what begun and promised jobs will probably still cost`,
      `carried     ${formatMoney(s.carried)}  overrun of the month before`,
      `soft limit  ${limitText(s.limit.soft)}`,
      `hard limit  ${limitText(s.limit.hard)}`,
      ...(view.limits.get(owner)?.changes ?? []).map(
        (c) =>
          `${calendar.format(c.at)}  ${c.by}: soft ${limitText(c.before?.soft ?? null)} -> ${limitText(c.after.soft)}, ` +
          `hard ${limitText(c.before?.hard ?? null)} -> ${limitText(c.after.hard)} (${c.why})`,
      ),
    ].join('\n'),
  );
};

const explain = async (host: Host, id: string, o: FileOptions): Promise<void> => {
  const at = open(host, o);
  const { service } = at;
  const facts = {
    active: await service.list(ACTIVE_JOBS_PREFIX),
    ended: await service.get(endedJobKey(id)),
    types: await service.get(MACHINE_TYPES_KEY),
    timings: await service.get(RUNTIME_SUMMARY_KEY),
  };
  host.print(explainJob(id, facts, await allBooks(service), at.budgets, host.now()).join('\n'));
};

interface StatementOptions extends FileOptions {
  readonly owner: string;
  readonly month?: string;
  readonly format: string;
}

const printStatement = async (host: Host, o: StatementOptions): Promise<void> => {
  const at = open(host, o);
  const owner = ownerOf(at, o.owner);
  const { calendar, limit } = at.budgets.owners.get(owner)!;
  const month = o.month ?? calendar.at(host.now()).id;
  if (!isMonth(month))
    throw new BudgetSettingsError(`--month: expected a month such as 2026-12, not ${month}`);
  if (!['text', 'csv', 'json'].includes(o.format))
    throw new BudgetSettingsError(`--format: expected text, csv or json, not ${o.format}`);
  const view = await booksOfMonth(at.service, owner, month, calendar.month(month).from);
  if (view.problems.length > 0) {
    host.end(1, `the books don't agree with themselves; see statement verify\n${view.problems.join('\n')}`);
    return;
  }
  const set = view.limits.get(owner);
  const terms = { zone: calendar.zone, currency: at.budgets.currency, limit: set ?? limit };
  const s = statementOf(view, owner, month, terms);
  host.print(
    o.format === 'json' ? JSON.stringify(s, null, 2) : o.format === 'csv' ? csvOf(s).trimEnd() : textOf(s),
  );
};

/** While a flush is under way its parts don't agree yet: looked at again before that is believed. */
const TRIES = 4;
const AGAIN_MS = 1_500;

const verify = async (host: Host, o: Partial<FileOptions>): Promise<void> => {
  if (o.config === undefined || o.budgets === undefined) {
    host.end(2, 'statement verify: name a FILE, or --config and --budgets to verify the books on record');
    return;
  }
  const at = open(host, o as FileOptions);
  let view = await allBooks(at.service);
  let wrong = verifyBooks(view);
  for (let k = 1; k < TRIES && wrong.length > 0; k++) {
    await new Promise((done) => setTimeout(done, AGAIN_MS));
    view = await allBooks(at.service);
    wrong = verifyBooks(view);
  }
  const b = balanceOf(view);
  host.print(
    [
      `cost of machines     ${formatMoney(b.cost)}`,
      `charged to owners    ${formatMoney(b.charged)}`,
      `pending              ${formatMoney(b.pending)}`,
      ...Object.entries(b.platform).map(([why, m]) => `platform, ${why.padEnd(10)} ${formatMoney(m)}`),
    ].join('\n'),
  );
  if (wrong.length > 0) host.end(1, `the books DON'T agree:\n${wrong.join('\n')}`);
  else host.print(`The books agree: rebuilt from ${view.lines.length} facts, to the last unit.`);
};

const verifyFile = (host: Host, file: string): void => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    host.end(2, `${file}: ${(e as Error).message}`);
    return;
  }
  const wrong = verifyStatement(text);
  if (wrong.length > 0) host.end(1, `${file}: does NOT hold\n${wrong.join('\n')}`);
  else host.print(`${file}: holds (form, sums and digest)`);
};

/** Adds the commands to the program. */
export const register = (program: Command, host: Host): void => {
  const files = (c: Command, required = true): Command => {
    const add = (flags: string, text: string): void => {
      if (required) c.requiredOption(flags, text);
      else c.option(flags, text);
    };
    add('--config <file>', "the platform's settings (TOML)");
    add('--budgets <file>', 'the file that switches budgets on (YAML)');
    return c.option('--operators <file>', "operators' own settings (YAML)");
  };
  const run = (what: () => Promise<void>): void => {
    what().catch((e: unknown) => {
      host.end(e instanceof BudgetSettingsError ? 2 : 1, (e as Error).message);
    });
  };
  const budget = program.command('budget').description('spending of owners, and their limits');
  files(budget.command('list'))
    .description('where each owner stands this month')
    .action((o: FileOptions) => {
      run(() => listOwners(host, o));
    });
  files(budget.command('show'))
    .description('one owner: standing, limits, and who changed them')
    .requiredOption('--owner <team>', 'the owner')
    .action((o: FileOptions & { owner: string }) => {
      run(() => showOwner(host, o));
    });
  files(budget.command('explain <job>'))
    .description('whether money holds a job back, and what it was charged')
    .action((id: string, o: FileOptions) => {
      run(() => explain(host, id, o));
    });
  files(budget.command('set'))
    .description('CHANGES the limits of an owner, with who and why on record')
    .requiredOption('--owner <team>', 'the owner')
    .option('--soft <amount>', 'told once a month when it is reached; none: no such limit')
    .option('--hard <amount>', 'holds new jobs back; none: no such limit')
    .requiredOption('--by <name>', 'who changes it')
    .requiredOption('--why <text>', 'for what reason')
    .action((o: SetOptions) => {
      run(() => setLimit(host, o));
    });
  const statement = files(program.command('statement'), false)
    .description("an owner's statement of a month")
    .option('--owner <team>', 'the owner')
    .option('--month <month>', 'such as 2026-12; the present one if none is named')
    .option('--format <form>', 'text, csv or json', 'text')
    .action((o: Partial<StatementOptions>) => {
      if (o.owner === undefined || o.config === undefined || o.budgets === undefined)
        host.end(2, 'statement: --owner, --config and --budgets are required');
      else run(() => printStatement(host, o as StatementOptions));
    });
  statement
    .command('verify [file]')
    .description('checks a downloaded statement (JSON), or all books on record')
    .action((file: string | undefined, _o: unknown, c: Command) => {
      if (file !== undefined) verifyFile(host, file);
      else run(() => verify(host, c.optsWithGlobals()));
    });
};
