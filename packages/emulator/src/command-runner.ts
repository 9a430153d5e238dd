/** Runs the program's commands as child processes, for tests. */
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

/** The result of a command. */
export interface CommandResult {
  /** Exit code. */
  readonly exitCode: number;
  /** Standard output; of a failed command followed by standard error. */
  readonly output: string;
}

/** Returns a function that runs the program with further arguments. `program`: the executable and its first arguments. */
export const commandRunner =
  (program: readonly string[]) =>
  async (...args: string[]): Promise<CommandResult> => {
    const [file, ...firstArgs] = program;
    try {
      const result = await promisify(execFile)(file!, [...firstArgs, ...args]);
      return { exitCode: 0, output: result.stdout };
    } catch (error) {
      const failure = error as { code: number; stdout: string; stderr: string };
      return { exitCode: failure.code, output: failure.stdout + failure.stderr };
    }
  };
