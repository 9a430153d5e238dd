/** The command line: a thin program over the library. */
import { readFileSync } from 'node:fs';

import { contradictions, describe } from '@shaleyoke/config/contradictions';
import { printedSettings } from '@shaleyoke/config/printed-settings';
import { parseMembership, parseSettings, parseTuning, SettingsError } from '@shaleyoke/config/settings';
import { Clients, ClientsLive } from '@shaleyoke/controller/clients';
import { Log, logLevel, LogLive } from '@shaleyoke/controller/log';
import { type FeatureListener, runController } from '@shaleyoke/controller/run-controller';
import { ACTIVE_JOBS_PREFIX, LEADER_KEY, MACHINE_PAGES_PREFIX } from '@shaleyoke/core/codecs/keys';
import type { StoredItem, StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Feature } from '@shaleyoke/core/feature-api';
import { Command, CommanderError } from 'commander';
import { Effect, Layer } from 'effect';

interface FileOptions {
  readonly config: string;
  readonly operators?: string;
  readonly budgets?: string;
  readonly kube?: string;
  readonly membership?: string;
}

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

const text = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`${path}: ${(e as Error).message}`);
  }
};

const load = (o: FileOptions): Settings => {
  return parseSettings(
    text(o.config),
    o.operators === undefined ? null : text(o.operators),
    o.membership === undefined ? null : parseMembership(text(o.membership), o.membership),
  );
};

/** Bundles of their own: what is switched off costs neither start-up nor memory. */
const budgetsPlugin = (): Promise<typeof import('@shaleyoke/budgets/plugin')> =>
  import('@shaleyoke/budgets/plugin');

const kubePlugin = (): Promise<typeof import('@shaleyoke/kubernetes/plugin')> =>
  import('@shaleyoke/kubernetes/plugin');

const kubeOf = async (
  file: string,
  settings: Settings,
): Promise<{ feature: Feature; listener: FeatureListener }> => {
  const { switchOn, KubeSettingsError } = await kubePlugin();
  try {
    return switchOn(text(file), settings.teams, file);
  } catch (e) {
    throw e instanceof KubeSettingsError ? new SettingsError(e.message) : e;
  }
};

const budgetsOf = async (o: FileOptions, settings: Settings): Promise<Feature[]> => {
  if (o.budgets === undefined) return [];
  const { Budgets, BudgetSettingsError, parseBudgets } = await budgetsPlugin();
  try {
    return [new Budgets(parseBudgets(text(o.budgets), settings.teams, o.budgets))];
  } catch (e) {
    throw e instanceof BudgetSettingsError ? new SettingsError(e.message) : e;
  }
};

const serve = async (o: FileOptions): Promise<void> => {
  const settings = load(o);
  const wanted = process.env['LOG_LEVEL'];
  const level = logLevel(wanted);
  if (level === null)
    throw new SettingsError(`LOG_LEVEL: expected error, info or debug, not ${JSON.stringify(wanted)}`);
  const layers = Layer.merge(LogLive(settings.member, level), ClientsLive(settings));
  // Without features nothing is awaited: a start is as it was.
  const features = o.budgets === undefined ? [] : await budgetsOf(o, settings);
  const kube = o.kube === undefined ? null : await kubeOf(o.kube, settings);
  if (kube !== null) features.push(kube.feature);
  const listeners = kube === null ? [] : [kube.listener];
  // Named, and served all the same: a controller that would not start keeps no rule either.
  const named = Log.pipe(
    Effect.map((log) => {
      for (const { level, field, problem, remedy } of contradictions(settings))
        log.write(level === 'error' ? 'error' : 'info', 'settings.contradiction', { field, problem, remedy });
    }),
  );
  const node = named.pipe(Effect.zipRight(runController(settings, features, listeners)));
  Effect.runPromise(Effect.scoped(node).pipe(Effect.provide(layers))).catch((e: unknown) => {
    console.error(String(e));
    process.exit(EXIT_FAILED);
  });
};

const page = (prefix: string, after: string | undefined): Effect.Effect<StoreReply, never, Clients> =>
  Clients.pipe(
    Effect.flatMap((c) =>
      c.requestStore({ kind: 'list', prefix, limit: 500, ...(after === undefined ? {} : { after }) }, 2),
    ),
  );

/** Prints everything under a prefix, one JSON object a line. Reads only. */
const show = (o: FileOptions, prefix: string): void => {
  const settings = load(o);
  const all = Effect.gen(function* () {
    let after: string | undefined;
    for (;;) {
      const r = yield* page(prefix, after);
      if (r.kind !== 'items') return false;
      for (const it of r.items) console.log(JSON.stringify({ key: it.key, value: it.value }));
      after = r.items.at(-1)?.key;
      if (!r.more || after === undefined) return true;
    }
  });
  Effect.runPromise(all.pipe(Effect.provide(ClientsLive(settings)))).then((ok) => {
    if (!ok) console.error('the state service does not answer');
    process.exit(ok ? 0 : EXIT_FAILED);
  }, console.error);
};

const program = new Command('shaleyoke')
  .description('Cluster scheduler: accepts jobs, rents machines, places tasks on them.')
  .version('0.1.0')
  .exitOverride();

const withFiles = (name: string, description: string): Command =>
  program
    .command(name)
    .description(description)
    .option('--operators <file>', "operators' own settings (YAML)")
    .option('--membership <file>', 'controllers notice one another by beats (YAML)')
    .requiredOption('--config <file>', "the platform's settings (TOML)");

withFiles('serve', 'run one controller until it is killed')
  .option('--budgets <file>', 'charge jobs to owners and hold to limits (YAML)')
  .option('--kube <file>', 'take Kubernetes Jobs on a listener of their own (YAML)')
  .action(serve);
withFiles('check-config', 'check the settings and print them as understood').action((o: FileOptions) => {
  const settings = load(o);
  const found = contradictions(settings);
  for (const c of found) if (c.level === 'warning') console.error(`warning: ${describe(c)}`);
  const errors = found.filter((c) => c.level === 'error').map(describe);
  if (errors.length > 0) throw new SettingsError(errors.join('\n'));
  console.log(JSON.stringify(printedSettings(settings), null, 2));
});
withFiles('leader', 'show who leads').action((o: FileOptions) => {
  show(o, LEADER_KEY);
});
withFiles('jobs', 'list the jobs that have not ended').action((o: FileOptions) => {
  show(o, ACTIVE_JOBS_PREFIX);
});
withFiles('machines', 'list the machines on record').action((o: FileOptions) => {
  show(o, MACHINE_PAGES_PREFIX);
});

program
  .command('demo')
  .description('play a minute of three tenants on this machine, with crashes, and print their statements')
  .option('--verbose', "print the controllers' logs as well", false)
  .action(async (o: { verbose: boolean }) => {
    const { runDemo } = await import('@shaleyoke/demo/demo');
    const ok = await runDemo(
      [process.execPath, process.argv[1]!],
      (line) => {
        console.log(line);
      },
      o.verbose,
    );
    process.exit(ok ? 0 : EXIT_FAILED);
  });

// For the build only: runs what a start runs, so that the code cache holds it compiled.
program.command('warm-up', { hidden: true }).action(() => {
  parseTuning('leader_lease_s: 6');
  parseMembership('version: 1', 'membership');
  try {
    parseSettings('member = "a"', null);
  } catch (e) {
    if (!(e instanceof SettingsError)) throw e;
  }
});

const fail = (e: unknown): void => {
  if (e instanceof CommanderError) process.exitCode = e.exitCode === 0 ? 0 : EXIT_USAGE;
  else if (e instanceof SettingsError) {
    console.error(e.message);
    process.exitCode = EXIT_USAGE;
  } else throw e;
};

/** The state service for tools, each call as a promise. */
const toolService = (
  settings: Settings,
): import('@shaleyoke/budgets/plugin').Service & {
  remove(key: string, version: number): Promise<boolean>;
} => {
  const layer = ClientsLive(settings);
  const clients = Effect.runSync(Effect.provide(Clients, layer));
  const call = async (op: StoreOperation): Promise<StoreReply> => {
    const r = await Effect.runPromise(clients.requestStore(op, 2));
    if (r.kind === 'failed') throw new Error(`the state service does not answer (${r.reason})`);
    return r;
  };
  return {
    list: async (prefix, from, until) => {
      const items: StoredItem[] = [];
      for (let after = from; ; after = items.at(-1)?.key) {
        const r = await call({ kind: 'list', prefix, limit: 500, ...(after === undefined ? {} : { after }) });
        if (r.kind !== 'items') throw new Error('the state service gave no list');
        const wanted = r.items.filter((it) => until === undefined || it.key <= until);
        items.push(...wanted);
        if (!r.more || wanted.length < r.items.length) return items;
      }
    },
    get: async (key) => {
      const r = await call({ kind: 'get', key });
      return r.kind === 'item' ? r.item : null;
    },
    put: async (key, value, version) => {
      const r = await call({
        kind: 'txn',
        conditions: [{ key, version }],
        writes: [{ kind: 'put', key, value }],
      });
      if (r.kind === 'refused') throw new Error(`the state service refused the change: ${r.reason}`);
      return r.kind === 'ok';
    },
    remove: async (key, version) => {
      const r = await call({
        kind: 'txn',
        conditions: [{ key, version }],
        writes: [{ kind: 'delete', key }],
      });
      return r.kind === 'ok';
    },
  };
};

const HELP = new Set(['help', '--help', '-h']);
const BUDGET_TOOLS = new Set(['budget', 'statement']);

const print = (line: string): void => {
  console.log(line);
};
const end = (code: number, problem?: string): void => {
  if (problem !== undefined) console.error(problem);
  process.exit(code);
};

const start = async (): Promise<void> => {
  const first = process.argv[2];
  const help = first === undefined || HELP.has(first);
  if (help || first === 'kube') {
    const { register } = await kubePlugin();
    register(program, { load, service: toolService, print, now: () => Date.now() * 1000, end });
  }
  if (help || BUDGET_TOOLS.has(first)) {
    const { register } = await budgetsPlugin();
    register(program, {
      load,
      service: toolService,
      print,
      now: () => Date.now() * 1000,
      end,
    });
  }
  await program.parseAsync();
  // Connections to the state service stay open: a tool that is done ends all the same.
  if (first !== undefined && (BUDGET_TOOLS.has(first) || first === 'kube')) process.exitCode ??= 0;
};

start().catch(fail);
