/** Bodies of messages in MessagePack, and validated access to their fields. All readers throw `MalformedMessageError`. */
import { decode, encode } from '@msgpack/msgpack';

/** A map of a message, its fields not validated yet. */
export type Fields = Readonly<Record<string, unknown>>;

/** Most bytes of a body that is accepted. */
export const MAX_BODY = 64 * 1024;

/** A message without the expected form; callers turn it into status 400, or treat the reply as lost. */
export class MalformedMessageError extends Error {}

/** Encodes a body; undefined fields are left out. */
export const encodeBody = (value: unknown): Buffer => {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

/** Decodes a body. */
export const decodeBody = (bytes: Uint8Array): unknown => {
  try {
    return decode(bytes);
  } catch {
    throw new MalformedMessageError('not MessagePack');
  }
};

/** Reads a map. `what` names it in the error. */
export const asFields = (value: unknown, what: string): Fields => {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new MalformedMessageError(`${what}: not a map`);
  return value as Fields;
};

/** Reads a list. `what` names it in the error. */
export const list = (value: unknown, what: string): readonly unknown[] => {
  if (!Array.isArray(value)) throw new MalformedMessageError(`${what}: not a list`);
  return value;
};

/** Reads a field of text. */
export const text = (fields: Fields, name: string): string => {
  const value = fields[name];
  if (typeof value !== 'string') throw new MalformedMessageError(`${name}: not text`);
  return value;
};

/** Reads a field of text that may be missing. */
export const optionalText = (fields: Fields, name: string): string | null => {
  const value = fields[name];
  if (value === null || value === undefined) return null;
  if (typeof value !== 'string') throw new MalformedMessageError(`${name}: not text`);
  return value;
};

/** Reads a finite number of 0 or more. */
export const amount = (fields: Fields, name: string): number => {
  const value = fields[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0)
    throw new MalformedMessageError(`${name}: not an amount of 0 or more`);
  // The negative zero would not be read back from a record as it was.
  return value === 0 ? 0 : value;
};

/** Reads a finite number of 0 or more that may be missing. */
export const optionalAmount = (fields: Fields, name: string): number | null =>
  fields[name] === null || fields[name] === undefined ? null : amount(fields, name);

/** Reads an integer of 0 or more. */
export const integer = (fields: Fields, name: string): number => {
  const value = fields[name];
  if (typeof value !== 'number' || !Number.isInteger(value) || value < 0)
    throw new MalformedMessageError(`${name}: not an integer of 0 or more`);
  return value;
};

/** Reads a boolean. */
export const flag = (fields: Fields, name: string): boolean => {
  const value = fields[name];
  if (typeof value !== 'boolean') throw new MalformedMessageError(`${name}: not true or false`);
  return value;
};

/** Longest duration, some thirty years: a longer one is a mistake, and one beyond what microseconds can hold breaks its record. */
const MAX_DURATION_S = 1e9;

/** Reads a duration: in seconds on the wire, returned in whole microseconds. */
export const duration = (fields: Fields, name: string): number => {
  const value = amount(fields, name);
  if (value > MAX_DURATION_S) throw new MalformedMessageError(`${name}: more than ${MAX_DURATION_S} s`);
  return secondsToMicros(value);
};

const MICROS_PER_SECOND = 1e6;

/** Converts seconds to whole microseconds. */
export const secondsToMicros = (seconds: number): number => Math.round(seconds * MICROS_PER_SECOND);
/** Converts microseconds to seconds. */
export const microsToSeconds = (us: number): number => us / MICROS_PER_SECOND;

/** Reads a field of text that is one of the keys of a table, and returns the value of that key. */
export const oneOf = <T>(table: ReadonlyMap<string, T>, fields: Fields, name: string): T => {
  const value = table.get(text(fields, name));
  if (value === undefined) throw new MalformedMessageError(`${name}: not a known value`);
  return value;
};
