/** The `kube` commands. Those that change something say so in their name, help and output. */
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';

import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Command } from 'commander';

import { checkText } from './check.js';
import { KubeSettingsError, parseKubeSettings } from './settings.js';
import { type Kind, KINDS } from './subset.js';
import { markdownOf, rowsOf } from './table.js';
import { newToken, readToken, TOKEN_PREFIX, tokenKey } from './tokens.js';

/** Access to the key-value store. Each method throws if the store doesn't answer. */
export interface KeyValueService {
  /** All items whose key has the prefix. */
  list(prefix: string): Promise<readonly StoredItem[]>;
  /** The item of a key; null if there is none. */
  get(key: string): Promise<StoredItem | null>;
  /** Compare-and-set; version 0: the key must not exist. False: the key has another version. */
  put(key: string, value: unknown, version: number): Promise<boolean>;
  /** Deletes a key on condition of its version; false if it has another one. */
  remove(key: string, version: number): Promise<boolean>;
}

/** Options that name the settings files. */
export interface FileOptions {
  /** The platform's settings. */
  readonly config: string;
  /** The operators' own settings. */
  readonly operators?: string;
  /** Settings of the Kubernetes API. */
  readonly kube: string;
}

/** What the program provides to the commands. */
export interface Host {
  /** Loads the platform's settings. */
  load(files: { readonly config: string; readonly operators?: string }): Settings;
  /** Connects to the key-value store of the settings. */
  service(settings: Settings): KeyValueService;
  /** Prints lines to standard output. */
  print(text: string): void;
  /** Wall-clock microseconds. */
  now(): number;
  /** Ends the program with an exit code: 1 for a refusal or failure, 2 for wrong arguments. */
  end(code: number, problem?: string): void;
}

const MAX_FILE_BYTES = 4 * 1024 * 1024;

const readFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new KubeSettingsError(`${file}: ${(error as Error).message}`);
  }
};

// ---- without a service -------------------------------------------------------------------------------------

const checkFiles = (host: Host, files: readonly string[]): void => {
  let refused = false;
  for (const file of files) {
    const text = readFile(file);
    if (text.length > MAX_FILE_BYTES)
      throw new KubeSettingsError(
        `${file}: larger than ${MAX_FILE_BYTES} bytes; check its objects in several files`,
      );
    for (const finding of checkText(text)) {
      host.print(`${file}:${finding.line}: ${finding.bad ? 'REFUSED ' : ''}${finding.text}`);
      refused ||= finding.bad;
    }
  }
  if (refused) host.end(1, 'refused as it is: each field above is named with what to do');
};

const printFields = (host: Host, kind: string, format: string): void => {
  if (!(kind in KINDS))
    throw new KubeSettingsError(
      `kube fields: ${kind} is not served; those are ${Object.keys(KINDS).join(', ')}`,
    );
  if (format === 'markdown') host.print(markdownOf(kind as Kind));
  else if (format === 'text')
    for (const row of rowsOf(kind as Kind))
      host.print(`${row.field}${row.required ? ' (required)' : ''}: ${row.says}`);
  else throw new KubeSettingsError(`--format: expected text or markdown, not ${format}`);
};

// ---- tokens ------------------------------------------------------------------------------------------------

interface TokenOptions extends FileOptions {
  readonly tenant: string;
  readonly by: string;
  readonly why: string;
}

const openService = (
  host: Host,
  options: FileOptions,
): { service: KeyValueService; tenants: readonly string[] } => {
  const settings = host.load(options);
  const kube = parseKubeSettings(readFile(options.kube), settings.teams, options.kube);
  return { service: host.service(settings), tenants: [...kube.tenants.keys()] };
};

const createToken = async (host: Host, options: TokenOptions): Promise<void> => {
  const { service, tenants } = openService(host, options);
  if (!tenants.includes(options.tenant))
    throw new KubeSettingsError(
      `--tenant: ${options.tenant} is none of ${options.kube}; those are ${tenants.join(', ')}`,
    );
  const details = { tenant: options.tenant, at: host.now(), by: options.by, why: options.why };
  const { id, token, record } = newToken(randomBytes(8), randomBytes(32), randomBytes(16), details);
  if (!(await service.put(tokenKey(id), record, 0))) {
    host.end(1, 'somebody else has that id; nothing was changed, try again');
    return;
  }
  host.print(
    [
      `CREATED token ${id} for ${options.tenant}, by ${options.by}: ${options.why}`,
      'It is shown only now; only its salted hash is on record:',
      token,
    ].join('\n'),
  );
};

const listTokens = async (host: Host, options: FileOptions): Promise<void> => {
  const { service } = openService(host, options);
  for (const item of await service.list(TOKEN_PREFIX)) {
    const record = readToken(item.value);
    const id = item.key.slice(TOKEN_PREFIX.length);
    host.print(
      record === null
        ? `${id}  can't be read; it opens nothing`
        : `${id}  ${record.tenant}  ${new Date(record.at / 1000).toISOString()}  ${record.by}: ${record.why}`,
    );
  }
};

const revokeToken = async (host: Host, id: string, options: FileOptions): Promise<void> => {
  const { service } = openService(host, options);
  const item = await service.get(tokenKey(id));
  if (item === null) host.end(1, `there is no token ${id}; nothing was changed`);
  else if (await service.remove(item.key, item.version))
    host.print(`REVOKED token ${id}: it opens nothing on any node from now on`);
  else host.end(1, `the token ${id} was changed at the same time; look and try again`);
};

/** Adds the `kube` commands to the program. */
export const register = (program: Command, host: Host): void => {
  const run = (action: () => Promise<void> | void): void => {
    Promise.resolve()
      .then(action)
      .catch((error: unknown) => {
        host.end(error instanceof KubeSettingsError ? 2 : 1, (error as Error).message);
      });
  };
  const kube = program.command('kube').description('Kubernetes Jobs and Deployments: manifests, tokens');
  kube
    .command('check <file...>')
    .description('what each object would become here, or why it is refused, line by line; asks no service')
    .action((files: string[]) => {
      run(() => {
        checkFiles(host, files);
      });
    });
  kube
    .command('fields <kind>')
    .description('the declared subset: Job or Deployment; asks no service')
    .option('--format <form>', 'text or markdown', 'text')
    .action((kind: string, options: { format: string }) => {
      run(() => {
        printFields(host, kind, options.format);
      });
    });
  const token = kube.command('token').description('bearer tokens of tenants');
  const withFileOptions = (command: Command): Command =>
    command
      .requiredOption('--config <file>', "the platform's settings (TOML)")
      .requiredOption('--kube <file>', 'the file that switches the front on (YAML)')
      .option('--operators <file>', "operators' own settings (YAML)");
  withFileOptions(token.command('create'))
    .description('CREATES a token, shown once, with who and why on record')
    .requiredOption('--tenant <name>', 'whose it is')
    .requiredOption('--by <name>', 'who creates it')
    .requiredOption('--why <text>', 'what for')
    .action((options: TokenOptions) => {
      run(() => createToken(host, options));
    });
  withFileOptions(token.command('list'))
    .description('all tokens: ids, tenants, who and why')
    .action((options: FileOptions) => {
      run(() => listTokens(host, options));
    });
  withFileOptions(token.command('revoke <id>'))
    .description('REVOKES a token, on every node at once')
    .action((id: string, options: FileOptions) => {
      run(() => revokeToken(host, id, options));
    });
};
