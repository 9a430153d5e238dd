/** Bearer tokens: `ID.SECRET`. Only salted hashes are on record, under `k/`, so that every node has them at once. */
import { createHash, timingSafeEqual } from 'node:crypto';

import { reader } from '@shaleyoke/config/checked';
import { Schema } from 'effect';

export const TOKENS = 'k/t/';
export const tokenKey = (id: string): string => `${TOKENS}${id}`;

const TokenRecord = Schema.Struct({
  v: Schema.Literal(1),
  tenant: Schema.String,
  /** Both in hex. */
  salt: Schema.String,
  hash: Schema.String,
  /** Time of day, microseconds; by whom, and what for. */
  at: Schema.NonNegativeInt,
  by: Schema.String,
  why: Schema.String,
});
export type TokenRecord = typeof TokenRecord.Type;

export const readToken = reader(TokenRecord);

const hashOf = (salt: string, secret: string): Buffer =>
  createHash('sha256').update(Buffer.from(salt, 'hex')).update(secret).digest();

/**
 * A secret has 256 random bits: nobody tries them all, however fast a hash is, so a slow one would only be a way
 * to keep a small processor busy.
 */
export const newToken = (
  id: Uint8Array,
  secret: Uint8Array,
  salt: Uint8Array,
  more: Pick<TokenRecord, 'tenant' | 'at' | 'by' | 'why'>,
): { id: string; token: string; record: TokenRecord } => {
  const name = Buffer.from(id).toString('hex');
  const text = Buffer.from(secret).toString('base64url');
  const s = Buffer.from(salt).toString('hex');
  const record: TokenRecord = { v: 1, ...more, salt: s, hash: hashOf(s, text).toString('hex') };
  return { id: name, token: `${name}.${text}`, record };
};

export const idOfToken = (token: string): string | null => /^([0-9a-f]{1,64})\./.exec(token)?.[1] ?? null;

/** In a time that does not depend on where they differ. */
export const matches = (record: TokenRecord, token: string): boolean => {
  const secret = token.slice(token.indexOf('.') + 1);
  const want = Buffer.from(record.hash, 'hex');
  const have = hashOf(record.salt, secret);
  return want.length === have.length && timingSafeEqual(want, have);
};
