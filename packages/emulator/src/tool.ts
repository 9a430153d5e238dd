/** Runs the program's commands as child processes, for tests. */
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

/** The result of a command. */
export interface ToolRun {
  /** Exit code. */
  readonly code: number;
  /** Standard output; of a failed command followed by standard error. */
  readonly out: string;
}

/** Returns a function that runs the program with further arguments. `program`: the executable and its first arguments. */
export const toolOf =
  (program: readonly string[]) =>
  async (...args: string[]): Promise<ToolRun> => {
    const [file, ...firstArgs] = program;
    try {
      const result = await promisify(execFile)(file!, [...firstArgs, ...args]);
      return { code: 0, out: result.stdout };
    } catch (error) {
      const failure = error as { code: number; stdout: string; stderr: string };
      return { code: failure.code, out: failure.stdout + failure.stderr };
    }
  };
