/** Decoding of files and records by schemas: one way to name what is wrong, whoever wrote them. */
import { Either, ParseResult, Schema } from 'effect';

/** Makes the error of the caller, whose bundle has an error class of its own. */
export type MakeError = (message: string) => Error;

const describeIssue = (file: string, issue: ParseResult.ArrayFormatterIssue): string =>
  `${file}: ${issue.path.join('.') || '(whole file)'}: ${issue.message}`;

/**
 * Decodes a value by a schema; throws an error that names each wrong field. `file`: the file's name, for messages; `closed`: fields
 * that the schema does not name are wrong as well.
 */
export const check = <A, I>(
  schema: Schema.Schema<A, I>,
  value: unknown,
  file: string,
  makeError: MakeError,
  closed = false,
): A => {
  const options = { errors: 'all', onExcessProperty: closed ? 'error' : 'ignore' } as const;
  const result = Schema.decodeUnknownEither(schema, options)(value);
  if (Either.isRight(result)) return result.right;
  const issues = ParseResult.ArrayFormatter.formatErrorSync(result.left);
  throw makeError(issues.map((issue) => describeIssue(file, issue)).join('\n'));
};

/** Parses a file's text; what the parser throws becomes the caller's error. */
export const read = (
  parse: (source: string) => unknown,
  source: string,
  file: string,
  makeError: MakeError,
): unknown => {
  try {
    return parse(source);
  } catch (error) {
    throw makeError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
};

/** A reader of records: the whole record, or null for one that can't be read. */
export const reader =
  <A, I>(schema: Schema.Schema<A, I>) =>
  (value: unknown): A | null => {
    const result = Schema.decodeUnknownEither(schema)(value);
    return Either.isRight(result) ? result.right : null;
  };
