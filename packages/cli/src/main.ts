/** The command-line program: starts a controller, checks settings and reads what the key-value store holds. */
import { readFileSync } from 'node:fs';

import { describeContradiction, findContradictions } from '@shaleyoke/config/contradictions';
import { printedSettings } from '@shaleyoke/config/printed-settings';
import { parseMembership, parseSettings, parseTuning, SettingsError } from '@shaleyoke/config/settings';
import { Clients, ClientsLive } from '@shaleyoke/controller/clients';
import { Log, LogLive, parseLogLevel } from '@shaleyoke/controller/log';
import { type FeatureListener, runController } from '@shaleyoke/controller/run-controller';
import { ACTIVE_JOBS_PREFIX, LEADER_KEY, MACHINE_PAGES_PREFIX } from '@shaleyoke/core/codecs/keys';
import type { StoredItem, StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Feature } from '@shaleyoke/core/feature-api';
import { Command, CommanderError } from 'commander';
import { Effect, Layer } from 'effect';

/** Paths of the settings files, as given on the command line. */
interface FileOptions {
  readonly config: string;
  readonly operators?: string;
  readonly budgets?: string;
  readonly kube?: string;
  readonly membership?: string;
}

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

const readText = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${path}: ${(error as Error).message}`);
  }
};

const loadSettings = (options: FileOptions): Settings => {
  return parseSettings(
    readText(options.config),
    options.operators === undefined ? null : readText(options.operators),
    options.membership === undefined
      ? null
      : parseMembership(readText(options.membership), options.membership),
  );
};

/** Optional features are separate bundles: one that is disabled costs neither start-up time nor memory. */
const importBudgets = (): Promise<typeof import('@shaleyoke/budgets/plugin')> =>
  import('@shaleyoke/budgets/plugin');

const importKubernetes = (): Promise<typeof import('@shaleyoke/kubernetes/plugin')> =>
  import('@shaleyoke/kubernetes/plugin');

const loadKubernetes = async (
  file: string,
  settings: Settings,
): Promise<{ feature: Feature; listener: FeatureListener }> => {
  const kubernetes = await importKubernetes();
  try {
    return kubernetes.createKubernetesPlugin(readText(file), settings.teams, file);
  } catch (error) {
    throw error instanceof kubernetes.KubeSettingsError ? new SettingsError(error.message) : error;
  }
};

const loadBudgets = async (options: FileOptions, settings: Settings): Promise<Feature[]> => {
  if (options.budgets === undefined) return [];
  const budgets = await importBudgets();
  try {
    return [
      new budgets.Budgets(budgets.parseBudgets(readText(options.budgets), settings.teams, options.budgets)),
    ];
  } catch (error) {
    throw error instanceof budgets.BudgetSettingsError ? new SettingsError(error.message) : error;
  }
};

const serve = async (options: FileOptions): Promise<void> => {
  const settings = loadSettings(options);
  const requestedLevel = process.env['LOG_LEVEL'];
  const level = parseLogLevel(requestedLevel);
  if (level === null)
    throw new SettingsError(
      `LOG_LEVEL: expected error, info or debug, not ${JSON.stringify(requestedLevel)}`,
    );
  const layers = Layer.merge(LogLive(settings.member, level), ClientsLive(settings));
  // Nothing is awaited unless a feature is enabled, so a start without features is not delayed.
  const features = options.budgets === undefined ? [] : await loadBudgets(options, settings);
  const kube = options.kube === undefined ? null : await loadKubernetes(options.kube, settings);
  if (kube !== null) features.push(kube.feature);
  const listeners = kube === null ? [] : [kube.listener];
  // Contradictions are logged, and the controller starts all the same: one that refused to start would keep no rule either.
  const logContradictions = Log.pipe(
    Effect.map((log) => {
      for (const { level, field, problem, remedy } of findContradictions(settings))
        log.write(level === 'error' ? 'error' : 'info', 'settings.contradiction', { field, problem, remedy });
    }),
  );
  const controller = logContradictions.pipe(Effect.zipRight(runController(settings, features, listeners)));
  Effect.runPromise(Effect.scoped(controller).pipe(Effect.provide(layers))).catch((error: unknown) => {
    console.error(String(error));
    process.exit(EXIT_FAILED);
  });
};

const listPage = (prefix: string, after: string | undefined): Effect.Effect<StoreReply, never, Clients> =>
  Clients.pipe(
    Effect.flatMap((clients) =>
      clients.requestStore(
        { kind: 'list', prefix, limit: 500, ...(after === undefined ? {} : { after }) },
        2,
      ),
    ),
  );

/** Prints all items under a key prefix, one JSON object a line, and ends the process. Writes nothing to the store. */
const printItems = (options: FileOptions, prefix: string): void => {
  const settings = loadSettings(options);
  const allPages = Effect.gen(function* () {
    let after: string | undefined;
    for (;;) {
      const reply = yield* listPage(prefix, after);
      if (reply.kind !== 'items') return false;
      for (const item of reply.items) console.log(JSON.stringify({ key: item.key, value: item.value }));
      after = reply.items.at(-1)?.key;
      if (!reply.more || after === undefined) return true;
    }
  });
  Effect.runPromise(allPages.pipe(Effect.provide(ClientsLive(settings)))).then((ok) => {
    if (!ok) console.error('the state service does not answer');
    process.exit(ok ? 0 : EXIT_FAILED);
  }, console.error);
};

const program = new Command('shaleyoke')
  .description('Cluster scheduler: accepts jobs, rents machines, places tasks on them.')
  .version('0.1.0')
  .exitOverride();

/** Adds a subcommand with the options that name the settings files. */
const addCommand = (name: string, description: string): Command =>
  program
    .command(name)
    .description(description)
    .option('--operators <file>', "operators' own settings (YAML)")
    .option('--membership <file>', 'exchange heartbeats between controllers (YAML)')
    .requiredOption('--config <file>', "the platform's settings (TOML)");

addCommand('serve', 'run one controller until it is killed')
  .option('--budgets <file>', 'charge jobs to their owners and enforce budget limits (YAML)')
  .option('--kube <file>', 'accept Kubernetes Jobs on a separate listener (YAML)')
  .action(serve);
addCommand('check-config', 'check the settings and print the effective values').action(
  (options: FileOptions) => {
    const settings = loadSettings(options);
    const found = findContradictions(settings);
    for (const contradiction of found)
      if (contradiction.level === 'warning')
        console.error(`warning: ${describeContradiction(contradiction)}`);
    const errors = found
      .filter((contradiction) => contradiction.level === 'error')
      .map(describeContradiction);
    if (errors.length > 0) throw new SettingsError(errors.join('\n'));
    console.log(JSON.stringify(printedSettings(settings), null, 2));
  },
);
addCommand('leader', 'show the current leader').action((options: FileOptions) => {
  printItems(options, LEADER_KEY);
});
addCommand('jobs', 'list the jobs that have not ended').action((options: FileOptions) => {
  printItems(options, ACTIVE_JOBS_PREFIX);
});
addCommand('machines', 'list the recorded machines').action((options: FileOptions) => {
  printItems(options, MACHINE_PAGES_PREFIX);
});

program
  .command('demo')
  .description(
    'run three tenants on this machine for about a minute, with crashes, and print their statements',
  )
  .option('--verbose', "also print the controllers' logs", false)
  .action(async (options: { verbose: boolean }) => {
    const { runDemo } = await import('@shaleyoke/demo/demo');
    const ok = await runDemo(
      [process.execPath, process.argv[1]!],
      (line) => {
        console.log(line);
      },
      options.verbose,
    );
    process.exit(ok ? 0 : EXIT_FAILED);
  });

// Used by the build only: runs the parsers that a start runs, so that the code cache holds their compiled code.
program.command('warm-up', { hidden: true }).action(() => {
  parseTuning('leader_lease_s: 6');
  parseMembership('version: 1', 'membership');
  try {
    parseSettings('member = "a"', null);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
  }
});

/** Sets the exit code for wrong arguments or settings; any other error is a fault of the program and is thrown again. */
const handleError = (error: unknown): void => {
  if (error instanceof CommanderError) process.exitCode = error.exitCode === 0 ? 0 : EXIT_USAGE;
  else if (error instanceof SettingsError) {
    console.error(error.message);
    process.exitCode = EXIT_USAGE;
  } else throw error;
};

/** What the features' commands need of the key-value store. */
type StoreAccess = import('@shaleyoke/budgets/plugin').StoreAccess & {
  remove(key: string, version: number): Promise<boolean>;
};

/** Opens the key-value store for the features' commands. A call rejects if the store does not answer. */
const openStore = (settings: Settings): StoreAccess => {
  const layer = ClientsLive(settings);
  const clients = Effect.runSync(Effect.provide(Clients, layer));
  const send = async (operation: StoreOperation): Promise<StoreReply> => {
    const reply = await Effect.runPromise(clients.requestStore(operation, 2));
    if (reply.kind === 'failed') throw new Error(`the state service does not answer (${reply.reason})`);
    return reply;
  };
  return {
    list: async (prefix, startAfter, until) => {
      const items: StoredItem[] = [];
      for (let after = startAfter; ; after = items.at(-1)?.key) {
        const page = await send({
          kind: 'list',
          prefix,
          limit: 500,
          ...(after === undefined ? {} : { after }),
        });
        if (page.kind !== 'items') throw new Error('the state service returned no items for a list request');
        const wanted = page.items.filter((item) => until === undefined || item.key <= until);
        items.push(...wanted);
        if (!page.more || wanted.length < page.items.length) return items;
      }
    },
    get: async (key) => {
      const reply = await send({ kind: 'get', key });
      return reply.kind === 'item' ? reply.item : null;
    },
    put: async (key, value, version) => {
      const reply = await send({
        kind: 'txn',
        conditions: [{ key, version }],
        writes: [{ kind: 'put', key, value }],
      });
      if (reply.kind === 'refused') throw new Error(`the state service refused the change: ${reply.reason}`);
      return reply.kind === 'ok';
    },
    remove: async (key, version) => {
      const reply = await send({
        kind: 'txn',
        conditions: [{ key, version }],
        writes: [{ kind: 'delete', key }],
      });
      return reply.kind === 'ok';
    },
  };
};

const HELP_ARGUMENTS = new Set(['help', '--help', '-h']);
const BUDGET_COMMANDS = new Set(['budget', 'statement']);

const print = (line: string): void => {
  console.log(line);
};
const exit = (code: number, problem?: string): void => {
  if (problem !== undefined) console.error(problem);
  process.exit(code);
};

/** Registers the features' commands that the arguments need, then runs the command that they name. */
const run = async (): Promise<void> => {
  const commandName = process.argv[2];
  const needsHelp = commandName === undefined || HELP_ARGUMENTS.has(commandName);
  if (needsHelp || commandName === 'kube') {
    const { register } = await importKubernetes();
    register(program, {
      load: loadSettings,
      service: openStore,
      print,
      now: () => Date.now() * 1000,
      end: exit,
    });
  }
  if (needsHelp || BUDGET_COMMANDS.has(commandName)) {
    const { register } = await importBudgets();
    register(program, {
      load: loadSettings,
      service: openStore,
      print,
      now: () => Date.now() * 1000,
      end: exit,
    });
  }
  await program.parseAsync();
  // The command may still be running; idle connections to the state service don't keep the process alive once it is done.
  if (commandName !== undefined && (BUDGET_COMMANDS.has(commandName) || commandName === 'kube'))
    process.exitCode ??= 0;
};

run().catch(handleError);
