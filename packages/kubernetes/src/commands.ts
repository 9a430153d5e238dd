/** Commands round the front. Those that change something say so in their name, their help and their output. */
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';

import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Command } from 'commander';

import { checkText } from './check.js';
import { KubeSettingsError, parseKube } from './settings.js';
import { type Kind, KINDS } from './subset.js';
import { markdownOf, rowsOf } from './table.js';
import { newToken, readToken, tokenKey, TOKENS } from './tokens.js';

/** The state service, as tools need it. Each throws if it does not answer. */
export interface Service {
  list(prefix: string): Promise<readonly StoredItem[]>;
  get(key: string): Promise<StoredItem | null>;
  /** By compare-and-set; 0: the key must not exist. False: somebody else was faster. */
  put(key: string, value: unknown, version: number): Promise<boolean>;
  remove(key: string, version: number): Promise<boolean>;
}

export interface FileOptions {
  readonly config: string;
  readonly operators?: string;
  readonly kube: string;
}

export interface Host {
  load(files: { readonly config: string; readonly operators?: string }): Settings;
  service(settings: Settings): Service;
  print(text: string): void;
  /** Time of day, microseconds. */
  now(): number;
  /** Ends the program with an exit code: 1 something is refused or failed, 2 wrong arguments. */
  end(code: number, problem?: string): void;
}

const MOST_FILE = 4 * 1024 * 1024;

const textOf = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (e) {
    throw new KubeSettingsError(`${file}: ${(e as Error).message}`);
  }
};

// ---- without a service -------------------------------------------------------------------------------------

const check = (host: Host, files: readonly string[]): void => {
  let refused = false;
  for (const file of files) {
    const text = textOf(file);
    if (text.length > MOST_FILE)
      throw new KubeSettingsError(
        `${file}: larger than ${MOST_FILE} bytes; check its objects in several files`,
      );
    for (const f of checkText(text)) {
      host.print(`${file}:${f.line}: ${f.bad ? 'REFUSED ' : ''}${f.text}`);
      refused ||= f.bad;
    }
  }
  if (refused) host.end(1, 'refused as it is: each field above is named with what to do');
};

const fields = (host: Host, kind: string, format: string): void => {
  if (!(kind in KINDS))
    throw new KubeSettingsError(
      `kube fields: ${kind} is not served; those are ${Object.keys(KINDS).join(', ')}`,
    );
  if (format === 'markdown') host.print(markdownOf(kind as Kind));
  else if (format === 'text')
    for (const r of rowsOf(kind as Kind))
      host.print(`${r.field}${r.required ? ' (required)' : ''}: ${r.says}`);
  else throw new KubeSettingsError(`--format: expected text or markdown, not ${format}`);
};

// ---- tokens ------------------------------------------------------------------------------------------------

interface TokenOptions extends FileOptions {
  readonly tenant: string;
  readonly by: string;
  readonly why: string;
}

const open = (host: Host, o: FileOptions): { service: Service; tenants: readonly string[] } => {
  const settings = host.load(o);
  const kube = parseKube(textOf(o.kube), settings.teams, o.kube);
  return { service: host.service(settings), tenants: [...kube.tenants.keys()] };
};

const createToken = async (host: Host, o: TokenOptions): Promise<void> => {
  const { service, tenants } = open(host, o);
  if (!tenants.includes(o.tenant))
    throw new KubeSettingsError(
      `--tenant: ${o.tenant} is none of ${o.kube}; those are ${tenants.join(', ')}`,
    );
  const more = { tenant: o.tenant, at: host.now(), by: o.by, why: o.why };
  const { id, token, record } = newToken(randomBytes(8), randomBytes(32), randomBytes(16), more);
  if (!(await service.put(tokenKey(id), record, 0))) {
    host.end(1, 'somebody else has that id; nothing was changed, try again');
    return;
  }
  host.print(
    [
      `CREATED token ${id} for ${o.tenant}, by ${o.by}: ${o.why}`,
      'It is shown only now; only its salted hash is on record:',
      token,
    ].join('\n'),
  );
};

const listTokens = async (host: Host, o: FileOptions): Promise<void> => {
  const { service } = open(host, o);
  for (const it of await service.list(TOKENS)) {
    const t = readToken(it.value);
    const id = it.key.slice(TOKENS.length);
    host.print(
      t === null
        ? `${id}  can't be read; it opens nothing`
        : `${id}  ${t.tenant}  ${new Date(t.at / 1000).toISOString()}  ${t.by}: ${t.why}`,
    );
  }
};

const revokeToken = async (host: Host, id: string, o: FileOptions): Promise<void> => {
  const { service } = open(host, o);
  const item = await service.get(tokenKey(id));
  if (item === null) host.end(1, `there is no token ${id}; nothing was changed`);
  else if (await service.remove(item.key, item.version))
    host.print(`REVOKED token ${id}: it opens nothing on any node from now on`);
  else host.end(1, `the token ${id} was changed at the same time; look and try again`);
};

/** Adds the commands to the program. */
export const register = (program: Command, host: Host): void => {
  const run = (what: () => Promise<void> | void): void => {
    Promise.resolve()
      .then(what)
      .catch((e: unknown) => {
        host.end(e instanceof KubeSettingsError ? 2 : 1, (e as Error).message);
      });
  };
  const kube = program.command('kube').description('Kubernetes Jobs and Deployments: manifests, tokens');
  kube
    .command('check <file...>')
    .description('what each object would become here, or why it is refused, line by line; asks no service')
    .action((files: string[]) => {
      run(() => {
        check(host, files);
      });
    });
  kube
    .command('fields <kind>')
    .description('the declared subset: Job or Deployment; asks no service')
    .option('--format <form>', 'text or markdown', 'text')
    .action((kind: string, o: { format: string }) => {
      run(() => {
        fields(host, kind, o.format);
      });
    });
  const token = kube.command('token').description('bearer tokens of tenants');
  const files = (c: Command): Command =>
    c
      .requiredOption('--config <file>', "the platform's settings (TOML)")
      .requiredOption('--kube <file>', 'the file that switches the front on (YAML)')
      .option('--operators <file>', "operators' own settings (YAML)");
  files(token.command('create'))
    .description('CREATES a token, shown once, with who and why on record')
    .requiredOption('--tenant <name>', 'whose it is')
    .requiredOption('--by <name>', 'who creates it')
    .requiredOption('--why <text>', 'what for')
    .action((o: TokenOptions) => {
      run(() => createToken(host, o));
    });
  files(token.command('list'))
    .description('all tokens: ids, tenants, who and why')
    .action((o: FileOptions) => {
      run(() => listTokens(host, o));
    });
  files(token.command('revoke <id>'))
    .description('REVOKES a token, on every node at once')
    .action((id: string, o: FileOptions) => {
      run(() => revokeToken(host, id, o));
    });
};
