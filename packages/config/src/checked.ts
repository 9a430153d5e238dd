/** Reading what people and records hold, by schemas: one way to name what is wrong, whoever's file it is. */
import { Either, ParseResult, Schema } from 'effect';

/** Makes the error of whoever asks: what is bundled apart has classes of its own. */
export type Fail = (message: string) => Error;

/** `what`: the file's name. `closed`: fields that the schema does not name are wrong as well. Names each wrong field. */
export const check = <A, I>(
  schema: Schema.Schema<A, I>,
  value: unknown,
  what: string,
  fail: Fail,
  closed = false,
): A => {
  const options = { errors: 'all', onExcessProperty: closed ? 'error' : 'ignore' } as const;
  const r = Schema.decodeUnknownEither(schema, options)(value);
  if (Either.isRight(r)) return r.right;
  const lines = ParseResult.ArrayFormatter.formatErrorSync(r.left).map(
    (e) => `${what}: ${e.path.join('.') || '(whole file)'}: ${e.message}`,
  );
  throw fail(lines.join('\n'));
};

export const read = (parse: (s: string) => unknown, source: string, what: string, fail: Fail): unknown => {
  try {
    return parse(source);
  } catch (e) {
    throw fail(`${what}: ${(e as Error).message}`);
  }
};

/** Reads a record whole, or as null. */
export const reader =
  <A, I>(schema: Schema.Schema<A, I>) =>
  (value: unknown): A | null => {
    const r = Schema.decodeUnknownEither(schema)(value);
    return Either.isRight(r) ? r.right : null;
  };
