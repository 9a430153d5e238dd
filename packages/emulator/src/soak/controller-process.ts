/** Runs a controller of the built program as a separate process that can be killed, paused and restarted. */
import { type ChildProcess, spawn } from 'node:child_process';

/** Receives what a controller's process does on its own. */
export interface ControllerObserver {
  /** The process has exited without being killed by this program. */
  onExit(controller: string, code: number | null): void;
  /** The process has logged an error, or has written a line that is not a log entry. */
  onError(controller: string, event: string, line: string): void;
}

/** Member name, listen addresses and settings file of a controller. */
export interface ControllerEndpoint {
  readonly member: string;
  readonly address: string;
  readonly peerAddress: string;
  readonly configFile: string;
}

interface LogLine {
  readonly level?: unknown;
  readonly event?: unknown;
}

const parseLine = (line: string): LogLine | null => {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return null;
  }
};

/** One controller member; each restart runs it in a new process. */
export class ControllerProcess {
  private child: ChildProcess | null = null;
  private isPaused = false;
  private isStopped = false;
  /** Lines that all processes of this controller have written to standard error, the newest last. */
  readonly logLines: string[] = [];

  constructor(
    readonly endpoint: ControllerEndpoint,
    private readonly program: readonly string[],
    private readonly observer: ControllerObserver,
  ) {}

  /** Starts a process, unless one is running or the controller is stopped. */
  start(): void {
    if (this.isStopped || this.child !== null) return;
    const [executable, ...programArguments] = this.program;
    const child = spawn(executable!, [...programArguments, 'serve', '--config', this.endpoint.configFile], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child = child;
    this.isPaused = false;
    let incompleteLine = '';
    child.stderr.on('data', (chunk: Buffer) => {
      const lines = (incompleteLine + chunk.toString()).split('\n');
      incompleteLine = lines.pop() ?? '';
      for (const line of lines) this.receive(line);
    });
    child.on('exit', (code) => {
      if (this.child !== child) return;
      this.child = null;
      this.observer.onExit(this.endpoint.member, code);
    });
  }

  /** Kills the process with SIGKILL and starts a new one after a delay. */
  crash(backAfterMs: number): void {
    this.kill();
    setTimeout(() => {
      this.start();
    }, backAfterMs);
  }

  /** Suspends the process with SIGSTOP for a time; its clocks continue to advance. */
  pause(durationMs: number): void {
    const { child } = this;
    if (child === null || this.isPaused) return;
    this.isPaused = true;
    child.kill('SIGSTOP');
    setTimeout(() => {
      if (this.child !== child) return;
      this.isPaused = false;
      child.kill('SIGCONT');
    }, durationMs);
  }

  /** Kills the process and prevents further restarts. */
  stop(): void {
    this.isStopped = true;
    this.kill();
  }

  private kill(): void {
    const { child } = this;
    this.child = null;
    child?.kill('SIGKILL');
  }

  private receive(line: string): void {
    this.logLines.push(line);
    const parsed = parseLine(line);
    // A line that is not a log entry comes from the Node runtime, such as an uncaught exception.
    if (parsed === null) this.observer.onError(this.endpoint.member, 'unparseable', line);
    else if (parsed.level === 'error')
      this.observer.onError(this.endpoint.member, String(parsed.event), line);
  }
}
