/** Replies of the store, the cloud and the workers that are far too large for the heap of a controller. */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { test } from 'node:test';

import { commandRunner } from '../src/command-runner.js';
import { deployedNodeFlags } from '../src/deployed-flags.js';

const READER = new URL('reply-reader.ts', import.meta.url).pathname;
const runReader = commandRunner([process.execPath, ...deployedNodeFlags(), '--import', 'tsx', READER]);

const MIB = 1024 * 1024;

/** An array of equal items that makes a body of about the given length. */
const arrayOf = (item: string, bytes: number): Buffer => {
  const itemBytes = Buffer.from(item, 'hex');
  const count = Math.floor(bytes / itemBytes.length);
  const header = Buffer.alloc(5, 0xdd);
  header.writeUInt32BE(count, 1);
  return Buffer.concat([header, Buffer.alloc(count * itemBytes.length, itemBytes)]);
};

/** A map with as many different keys as make a body of about the given length. */
const mapOfKeys = (bytes: number): Buffer => {
  const entryBytes = 6;
  const count = Math.floor(bytes / entryBytes);
  const body = Buffer.alloc(5 + count * entryBytes, 0xdf);
  body.writeUInt32BE(count, 1);
  for (let i = 0; i < count; i++)
    body.write(`\xa4${i.toString(36).padStart(4, '0')}\0`, 5 + i * entryBytes, 'latin1');
  return body;
};

const arraysWithinEachOther = (bytes: number): Buffer =>
  Buffer.concat([Buffer.alloc(bytes - 1, 0x91), Buffer.from([0x90])]);

const sendBody =
  (body: Buffer) =>
  (response: http.ServerResponse): void => {
    response.writeHead(200, { 'Content-Length': body.length });
    response.end(body);
  };

const sendWithoutEnd = (response: http.ServerResponse): void => {
  response.writeHead(200);
  const chunk = Buffer.alloc(MIB / 16);
  const send = (): void => {
    while (!response.destroyed && response.write(chunk));
    if (!response.destroyed) response.once('drain', send);
  };
  send();
};

const sendInOneByteChunks = (response: http.ServerResponse): void => {
  response.writeHead(200);
  const { socket } = response;
  response.flushHeaders();
  socket?.write('1\r\n\0\r\n'.repeat(MIB / 4));
  socket?.end('0\r\n\r\n');
};

const REPLIES: readonly { readonly name: string; readonly send: (response: http.ServerResponse) => void }[] =
  [
    { name: '60 MiB of numbers', send: sendBody(arrayOf('00', 60 * MIB)) },
    { name: '2 MiB of numbers', send: sendBody(arrayOf('00', 2 * MIB)) },
    { name: '2 MiB of empty maps', send: sendBody(arrayOf('80', 2 * MIB)) },
    { name: '1 MiB of arrays within each other', send: sendBody(arraysWithinEachOther(MIB)) },
    { name: '1 MiB of empty binary data', send: sendBody(arrayOf('c400', MIB)) },
    { name: '1 MiB of keys', send: sendBody(mapOfKeys(MIB)) },
    { name: 'bytes without end', send: sendWithoutEnd },
    { name: '256 KiB in chunks of one byte', send: sendInOneByteChunks },
  ];

/** What the reader prints if no reply was usable; a watch is then answered by listing the keys. */
const assertUnusable = (name: string, output: string): void => {
  const { watch, ...others } = JSON.parse(output) as Record<string, string>;
  assert.deepEqual(
    others,
    { get: 'failed', list: 'failed', txn: 'failed', types: 'failed', machines: 'failed', commands: 'lost' },
    name,
  );
  assert.ok(watch === 'tooOld' || watch === 'failed', `${name}: ${watch}`);
};

test('a reply that is too large for the heap counts as lost, and does not end the controller that asked', async () => {
  // Guards against replies of any length and content being read and decoded whole (docs/incidents/large-replies.md).
  for (const { name, send } of REPLIES) {
    const server = http.createServer((request, response) => {
      request.resume();
      send(response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as { port: number };
    const { exitCode, output } = await runReader(`127.0.0.1:${port}`);
    server.close();
    server.closeAllConnections();
    assert.equal(exitCode, 0, `${name}: ${output.slice(0, 500)}`);
    assertUnusable(name, output);
  }
});
