/** Guards against decoders that reserve memory for what a body announces instead of what it holds (docs/incidents/announced-sizes.md). */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decode, encode } from '@msgpack/msgpack';
import { malformedMessagePack, malformedPeerMessages } from '@shaleyoke/emulator/malformed-bodies';
import { decodeBody } from '@shaleyoke/protocol/body';
import { decodePeerMessage, encodePeerMessage, peerMessageKindOf } from '@shaleyoke/protocol/peers';
import fc from 'fast-check';

const PROPERTY_OPTIONS = { seed: 20261204, numRuns: 3_000 };

/** The decoded value; undefined if the body is refused. */
const decodeOrUndefined = (decodeBytes: (bytes: Uint8Array) => unknown, bytes: Uint8Array): unknown => {
  try {
    return decodeBytes(bytes);
  } catch {
    return undefined;
  }
};

/** How many items arrays are made for in advance while a body is decoded, whether or not it is refused in the end. */
const reservedItems = (decodeBytes: (bytes: Uint8Array) => unknown, bytes: Uint8Array): number => {
  let reserved = 0;
  const original = globalThis.Array;
  globalThis.Array = new Proxy(original, {
    construct: (_target, [length]: [unknown]) => {
      // Only counted: the memory itself could end the test.
      if (typeof length === 'number') reserved += length;
      return [];
    },
  });
  try {
    decodeOrUndefined(decodeBytes, bytes);
  } finally {
    globalThis.Array = original;
  }
  return reserved;
};

/** A first byte, followed by a number of the given width. */
const header = (first: number, width: 1 | 2 | 4): fc.Arbitrary<number[]> =>
  fc.oneof(fc.nat(0xff), fc.nat(0xffff), fc.nat(0xffffffff)).map((count) => {
    const bytes = Buffer.alloc(4);
    bytes.writeUInt32BE(count);
    return [first, ...bytes.subarray(4 - width)];
  });

/** Bytes that are mostly headers of arrays, maps and texts within each other. */
const nestedHeaders = fc
  .array(
    fc.oneof(
      header(0xdc, 2),
      header(0xdd, 4),
      header(0xde, 2),
      header(0xdf, 4),
      header(0xd9, 1),
      header(0xc9, 4),
      fc.integer({ min: 0x80, max: 0xa2 }).map((first) => [first]),
      fc.constant([0xc0]),
    ),
    { maxLength: 60 },
  )
  .map((parts) => Uint8Array.from(parts.flat()));

test('arrays are not made for more items than a body has bytes, whatever it announces', () => {
  for (const { name, bytes } of malformedMessagePack())
    assert.ok(reservedItems(decodeBody, bytes) <= bytes.length, name);
  fc.assert(
    fc.property(nestedHeaders, (bytes) => {
      assert.ok(reservedItems(decodeBody, bytes) <= bytes.length);
    }),
    PROPERTY_OPTIONS,
  );
});

test('the count of reserved items sees what the decoder alone would reserve', () => {
  const announced = malformedMessagePack().filter(({ bytes }) => reservedItems(decode, bytes) > bytes.length);
  assert.ok(announced.length >= 5, announced.map(({ name }) => name).join());
});

test('a body is decoded exactly if the decoder alone decodes it, and to the same value', () => {
  const limits = { maxArrayLength: 1_000, maxMapLength: 1_000 };
  const decodeAlone = (bytes: Uint8Array): unknown => decode(bytes, limits);
  const valid = fc
    .anything({ withTypedArray: true, maxDepth: 6 })
    .map((value) => decodeOrUndefined(() => encode(value, { ignoreUndefined: true }), new Uint8Array()))
    .filter((bytes) => bytes instanceof Uint8Array);
  let decoded = 0;
  fc.assert(
    fc.property(fc.oneof(valid, nestedHeaders, fc.uint8Array({ maxLength: 60 })), (bytes) => {
      const expected = decodeOrUndefined(decodeAlone, bytes);
      assert.deepEqual(decodeOrUndefined(decodeBody, bytes), expected);
      if (expected !== undefined) decoded++;
    }),
    PROPERTY_OPTIONS,
  );
  assert.ok(decoded > PROPERTY_OPTIONS.numRuns / 4, `decoded: ${decoded}`);
});

test('arrays are not made for more items than a message between controllers has bytes', () => {
  for (const { name, path, bytes } of malformedPeerMessages()) {
    const decodeMessage = (body: Uint8Array): unknown =>
      decodePeerMessage(peerMessageKindOf(path)!, Buffer.from(body));
    assert.ok(reservedItems(decodeMessage, bytes) <= bytes.length, `${path}: ${name}`);
    assert.equal(decodeMessage(bytes), null, `${path}: ${name}`);
  }
});

test('a progress update in several blocks, with and without their sizes, is decoded as one in a single block', () => {
  const jobs = [
    { id: 'run-7', done: 3, running: 4 },
    { id: 'run-8', done: 0, running: 1 },
  ];
  const whole = encodePeerMessage({ kind: 'progress', member: 'dock-0', term: 3, jobs }).body;
  const items = [Buffer.from('0a72756e2d370608', 'hex'), Buffer.from('0a72756e2d380002', 'hex')];
  const start = Buffer.from('0c646f636b2d3006', 'hex');
  assert.deepEqual(whole, Buffer.concat([start, Buffer.from([4]), ...items, Buffer.from([0])]));
  // A block of one item, then one of one item with its size: the count is negative.
  const blocks = [start, Buffer.from([2]), items[0]!, Buffer.from([1, 16]), items[1]!, Buffer.from([0])];
  assert.deepEqual(
    decodePeerMessage('progress', Buffer.concat(blocks)),
    decodePeerMessage('progress', whole),
  );
});
