/** Structured logs on standard error, one JSON object a line, in the amount that LOG_LEVEL sets. */
import { Context, Layer } from 'effect';
import type { LogFields, LogLevel } from '@shaleyoke/core/domain/effects';

const ORDER: Record<LogLevel, number> = { error: 0, info: 1, debug: 2 };

export interface LogService {
  /** Whether decisions are wanted: else their fields need not be gathered. */
  readonly verbose: boolean;
  readonly write: (level: LogLevel, event: string, fields: LogFields) => void;
}
export class Log extends Context.Tag('Log')<Log, LogService>() {}

/** `text`: what LOG_LEVEL holds; unset is `info`. Null if it is none of the levels. */
export const logLevel = (text: string | undefined): LogLevel | null =>
  text === undefined || text === '' ? 'info' : Object.hasOwn(ORDER, text) ? (text as LogLevel) : null;

/** Written by hand: Effect's own structured logger takes 69 us a line here, this 10 (docs/design.md, Libraries). */
export const LogLive = (member: string, most: LogLevel): Layer.Layer<Log> => {
  const limit = ORDER[most];
  return Layer.succeed(Log, {
    verbose: limit >= ORDER.debug,
    write: (level, event, fields) => {
      if (ORDER[level] > limit) return;
      process.stderr.write(
        JSON.stringify({ at: new Date().toISOString(), level, member, event, ...fields }) + '\n',
      );
    },
  });
};
