/** Verifies a downloaded statement offline: against the published schema, its own sums and its digest. */
import { Ajv } from 'ajv';

import schema from '../schema/statement-1.json' with { type: 'json' };
import { checkStatement, type Statement } from './statement.js';

const valid = new Ajv({ allErrors: true }).compile<Statement>(schema);

/** Verifies a statement. `text`: the file's content. Returns each problem with its field, or none. */
export const verifyStatement = (text: string): string[] => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return [`not JSON: ${(error as Error).message}`];
  }
  if (valid(value)) return checkStatement(value);
  return (valid.errors ?? []).map(
    (e) => `${e.instancePath.slice(1).replaceAll('/', '.') || '(whole file)'}: ${e.message ?? 'invalid'}`,
  );
};
