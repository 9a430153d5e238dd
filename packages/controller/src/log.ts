/** Structured logs on standard error, one JSON object per line, up to the level that LOG_LEVEL sets. */
import type { LogFields, LogLevel } from '@shaleyoke/core/domain/effects';
import { Context, Layer } from 'effect';

const SEVERITY: Record<LogLevel, number> = { error: 0, info: 1, debug: 2 };
const DEFAULT_LEVEL: LogLevel = 'info';

/** Writes log events of one controller. */
export interface LogService {
  /** Whether debug events are logged; if not, callers needn't collect their fields. */
  readonly verbose: boolean;
  /** Writes one event with its fields, unless its level is below the configured one. */
  readonly write: (level: LogLevel, event: string, fields: LogFields) => void;
}

/** Effect's service tag under which the log is provided. */
export class Log extends Context.Tag('Log')<Log, LogService>() {}

const isLogLevel = (text: string): text is LogLevel => Object.hasOwn(SEVERITY, text);

/** Parses the value of LOG_LEVEL; `info` if it is unset or empty, null if it is not a level. */
export const parseLogLevel = (text: string | undefined): LogLevel | null => {
  if (text === undefined || text === '') return DEFAULT_LEVEL;
  return isLogLevel(text) ? text : null;
};

/** Provides the log. Effect's own structured logger is not used: it takes 69 us per line, this 10 (docs/design.md, Libraries). */
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
