/** Structured logs on standard error, one JSON object a line, down to the level that LOG_LEVEL sets. */
import type { LogFields, LogLevel } from '@shaleyoke/core/domain/effects';
import { Context, Layer } from 'effect';

const SEVERITY: Record<LogLevel, number> = { error: 0, info: 1, debug: 2 };
const DEFAULT_LEVEL: LogLevel = 'info';

/** Writes log events of one controller. */
export interface LogService {
  /** Whether decisions are logged: else their fields need not be gathered. */
  readonly verbose: boolean;
  readonly write: (level: LogLevel, event: string, fields: LogFields) => void;
}

/** The tag under which the log is provided. */
export class Log extends Context.Tag('Log')<Log, LogService>() {}

const isLogLevel = (text: string): text is LogLevel => Object.hasOwn(SEVERITY, text);

/** The level that LOG_LEVEL names; unset is `info`. Null if it is none of the levels. */
export const logLevel = (text: string | undefined): LogLevel | null => {
  if (text === undefined || text === '') return DEFAULT_LEVEL;
  return isLogLevel(text) ? text : null;
};

/** Written by hand: Effect's own structured logger takes 69 us a line here, this 10 (docs/design.md, Libraries). */
export const LogLive = (member: string, level: LogLevel): Layer.Layer<Log> => {
  const limit = SEVERITY[level];
  return Layer.succeed(Log, {
    verbose: limit >= SEVERITY.debug,
    write: (severity, event, fields) => {
      if (SEVERITY[severity] > limit) return;
      const line = { at: new Date().toISOString(), level: severity, member, event, ...fields };
      process.stderr.write(`${JSON.stringify(line)}\n`);
    },
  });
};
