/** Checks a downloaded statement against the published schema, its own sums and its digest; needs no service. */
import { Ajv } from 'ajv';

import schema from '../schema/statement-1.json' with { type: 'json' };
import { checkStatement, type Statement } from './statement.js';

const valid = new Ajv({ allErrors: true }).compile<Statement>(schema);

/** `text`: the file's content. Each problem names the field; none: the statement holds. */
export const verifyStatement = (text: string): string[] => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (e) {
    return [`not JSON: ${(e as Error).message}`];
  }
  if (valid(value)) return checkStatement(value);
  return (valid.errors ?? []).map(
    (e) => `${e.instancePath.slice(1).replaceAll('/', '.') || '(whole file)'}: ${e.message ?? 'invalid'}`,
  );
};
