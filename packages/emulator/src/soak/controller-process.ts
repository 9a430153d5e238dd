/** A controller of the built program as a real process: killed, paused, started again, and watched. */
import { type ChildProcess, spawn } from 'node:child_process';

/** Told of what a controller's process does by itself. */
export interface ControllerObserver {
  onEnd(controller: string, code: number | null): void;
  onError(controller: string, event: string, line: string): void;
}

/** Where a controller listens, and its settings. */
export interface ControllerPlace {
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

/** One controller, process after process. */
export class ControllerProcess {
  private child: ChildProcess | null = null;
  private paused = false;
  private isStopped = false;
  /** Lines that its processes have written, the newest last. */
  readonly log: string[] = [];

  constructor(
    readonly place: ControllerPlace,
    private readonly program: readonly string[],
    private readonly observer: ControllerObserver,
  ) {}

  /** Starts a process. */
  start(): void {
    if (this.isStopped || this.child !== null) return;
    const [file, ...first] = this.program;
    const child = spawn(file!, [...first, 'serve', '--config', this.place.configFile], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child = child;
    this.paused = false;
    let rest = '';
    child.stderr.on('data', (chunk: Buffer) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.receive(line);
    });
    child.on('exit', (code) => {
      if (this.child !== child) return;
      this.child = null;
      this.observer.onEnd(this.place.member, code);
    });
  }

  /** Kills the process without a signal that it could handle, and starts another one later. */
  crash(backAfterMs: number): void {
    this.kill();
    setTimeout(() => {
      this.start();
    }, backAfterMs);
  }

  /** The process stands still for so long, while its clocks run on. */
  pause(forMs: number): void {
    const { child } = this;
    if (child === null || this.paused) return;
    this.paused = true;
    child.kill('SIGSTOP');
    setTimeout(() => {
      if (this.child !== child) return;
      this.paused = false;
      child.kill('SIGCONT');
    }, forMs);
  }

  /** Ends the process for good. */
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
    this.log.push(line);
    const parsed = parseLine(line);
    // Whatever is no line of the log is the runtime's last word.
    if (parsed === null) this.observer.onError(this.place.member, 'unparseable', line);
    else if (parsed.level === 'error') this.observer.onError(this.place.member, String(parsed.event), line);
  }
}
