/** Parses manifests in YAML or JSON, a subset of YAML. The nesting depth is checked before parsing. */
import { LineCounter, parseDocument } from 'yaml';

/** Maximum nesting depth. Supported manifests have eight levels. */
const MAX_DEPTH = 64;

/**
 * Whether a text nests deeper than any supported manifest. The YAML parser is recursive: 5000 levels, in 25 kB, ended
 * the whole process with the fatal error `RegExpCompiler Allocation failed` near the end of the stack, which can't be
 * caught. Brackets within quotes count as well: in doubt a text is refused.
 */
export const isTooDeep = (text: string): boolean => {
  let brackets = 0;
  for (let i = 0; i < text.length; i++) {
    const code = text.charCodeAt(i);
    // [ { and ] }
    if (code === 0x5b || code === 0x7b) {
      if (++brackets > MAX_DEPTH) return true;
    } else if ((code === 0x5d || code === 0x7d) && brackets > 0) brackets--;
  }
  const columns: number[] = [];
  for (const line of text.split('\n')) {
    let column = 0;
    const opensTooDeep = (): boolean => {
      while (columns.length > 0 && columns.at(-1)! >= column) columns.pop();
      columns.push(column);
      return columns.length > MAX_DEPTH;
    };
    for (;;) {
      while (line[column] === ' ' || line[column] === '\t') column++;
      const character = line[column];
      if (character === undefined || character === '\r') break;
      if (opensTooDeep()) return true;
      // A nested list on one line, or a complex key or value: each opens a level at its column.
      const following = line[column + 1];
      const opensLevel =
        (character === '-' || character === '?' || character === ':') &&
        (following === ' ' || following === '\t');
      if (!opensLevel) break;
      column += 2;
    }
  }
  return false;
};

/** The parsed value, or why the text can't be parsed. */
export type ParsedText = { readonly value: unknown } | { readonly problem: string };

/** Aliases of a text that may be resolved; each can stand for much more text than it has. */
const MAX_ALIASES = 50;

/**
 * Runs without recording stack traces. The YAML parser makes an error for each mistake in a text, up to one for each byte, and a
 * stack trace takes a thousand bytes of memory.
 */
const withoutStackTraces = <T>(run: () => T): T => {
  const { stackTraceLimit } = Error;
  Error.stackTraceLimit = 0;
  try {
    return run();
  } finally {
    Error.stackTraceLimit = stackTraceLimit;
  }
};

/** Parses YAML or JSON, always by the YAML parser: it reports duplicate keys, which a JSON parser silently drops. */
export const parseText = (text: string): ParsedText => {
  if (isTooDeep(text)) return { problem: `nests deeper than ${MAX_DEPTH} levels` };
  try {
    const lineCounter = new LineCounter();
    const document = withoutStackTraces(() => parseDocument(text, { lineCounter, prettyErrors: false }));
    const error = document.errors[0];
    if (error !== undefined) {
      const { line, col } = lineCounter.linePos(error.pos[0]);
      return { problem: `${error.message} at line ${line}, column ${col}` };
    }
    return { value: document.toJS({ maxAliasCount: MAX_ALIASES }) as unknown };
  } catch (e) {
    return { problem: (e as Error).message.split('\n')[0]! };
  }
};
