/** Command-line tools for operators. All but `budget set` only read; that one prints what it changed. */
import { readFileSync } from 'node:fs';

import {
  ACTIVE_JOBS_PREFIX,
  endedJobKey,
  MACHINE_TYPES_KEY,
  RUNTIME_SUMMARY_KEY,
} from '@shaleyoke/core/codecs/keys';
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Command } from 'commander';

import { isMonth } from './calendar.js';
import { explainJob, standingOf } from './explain.js';
import { readLedger, readLedgerOfMonth, type StoreAccess } from './fetch.js';
import { totalSpent } from './limits.js';
import { formatMoney, type Money, parseMoney } from './money.js';
import { balanceOf, verifyLedger } from './reader.js';
import { limitKey, type LimitRecord, readLimit } from './records.js';
import { type BudgetSettings, BudgetSettingsError, type Limit, parseBudgets } from './settings.js';
import { statementCsv, statementOf, statementText } from './statement.js';
import { verifyStatement } from './verify.js';

/** What the commands need of the program that they are added to. */
export interface CommandHost {
  /** Reads and checks the platform's settings. */
  load(files: FileOptions): Settings;
  /** Connects to the state service. */
  service(settings: Settings): StoreAccess;
  /** Writes lines to standard output. */
  print(text: string): void;
  /** The current time in microseconds since the epoch. */
  now(): number;
  /** Ends the program with an exit code: 1 if something failed or doesn't agree, 2 for wrong arguments. */
  end(code: number, problem?: string): void;
}

/** Paths of the settings files, from the command line. */
export interface FileOptions {
  /** The platform's settings (TOML). */
  readonly config: string;
  /** The operators' own settings (YAML). */
  readonly operators?: string;
  /** The file that switches budgets on (YAML). */
  readonly budgets: string;
}

/** Changes of a limit that its record keeps, if they fit. */
const MAX_CHANGES_KEPT = 10;

/** The checked settings and the state service, opened for one command. */
interface ToolContext {
  readonly settings: Settings;
  readonly budgets: BudgetSettings;
  readonly service: StoreAccess;
}

const openTool = (host: CommandHost, options: FileOptions): ToolContext => {
  const settings = host.load(options);
  let text: string;
  try {
    text = readFileSync(options.budgets, 'utf8');
  } catch (error) {
    throw new BudgetSettingsError(`${options.budgets}: ${(error as Error).message}`);
  }
  const budgets = parseBudgets(text, settings.teams, options.budgets);
  return { settings, budgets, service: host.service(settings) };
};

const requireOwner = (opened: ToolContext, owner: string): string => {
  if (!opened.budgets.owners.has(owner))
    throw new BudgetSettingsError(
      `--owner: ${owner} is no team of the platform's file; those are ${[...opened.budgets.owners.keys()].join(', ')}`,
    );
  return owner;
};

const limitText = (m: Money | null): string => (m === null ? 'none' : formatMoney(m));

const parseLimit = (text: string | undefined, field: string, before: Money | null): Money | null => {
  if (text === undefined) return before;
  if (text === 'none') return null;
  const amount = parseMoney(text);
  if (amount === null)
    throw new BudgetSettingsError(
      `--${field}: expected an amount such as 1200 or 1200.50, or none, not ${text}`,
    );
  return amount;
};

interface SetOptions extends FileOptions {
  readonly owner: string;
  readonly soft?: string;
  readonly hard?: string;
  readonly by: string;
  readonly why: string;
}

const setLimit = async (host: CommandHost, options: SetOptions): Promise<void> => {
  const tool = openTool(host, options);
  const owner = requireOwner(tool, options.owner);
  if (options.soft === undefined && options.hard === undefined)
    throw new BudgetSettingsError('budget set: name --soft, --hard or both; nothing was changed');
  // Wrong amounts are reported before the service is contacted.
  parseLimit(options.soft, 'soft', null);
  parseLimit(options.hard, 'hard', null);
  const item = await tool.service.get(limitKey(owner));
  const oldRecord = item === null ? null : readLimit(item.value);
  if (item !== null && oldRecord === null) {
    host.end(1, `${limitKey(owner)}: the record can't be read; nothing was changed`);
    return;
  }
  const before: Limit = oldRecord ?? tool.budgets.owners.get(owner)!.limit;
  const after: Limit = {
    soft: parseLimit(options.soft, 'soft', before.soft),
    hard: parseLimit(options.hard, 'hard', before.hard),
  };
  if (after.soft !== null && after.hard !== null && after.soft > after.hard)
    throw new BudgetSettingsError(
      `--soft: ${limitText(after.soft)} is above hard, ${limitText(after.hard)}; nothing was changed`,
    );
  const limitFields = (l: Limit): Limit => ({ soft: l.soft, hard: l.hard });
  const change = { at: host.now(), by: options.by, why: options.why, before: limitFields(before), after };
  let changes = [...(oldRecord?.changes ?? []), change].slice(-MAX_CHANGES_KEPT);
  const record = (): LimitRecord => ({ v: 1, ...after, changes });
  while (changes.length > 1 && jsonByteLength(record()) > tool.settings.maxValueBytes - 256)
    changes = changes.slice(1);
  if (!(await tool.service.put(limitKey(owner), record(), item?.version ?? 0))) {
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
      `by ${options.by}: ${options.why}`,
      'The leader takes it up within half a minute. What has begun goes on.',
    ].join('\n'),
  );
};

const listOwners = async (host: CommandHost, options: FileOptions): Promise<void> => {
  const tool = openTool(host, options);
  const view = await readLedger(tool.service);
  const rows = [...tool.budgets.owners.keys()].map((owner) => {
    const standing = standingOf(view, owner, tool.budgets, host.now());
    return [
      owner,
      standing.month,
      formatMoney(standing.charged),
      formatMoney(standing.pending),
      formatMoney(standing.committed),
      limitText(standing.limit.soft),
      limitText(standing.limit.hard),
      standing.limit.hard !== null && totalSpent(standing) >= standing.limit.hard ? 'LIMIT REACHED' : '',
    ];
  });
  const head = ['owner', 'month', 'charged', 'pending', 'committed', 'soft', 'hard', ''];
  const widths = head.map((h, i) => Math.max(h.length, ...rows.map((r) => r[i]!.length)));
  for (const cells of [head, ...rows])
    host.print(
      cells
        .map((c, i) => (i < 2 ? c.padEnd(widths[i]!) : c.padStart(widths[i]!)))
        .join('  ')
        .trimEnd(),
    );
};

const showOwner = async (
  host: CommandHost,
  options: FileOptions & { readonly owner: string },
): Promise<void> => {
  const tool = openTool(host, options);
  const owner = requireOwner(tool, options.owner);
  const view = await readLedger(tool.service);
  const standing = standingOf(view, owner, tool.budgets, host.now());
  const { calendar } = tool.budgets.owners.get(owner)!;
  host.print(
    [
      `${owner}, ${standing.month} (${calendar.zone}), amounts in ${tool.budgets.currency}`,
      `charged     ${formatMoney(standing.charged)}`,
      `pending     ${formatMoney(standing.pending)}  running now, charged when it is done or saved`,
      `committed   ${formatMoney(standing.committed)}  what begun and promised jobs will probably still cost`,
      `carried     ${formatMoney(standing.carried)}  overrun of the month before`,
      `soft limit  ${limitText(standing.limit.soft)}`,
      `hard limit  ${limitText(standing.limit.hard)}`,
      ...(view.limits.get(owner)?.changes ?? []).map(
        (change) =>
          `${calendar.format(change.at)}  ${change.by}: soft ${limitText(change.before?.soft ?? null)} -> ${limitText(change.after.soft)}, ` +
          `hard ${limitText(change.before?.hard ?? null)} -> ${limitText(change.after.hard)} (${change.why})`,
      ),
    ].join('\n'),
  );
};

const explain = async (host: CommandHost, id: string, options: FileOptions): Promise<void> => {
  const tool = openTool(host, options);
  const { service } = tool;
  const facts = {
    active: await service.list(ACTIVE_JOBS_PREFIX),
    ended: await service.get(endedJobKey(id)),
    types: await service.get(MACHINE_TYPES_KEY),
    timings: await service.get(RUNTIME_SUMMARY_KEY),
  };
  host.print(explainJob(id, facts, await readLedger(service), tool.budgets, host.now()).join('\n'));
};

interface StatementOptions extends FileOptions {
  readonly owner: string;
  readonly month?: string;
  readonly format: string;
}

const printStatement = async (host: CommandHost, options: StatementOptions): Promise<void> => {
  const tool = openTool(host, options);
  const owner = requireOwner(tool, options.owner);
  const { calendar, limit } = tool.budgets.owners.get(owner)!;
  const month = options.month ?? calendar.monthAt(host.now()).id;
  if (!isMonth(month))
    throw new BudgetSettingsError(`--month: expected a month such as 2026-12, not ${month}`);
  if (!['text', 'csv', 'json'].includes(options.format))
    throw new BudgetSettingsError(`--format: expected text, csv or json, not ${options.format}`);
  const view = await readLedgerOfMonth(tool.service, owner, month, calendar.month(month).from);
  if (view.problems.length > 0) {
    host.end(1, `the books don't agree with themselves; see statement verify\n${view.problems.join('\n')}`);
    return;
  }
  const set = view.limits.get(owner);
  const terms = { zone: calendar.zone, currency: tool.budgets.currency, limit: set ?? limit };
  const statement = statementOf(view, owner, month, terms);
  host.print(
    options.format === 'json'
      ? JSON.stringify(statement, null, 2)
      : options.format === 'csv'
        ? statementCsv(statement).trimEnd()
        : statementText(statement),
  );
};

/** Records read during a flush may disagree, so they are read again before differences are reported. */
const VERIFY_ATTEMPTS = 4;
const VERIFY_RETRY_MS = 1_500;

const verify = async (host: CommandHost, options: Partial<FileOptions>): Promise<void> => {
  if (options.config === undefined || options.budgets === undefined) {
    host.end(2, 'statement verify: name a FILE, or --config and --budgets to verify the books on record');
    return;
  }
  const tool = openTool(host, options as FileOptions);
  let view = await readLedger(tool.service);
  let differences = verifyLedger(view);
  for (let attempt = 1; attempt < VERIFY_ATTEMPTS && differences.length > 0; attempt++) {
    await new Promise((done) => setTimeout(done, VERIFY_RETRY_MS));
    view = await readLedger(tool.service);
    differences = verifyLedger(view);
  }
  const balance = balanceOf(view);
  host.print(
    [
      `cost of machines     ${formatMoney(balance.cost)}`,
      `charged to owners    ${formatMoney(balance.charged)}`,
      `pending              ${formatMoney(balance.pending)}`,
      ...Object.entries(balance.platform).map(([why, m]) => `platform, ${why.padEnd(10)} ${formatMoney(m)}`),
    ].join('\n'),
  );
  if (differences.length > 0) host.end(1, `the books DON'T agree:\n${differences.join('\n')}`);
  else host.print(`The books agree: rebuilt from ${view.lines.length} facts, to the last unit.`);
};

const verifyFile = (host: CommandHost, file: string): void => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    host.end(2, `${file}: ${(error as Error).message}`);
    return;
  }
  const problems = verifyStatement(text);
  if (problems.length > 0) host.end(1, `${file}: does NOT hold\n${problems.join('\n')}`);
  else host.print(`${file}: holds (form, sums and digest)`);
};

/** Adds the commands `budget` and `statement` to the program. */
export const register = (program: Command, host: CommandHost): void => {
  const files = (command: Command, required = true): Command => {
    const add = (flags: string, text: string): void => {
      if (required) command.requiredOption(flags, text);
      else command.option(flags, text);
    };
    add('--config <file>', "the platform's settings (TOML)");
    add('--budgets <file>', 'the file that switches budgets on (YAML)');
    return command.option('--operators <file>', "operators' own settings (YAML)");
  };
  const run = (what: () => Promise<void>): void => {
    what().catch((error: unknown) => {
      host.end(error instanceof BudgetSettingsError ? 2 : 1, (error as Error).message);
    });
  };
  const budget = program.command('budget').description('spending of owners, and their limits');
  files(budget.command('list'))
    .description('where each owner stands this month')
    .action((options: FileOptions) => {
      run(() => listOwners(host, options));
    });
  files(budget.command('show'))
    .description('one owner: standing, limits, and who changed them')
    .requiredOption('--owner <team>', 'the owner')
    .action((options: FileOptions & { owner: string }) => {
      run(() => showOwner(host, options));
    });
  files(budget.command('explain <job>'))
    .description('whether money holds a job back, and what it was charged')
    .action((id: string, options: FileOptions) => {
      run(() => explain(host, id, options));
    });
  files(budget.command('set'))
    .description('CHANGES the limits of an owner, with who and why on record')
    .requiredOption('--owner <team>', 'the owner')
    .option('--soft <amount>', 'told once a month when it is reached; none: no such limit')
    .option('--hard <amount>', 'holds new jobs back; none: no such limit')
    .requiredOption('--by <name>', 'who changes it')
    .requiredOption('--why <text>', 'for what reason')
    .action((options: SetOptions) => {
      run(() => setLimit(host, options));
    });
  const statement = files(program.command('statement'), false)
    .description("an owner's statement of a month")
    .option('--owner <team>', 'the owner')
    .option('--month <month>', 'such as 2026-12; the present one if none is named')
    .option('--format <form>', 'text, csv or json', 'text')
    .action((options: Partial<StatementOptions>) => {
      if (options.owner === undefined || options.config === undefined || options.budgets === undefined)
        host.end(2, 'statement: --owner, --config and --budgets are required');
      else run(() => printStatement(host, options as StatementOptions));
    });
  statement
    .command('verify [file]')
    .description('checks a downloaded statement (JSON), or all books on record')
    .action((file: string | undefined, _o: unknown, command: Command) => {
      if (file !== undefined) verifyFile(host, file);
      else run(() => verify(host, command.optsWithGlobals()));
    });
};
