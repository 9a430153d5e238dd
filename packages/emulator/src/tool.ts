/** Runs the program's commands as a person would, for tests. */
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

export interface ToolRun {
  readonly code: number;
  /** Standard output; where it failed, standard error as well. */
  readonly out: string;
}

/** `program`: how to start it, up to its first argument. */
export const toolOf =
  (program: readonly string[]) =>
  async (...args: string[]): Promise<ToolRun> => {
    const [file, ...first] = program;
    try {
      const r = await promisify(execFile)(file!, [...first, ...args]);
      return { code: 0, out: r.stdout };
    } catch (e) {
      const x = e as { code: number; stdout: string; stderr: string };
      return { code: x.code, out: x.stdout + x.stderr };
    }
  };
