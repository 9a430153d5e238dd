/** Bodies that make a careless decoder reserve far more memory than they have bytes, for tests. None of them is a valid message. */
import { MAX_BODY_BYTES } from '@shaleyoke/protocol/body';

/** A body and what is special about it. */
export interface MalformedBody {
  readonly name: string;
  readonly bytes: Buffer;
}

const fromHex = (hex: string): Buffer => Buffer.from(hex.replaceAll(' ', ''), 'hex');

/** A body of the maximum size that repeats a pattern, after a prefix and before a suffix. */
const fillBody = (pattern: string, prefix = '', suffix = ''): Buffer => {
  const [start, end, unit] = [fromHex(prefix), fromHex(suffix), fromHex(pattern)];
  const repeats = Math.floor((MAX_BODY_BYTES - start.length - end.length) / unit.length);
  return Buffer.concat([start, Buffer.alloc(repeats * unit.length, unit), end]);
};

const ARRAY_32 = 0xdd;
const ARRAY_32_HEADER_BYTES = 5;

/** Arrays within each other, each of which announces as many items as there are bytes left. */
const arraysOfRemainingLength = (): Buffer => {
  const bytes = Buffer.alloc(MAX_BODY_BYTES);
  for (let at = 0; at + ARRAY_32_HEADER_BYTES <= bytes.length; at += ARRAY_32_HEADER_BYTES) {
    bytes.writeUInt8(ARRAY_32, at);
    bytes.writeUInt32BE(bytes.length - at - ARRAY_32_HEADER_BYTES, at + 1);
  }
  return bytes;
};

/** An empty map with one entry for each two-byte key, which is as many different keys as a body can hold. */
const mapOfManyKeys = (): Buffer => {
  const entry = fromHex('a2 0000 c0');
  const entries = Math.floor((MAX_BODY_BYTES - 5) / entry.length);
  const header = Buffer.alloc(5, 0xdf);
  header.writeUInt32BE(entries, 1);
  const bytes = Buffer.concat([header, Buffer.alloc(entries * entry.length, entry)]);
  for (let i = 0; i < entries; i++) {
    bytes.writeUInt8(i & 0x7f, header.length + i * entry.length + 1);
    bytes.writeUInt8((i >> 7) & 0x7f, header.length + i * entry.length + 2);
  }
  return bytes;
};

/** Malformed MessagePack, and valid MessagePack that is no message and takes much more memory than bytes. */
export const malformedMessagePack = (): MalformedBody[] => [
  { name: 'an empty body', bytes: Buffer.alloc(0) },
  { name: 'two arrays of 2^25 items', bytes: fromHex('dd01ffffff dd01ffffff') },
  { name: 'an array of 2^32 items', bytes: fromHex('ddffffffff') },
  { name: 'a map of 2^32 entries', bytes: fromHex('dfffffffff') },
  { name: 'a header that is cut off', bytes: fromHex('ddffff') },
  { name: 'nested arrays of 2^32 items', bytes: fillBody('ddffffffff') },
  { name: 'nested arrays of 2^25 items', bytes: fillBody('dd01ffffff') },
  { name: 'nested arrays of 65,535 items', bytes: fillBody('dcffff') },
  { name: 'nested arrays of 65,535 items in an unknown field', bytes: fillBody('dcffff', '81a178') },
  { name: 'nested arrays of 15 items', bytes: fillBody('9f') },
  { name: 'nested arrays of the remaining length', bytes: arraysOfRemainingLength() },
  { name: 'arrays of 65,535 items as keys', bytes: fillBody('81dcffff') },
  { name: 'nested maps of 2^32 entries', bytes: fillBody('dfffffffff a161') },
  { name: 'nested maps of 65,535 entries', bytes: fillBody('deffff a0') },
  { name: 'a text of 2^32 bytes', bytes: fromHex('dbffffffff') },
  { name: 'binary data of 2^32 bytes', bytes: fromHex('c6ffffffff') },
  { name: 'an extension of 2^32 bytes', bytes: fromHex('c9ffffffff 01') },
  { name: 'nested arrays of one item', bytes: fillBody('91', '', 'c0') },
  { name: 'nested maps of one entry', bytes: fillBody('81a161', '', 'c0') },
  { name: 'an array of empty maps', bytes: fillBody('80', 'dd0000fffb') },
  { name: 'an array of empty arrays', bytes: fillBody('90', 'dd0000fffb') },
  { name: 'an array of maps of one entry', bytes: fillBody('81a0c0', 'dd00005553', '') },
  { name: 'an array of empty binary data', bytes: fillBody('c400', 'dd00007ffd') },
  { name: 'an array of extensions', bytes: fillBody('d40100', 'dd00005553') },
  { name: 'a map of as many keys as possible', bytes: mapOfManyKeys() },
  { name: 'the key __proto__', bytes: fromHex('81 a95f5f70726f746f5f5f 90') },
  { name: 'trailing bytes', bytes: fromHex('80 ddffffffff') },
];

/** The first fields of a progress update, before the array: member and term. */
const PROGRESS_START = '02 61 02';
/** The first fields of a heartbeat, before the array. */
const HEARTBEAT_START = '02 61 02 02 00 00 00 02';

/** Arrays that are wrong in ways of their own, by their encoding in Avro. */
const MALFORMED_AVRO_ARRAYS: readonly { readonly name: string; readonly array: Buffer }[] = [
  { name: 'a count of 2^31 items', array: fromHex('8080808010') },
  { name: 'a count of 2^25 items', array: fromHex('80808020') },
  { name: 'a count of 2^22 items', array: fromHex('80808004') },
  { name: 'a count of 2^52 items', array: fromHex('8080808080808010') },
  { name: 'a block of 2^25 items with its size', array: fromHex('ffffff1f 00') },
  { name: 'a block of 2^31 items with its size', array: fromHex('ffffffff0f 00') },
  { name: 'a count of as many items as bytes follow', array: fillBody('00', 'e0ff07') },
  { name: 'a number without an end', array: Buffer.alloc(60_000, 0xff) },
  { name: 'a text of 2^31 bytes', array: fromHex('02 8080808010') },
  { name: 'a text of negative length', array: fromHex('02 ffffff0f 00 00 00') },
  { name: 'no end of the array', array: fromHex('02 00 00 00') },
];

/** Malformed messages between controllers, by their path. */
export const malformedPeerMessages = (): (MalformedBody & { readonly path: string })[] =>
  MALFORMED_AVRO_ARRAYS.flatMap(({ name, array }) => [
    {
      name,
      path: '/peer/v1',
      bytes: Buffer.concat([fromHex(PROGRESS_START), array]).subarray(0, MAX_BODY_BYTES),
    },
    {
      name,
      path: '/peer/v2/beat',
      bytes: Buffer.concat([fromHex(HEARTBEAT_START), array]).subarray(0, MAX_BODY_BYTES),
    },
  ]);
