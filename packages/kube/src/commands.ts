/** Commands for people with manifests. They need no service and change nothing. */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { checkText } from './check.js';
import { KINDS, type Kind } from './subset.js';
import { markdownOf, rowsOf } from './table.js';

export interface Host {
  print(text: string): void;
  /** Ends the program with an exit code: 1 something is refused, 2 wrong arguments. */
  end(code: number, problem?: string): void;
}

const MOST_FILE = 4 * 1024 * 1024;

const check = (host: Host, files: readonly string[]): void => {
  let refused = false;
  for (const file of files) {
    let text: string;
    try {
      text = readFileSync(file, 'utf8');
    } catch (e) {
      host.end(2, `${file}: ${(e as Error).message}`);
      return;
    }
    if (text.length > MOST_FILE) {
      host.end(2, `${file}: larger than ${MOST_FILE} bytes; check its objects in several files`);
      return;
    }
    for (const f of checkText(text)) {
      host.print(`${file}:${f.line}: ${f.bad ? 'REFUSED ' : ''}${f.text}`);
      refused ||= f.bad;
    }
  }
  if (refused) host.end(1, 'refused as it is: each field above is named with what to do');
};

const fields = (host: Host, kind: string, format: string): void => {
  if (!(kind in KINDS)) {
    host.end(2, `kube fields: ${kind} is not served; those are ${Object.keys(KINDS).join(', ')}`);
    return;
  }
  if (format === 'markdown') host.print(markdownOf(kind as Kind));
  else if (format === 'text')
    for (const r of rowsOf(kind as Kind))
      host.print(`${r.field}${r.required ? ' (required)' : ''}: ${r.says}`);
  else host.end(2, `--format: expected text or markdown, not ${format}`);
};

/** Adds the commands to the program. */
export const register = (program: Command, host: Host): void => {
  const kube = program.command('kube').description('manifests of Kubernetes Jobs and Deployments');
  kube
    .command('check <file...>')
    .description('what each object would become here, or why it is refused, line by line')
    .action((files: string[]) => {
      check(host, files);
    });
  kube
    .command('fields <kind>')
    .description('the declared subset: Job or Deployment')
    .option('--format <form>', 'text or markdown', 'text')
    .action((kind: string, o: { format: string }) => {
      fields(host, kind, o.format);
    });
};
