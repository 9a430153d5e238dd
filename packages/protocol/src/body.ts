/** MessagePack message bodies and validated access to their fields. All readers throw `MalformedMessageError`. */
import { decode, encode } from '@msgpack/msgpack';

import { checkAnnouncedSizes } from './announced-sizes.js';

/** A map from a decoded message, whose fields are not validated yet. */
export type Fields = Readonly<Record<string, unknown>>;

/** Size limit of a request body, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

/** A message does not have the expected form. Callers respond with status 400, or treat a malformed reply as lost. */
export class MalformedMessageError extends Error {}

/** A message is longer than allowed, or would take too much memory; what it says is not known. */
export class OversizedMessageError extends MalformedMessageError {}

/** Encodes a body as MessagePack; undefined fields are omitted. */
export const encodeBody = (value: unknown): Buffer => {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

/**
 * Decodes a MessagePack body; its fields are validated by the readers below. The memory that it takes is proportional to its length,
 * and limited. Throws `MalformedMessageError`.
 */
export const decodeBody = (bytes: Uint8Array): unknown => {
  const sizes = checkAnnouncedSizes(bytes);
  if (sizes === 'impossible')
    throw new MalformedMessageError('not MessagePack: shorter than the sizes that it announces');
  if (sizes === 'tooLarge') throw new OversizedMessageError('takes too much memory');
  try {
    return decode(bytes);
  } catch {
    throw new MalformedMessageError('not MessagePack');
  }
};

/** The body of a reply; null if it was longer than allowed and has been dropped. */
export type ReplyBody = Uint8Array | null;

/** Decodes the body of a reply; an empty one is an empty map. Throws `MalformedMessageError`. */
export const decodeReplyBody = (body: ReplyBody): unknown => {
  if (body === null) throw new OversizedMessageError('longer than allowed');
  return body.length === 0 ? {} : decodeBody(body);
};

/** Checks that a value is a map. `what` names the value in the error. */
export const readMap = (value: unknown, what: string): Fields => {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new MalformedMessageError(`${what}: not a map`);
  return value as Fields;
};

/** Checks that a value is an array. `what` names the value in the error. */
export const readArray = (value: unknown, what: string): readonly unknown[] => {
  if (!Array.isArray(value)) throw new MalformedMessageError(`${what}: not a list`);
  return value;
};

/** Reads a string field. */
export const readString = (fields: Fields, name: string): string => {
  const value = fields[name];
  if (typeof value !== 'string') throw new MalformedMessageError(`${name}: not text`);
  return value;
};

/** Reads a string field that may be missing or null. */
export const readOptionalString = (fields: Fields, name: string): string | null => {
  const value = fields[name];
  if (value === null || value === undefined) return null;
  if (typeof value !== 'string') throw new MalformedMessageError(`${name}: not text`);
  return value;
};

/** Reads a field that is a finite number of 0 or more. */
export const readAmount = (fields: Fields, name: string): number => {
  const value = fields[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0)
    throw new MalformedMessageError(`${name}: not an amount of 0 or more`);
  // Negative zero is normalized, since JSON records don't preserve it.
  return value === 0 ? 0 : value;
};

/** Reads a field that is a finite number of 0 or more, or is missing or null. */
export const readOptionalAmount = (fields: Fields, name: string): number | null =>
  fields[name] === null || fields[name] === undefined ? null : readAmount(fields, name);

/** Reads a field that is an integer of 0 or more. */
export const readInteger = (fields: Fields, name: string): number => {
  const value = fields[name];
  if (typeof value !== 'number' || !Number.isInteger(value) || value < 0)
    throw new MalformedMessageError(`${name}: not an integer of 0 or more`);
  return value;
};

/** Reads a boolean field; a missing one is an error. */
export const readBoolean = (fields: Fields, name: string): boolean => {
  const value = fields[name];
  if (typeof value !== 'boolean') throw new MalformedMessageError(`${name}: not true or false`);
  return value;
};

/** Longest duration, about 30 years: a longer one is a mistake, and one beyond the range of microseconds can't be stored exactly. */
const MAX_DURATION_S = 1e9;

/** Reads a duration, which is in seconds on the wire, and returns it in whole microseconds. */
export const readDuration = (fields: Fields, name: string): number => {
  const value = readAmount(fields, name);
  if (value > MAX_DURATION_S) throw new MalformedMessageError(`${name}: more than ${MAX_DURATION_S} s`);
  return secondsToMicros(value);
};

const MICROS_PER_SECOND = 1e6;

/** Converts seconds to whole microseconds. */
export const secondsToMicros = (seconds: number): number => Math.round(seconds * MICROS_PER_SECOND);
/** Converts microseconds to seconds. */
export const microsToSeconds = (micros: number): number => micros / MICROS_PER_SECOND;

/** Reads a string field that must be a key of a table, and returns the value of that key. */
export const readEnum = <T>(table: ReadonlyMap<string, T>, fields: Fields, name: string): T => {
  const value = table.get(readString(fields, name));
  if (value === undefined) throw new MalformedMessageError(`${name}: not a known value`);
  return value;
};
