/** Guards against calls that never complete: an invalid address or a response that is cut off must yield "no answer". */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { test } from 'node:test';

import { callHttp, makeAgent } from '@shaleyoke/controller/http-client';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Effect } from 'effect';

const agent = makeAgent(1);
const call = { method: 'GET', path: '/inspect', body: null } as const;

test('a call to an invalid address yields no answer', async () => {
  for (const address of ['', 'm-1', '127.0.0.1:99999', '127.0.0.1:x', '::::', '127.0.0.1:-1'])
    assert.equal(
      await Effect.runPromise(callHttp(agent, address, call, SECOND)),
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
  assert.equal(await Effect.runPromise(callHttp(agent, `127.0.0.1:${port}`, call, 5 * SECOND)), null);
  server.close();
});
