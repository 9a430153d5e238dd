/** Bodies in MessagePack, and checked access to what they hold. */
import { decode, encode } from '@msgpack/msgpack';

export type Fields = Readonly<Record<string, unknown>>;

export const MAX_BODY = 64 * 1024;

/** Raised by the readers below; callers turn it into 400 or into "no answer". */
export class MalformedMessageError extends Error {}

export const encodeBody = (value: unknown): Buffer => {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

export const decodeBody = (bytes: Uint8Array): unknown => {
  try {
    return decode(bytes);
  } catch {
    throw new MalformedMessageError('not MessagePack');
  }
};

export const asFields = (value: unknown, what: string): Fields => {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new MalformedMessageError(`${what}: not a map`);
  return value as Fields;
};

export const list = (value: unknown, what: string): readonly unknown[] => {
  if (!Array.isArray(value)) throw new MalformedMessageError(`${what}: not a list`);
  return value;
};

export const text = (f: Fields, name: string): string => {
  const v = f[name];
  if (typeof v !== 'string') throw new MalformedMessageError(`${name}: not text`);
  return v;
};

export const optionalText = (f: Fields, name: string): string | null => {
  const v = f[name];
  if (v === null || v === undefined) return null;
  if (typeof v !== 'string') throw new MalformedMessageError(`${name}: not text`);
  return v;
};

export const amount = (f: Fields, name: string): number => {
  const v = f[name];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < 0)
    throw new MalformedMessageError(`${name}: not an amount of 0 or more`);
  // The negative zero would not be read back from a record as it was.
  return v === 0 ? 0 : v;
};

export const optionalAmount = (f: Fields, name: string): number | null =>
  f[name] === null || f[name] === undefined ? null : amount(f, name);

export const integer = (f: Fields, name: string): number => {
  const v = f[name];
  if (typeof v !== 'number' || !Number.isInteger(v) || v < 0)
    throw new MalformedMessageError(`${name}: not an integer of 0 or more`);
  return v;
};

export const flag = (f: Fields, name: string): boolean => {
  const v = f[name];
  if (typeof v !== 'boolean') throw new MalformedMessageError(`${name}: not true or false`);
  return v;
};

/** Some thirty years: a duration beyond that is a mistake, and one beyond what microseconds can hold breaks its record. */
const LONGEST_S = 1e9;

/** A duration in seconds on the wire, in whole microseconds inside. Fails with `Malformed` if it is none, or too long. */
export const duration = (f: Fields, name: string): number => {
  const v = amount(f, name);
  if (v > LONGEST_S) throw new MalformedMessageError(`${name}: more than ${LONGEST_S} s`);
  return micros(v);
};

/** Seconds on the wire, whole microseconds inside. */
export const micros = (seconds: number): number => Math.round(seconds * 1e6);
export const seconds = (us: number): number => us / 1e6;

export const oneOf = <T>(table: ReadonlyMap<string, T>, f: Fields, name: string): T => {
  const v = table.get(text(f, name));
  if (v === undefined) throw new MalformedMessageError(`${name}: not a known value`);
  return v;
};
