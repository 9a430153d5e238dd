/** Malformed bodies sent to a real controller with the heap of a deployed one, on each address that it listens on. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';

import { httpCall } from '@shaleyoke/emulator/loopback-http';
import { malformedMessagePack, malformedPeerMessages } from '@shaleyoke/emulator/malformed-bodies';

import { withController } from './single-controller.js';

/** Users wait this long for a response. */
const RESPONSE_TIMEOUT_MS = 5_000;
/** The load balancer waits this long for the response to a health check. */
const HEALTH_TIMEOUT_MS = 1_000;
/** Time in which all chunks of a body have arrived, so that bodies sent at once are held at the same time. */
const CHUNKS_PAUSE_MS = 2_000;

/** Sends a body; the response to it must be 400, and the controller must be healthy right after it. */
const assertRefused = async (
  path: string,
  target: string,
  healthAddress: string,
  name: string,
  bytes: Buffer,
): Promise<void> => {
  const response = await httpCall(target, 'POST', path, bytes, RESPONSE_TIMEOUT_MS);
  assert.equal(response?.status, 400, `${path}: ${name}: refused`);
  const health = await httpCall(healthAddress, 'GET', '/healthz', null, HEALTH_TIMEOUT_MS);
  assert.equal(health?.status, 200, `${path}: ${name}: healthy afterwards`);
};

test('a body that announces more than it holds is refused, and does not end the controller that gets it', async () => {
  // Guards against decoders that reserve memory for all items that an array announces (docs/incidents/announced-sizes.md).
  await withController(async ({ address }) => {
    for (const path of ['/api/jobs', '/v1/report'])
      for (const { name, bytes } of malformedMessagePack())
        await assertRefused(path, address, address, name, bytes);
  });
});

test('a message between controllers that announces more than it holds is refused, and does not end or block its receiver', async () => {
  // Guards against array readers that reserve memory for all announced items, or read on past the end of a message.
  await withController(async ({ address, peerAddress }) => {
    for (const { name, path, bytes } of malformedPeerMessages())
      await assertRefused(path, peerAddress, address, name, bytes);
  });
});

/** Sends a body in chunks of one byte, and the end of it after a pause; resolves to the first line of the response, or the error. */
const sendInOneByteChunks = (address: string, path: string, chunks: number): Promise<string> =>
  new Promise((resolve) => {
    const { hostname, port } = new URL(`http://${address}`);
    const socket = connect(Number(port), hostname);
    socket.on('error', (error) => {
      resolve(error.message);
    });
    socket.on('close', () => {
      resolve('closed without a response');
    });
    socket.on('data', (data) => {
      resolve(data.toString().split('\r\n', 1)[0]!);
      socket.destroy();
    });
    socket.write(`POST ${path} HTTP/1.1\r\nHost: ${hostname}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    socket.write('1\r\n\0\r\n'.repeat(chunks));
    setTimeout(() => socket.write('0\r\n\r\n'), CHUNKS_PAUSE_MS);
  });

test('bodies in chunks of one byte take memory by their length, and do not end the controller that gets them', async () => {
  // Guards against a list of chunks, each of which takes hundreds of bytes whatever it holds.
  await withController(async ({ address, peerAddress }) => {
    for (const [target, path] of [
      [address, '/v1/report'],
      [peerAddress, '/peer/v1'],
    ] as const) {
      const senders = Array.from({ length: 50 }, () => sendInOneByteChunks(target, path, 65_000));
      assert.deepEqual(new Set(await Promise.all(senders)), new Set(['HTTP/1.1 400 Bad Request']), path);
      const health = await httpCall(address, 'GET', '/healthz', null, HEALTH_TIMEOUT_MS);
      assert.equal(health?.status, 200, `${path}: healthy afterwards`);
    }
  });
});
