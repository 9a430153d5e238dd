/** Malformed bodies sent to a real controller with the heap of a deployed one, on each address that it listens on. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MACHINE_TYPE, waitUntil } from '@shaleyoke/demo/demo';
import { deployedNodeFlags } from '@shaleyoke/emulator/deployed-flags';
import { LoopbackDeployment } from '@shaleyoke/emulator/loopback';
import { httpCall } from '@shaleyoke/emulator/loopback-http';
import { malformedMessagePack, malformedPeerMessages } from '@shaleyoke/emulator/malformed-bodies';

const MAIN = new URL('../../cli/src/main.ts', import.meta.url).pathname;
const PROGRAM = [process.execPath, ...deployedNodeFlags(), '--import', 'tsx', MAIN];
/** Users wait this long for a response. */
const RESPONSE_TIMEOUT_MS = 5_000;
/** The load balancer waits this long for the response to a health check. */
const HEALTH_TIMEOUT_MS = 1_000;

/** Runs one controller, and calls `check` once it is healthy. */
const withController = async (
  check: (addresses: { readonly address: string; readonly peerAddress: string }) => Promise<void>,
): Promise<void> => {
  const deployment = new LoopbackDeployment({
    program: PROGRAM,
    nodes: 1,
    teams: ['a'],
    types: [MACHINE_TYPE],
    perZone: 1,
    budgets: null,
    log: null,
  });
  try {
    await deployment.start();
    assert.ok(await waitUntil(() => deployment.leader() !== null, 60), 'the controller becomes the leader');
    await check(deployment.nodes[0]!);
  } finally {
    deployment.stop();
  }
};

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
