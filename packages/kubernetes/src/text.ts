/** Manifests as text: YAML, of which JSON is a part. Bounded before anything is parsed. */
import { parse as parseYaml } from 'yaml';

/** Levels within each other. What is served has eight. */
const MOST_DEPTH = 64;

/**
 * Whether a text nests deeper than anything that is served. The parser calls itself for each level: five thousand of
 * them, in 25 kB, once ended the whole process (`RegExpCompiler Allocation failed` near the end of the stack, which
 * nobody can catch). Brackets within quotes count as well: that errs on the side of refusing.
 */
export const isTooDeep = (text: string): boolean => {
  let flow = 0;
  for (let i = 0; i < text.length; i++) {
    const c = text.charCodeAt(i);
    // [ { and ] }
    if (c === 0x5b || c === 0x7b) {
      if (++flow > MOST_DEPTH) return true;
    } else if ((c === 0x5d || c === 0x7d) && flow > 0) flow--;
  }
  const columns: number[] = [];
  for (const line of text.split('\n')) {
    let column = 0;
    const open = (): boolean => {
      while (columns.length > 0 && columns.at(-1)! >= column) columns.pop();
      columns.push(column);
      return columns.length > MOST_DEPTH;
    };
    for (;;) {
      while (line[column] === ' ' || line[column] === '\t') column++;
      const c = line[column];
      if (c === undefined || c === '\r') break;
      if (open()) return true;
      // A list in a list on one line, or a key that is a structure: each opens a level where it stands.
      const next = line[column + 1];
      const opens = (c === '-' || c === '?' || c === ':') && (next === ' ' || next === '\t');
      if (!opens) break;
      column += 2;
    }
  }
  return false;
};

export type Parsed = { readonly value: unknown } | { readonly problem: string };

/**
 * Read by the YAML parser in any case: it names a key that stands twice, of which a JSON parser silently drops one.
 */
export const readText = (text: string): Parsed => {
  if (isTooDeep(text)) return { problem: `nests deeper than ${MOST_DEPTH} levels` };
  try {
    return { value: parseYaml(text, { maxAliasCount: 50 }) as unknown };
  } catch (e) {
    return { problem: (e as Error).message.split('\n')[0]! };
  }
};
