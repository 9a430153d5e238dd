/**
 * Bearer tokens of the form `ID.SECRET`. Only salted hashes are stored, under `k/`, so that all nodes cache them with
 * the objects.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

import { recordDecoder } from '@shaleyoke/config/schema-decoding';
import { Schema } from 'effect';

/** Prefix of token records; the id follows. */
export const TOKEN_PREFIX = 'k/t/';
/** Key of a token's record. */
export const tokenKey = (id: string): string => `${TOKEN_PREFIX}${id}`;

const TokenRecord = Schema.Struct({
  v: Schema.Literal(1),
  tenant: Schema.String,
  /** Salt and hash in hex. */
  salt: Schema.String,
  hash: Schema.String,
  /** Creation: wall-clock microseconds, by whom, and for what purpose. */
  at: Schema.NonNegativeInt,
  by: Schema.String,
  why: Schema.String,
});
/** Stored record of a token, without its secret. */
export type TokenRecord = typeof TokenRecord.Type;

/** Decodes a token record; null if it is malformed. */
export const readToken = recordDecoder(TokenRecord);

const hashOf = (salt: string, secret: string): Buffer =>
  createHash('sha256').update(Buffer.from(salt, 'hex')).update(secret).digest();

/**
 * Makes a token and its record from random bytes. A fast hash is enough: a secret of 256 random bits can't be guessed
 * by brute force, and a slow hash would let clients keep a small processor busy.
 */
export const newToken = (
  id: Uint8Array,
  secret: Uint8Array,
  salt: Uint8Array,
  details: Pick<TokenRecord, 'tenant' | 'at' | 'by' | 'why'>,
): { id: string; token: string; record: TokenRecord } => {
  const idHex = Buffer.from(id).toString('hex');
  const secretText = Buffer.from(secret).toString('base64url');
  const saltHex = Buffer.from(salt).toString('hex');
  const record: TokenRecord = {
    v: 1,
    ...details,
    salt: saltHex,
    hash: hashOf(saltHex, secretText).toString('hex'),
  };
  return { id: idHex, token: `${idHex}.${secretText}`, record };
};

/** The id part of a token; null if it has none. */
export const parseTokenId = (token: string): string | null => /^([0-9a-f]{1,64})\./.exec(token)?.[1] ?? null;

/** Whether a token has the recorded hash; compared in constant time. */
export const verifyToken = (record: TokenRecord, token: string): boolean => {
  const secret = token.slice(token.indexOf('.') + 1);
  const expected = Buffer.from(record.hash, 'hex');
  const actual = hashOf(record.salt, secret);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
};
