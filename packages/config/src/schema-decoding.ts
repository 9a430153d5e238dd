/** Decodes files and records by schemas, and describes what is wrong with them in one form. */
import { Either, ParseResult, Schema } from 'effect';

/** Makes an error of the caller's class: each bundle has its own. */
export type MakeError = (message: string) => Error;

const describeIssue = (file: string, issue: ParseResult.ArrayFormatterIssue): string =>
  `${file}: ${issue.path.join('.') || '(whole file)'}: ${issue.message}`;

/**
 * Decodes a value by a schema; throws an error that names each invalid field. `file`: the file's name, for messages; `closed`:
 * whether fields that the schema does not define are errors too.
 */
export const decodeOrThrow = <A, I>(
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

/** Parses a file's text; an error of the parser is rethrown as the caller's error, with the file's name. */
export const parseOrThrow = (
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

/** Makes a function that decodes a record by a schema; null for a record that does not match it. */
export const recordDecoder =
  <A, I>(schema: Schema.Schema<A, I>) =>
  (value: unknown): A | null => {
    const result = Schema.decodeUnknownEither(schema)(value);
    return Either.isRight(result) ? result.right : null;
  };
