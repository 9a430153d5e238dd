/** Guards against calls that never complete: an invalid address or a response that is cut off must yield "no answer". */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { test } from 'node:test';

import { callHttp, makeAgent, type ResponseLimits } from '@shaleyoke/controller/http-client';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import { Effect } from 'effect';

const agent = makeAgent(1);
const limits = (timeout: Micros): ResponseLimits => ({ timeout, maxBytes: 1_000 });
const call = { method: 'GET', path: '/inspect', body: null } as const;

test('a call to an invalid address yields no answer', async () => {
  for (const address of ['', 'm-1', '127.0.0.1:99999', '127.0.0.1:x', '::::', '127.0.0.1:-1'])
    assert.equal(
      await Effect.runPromise(callHttp(agent, address, call, limits(SECOND))),
      null,
      JSON.stringify(address),
    );
});

test('a connection that ends in the middle of a response yields no answer', async () => {
  const server = http.createServer((_request, response) => {
    response.writeHead(200, { 'Content-Length': '100' });
    response.write('half');
    setImmediate(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  assert.equal(await Effect.runPromise(callHttp(agent, `127.0.0.1:${port}`, call, limits(5 * SECOND))), null);
  server.close();
});

test('a response that is longer than allowed yields its status alone, and closes the connection', async () => {
  const server = http.createServer((_request, response) => {
    response.writeHead(200);
    const send = (): void => {
      if (response.destroyed) return;
      response.write(Buffer.alloc(600));
      setImmediate(send);
    };
    send();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  const reply = await Effect.runPromise(callHttp(agent, `127.0.0.1:${port}`, call, limits(5 * SECOND)));
  assert.deepEqual(reply, { status: 200, body: null });
  // Completes once no connection is open.
  await new Promise((resolve) => server.close(resolve));
});
