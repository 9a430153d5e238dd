/** Guards against idle connections whose clients are gone taking up the connection limit, so that new clients are refused. */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';

import { listen } from '@shaleyoke/controller/http-server';
import { Effect } from 'effect';

const requestStatus = (port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    http
      .get({ host: '127.0.0.1', port, path: '/healthz', agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      })
      .on('error', reject);
  });

const openConnection = (port: number): Promise<Socket> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      resolve(socket);
    });
    socket.on('error', () => undefined);
  });

/** Whether a new request is answered while as many connections as are allowed are open and idle. */
const answersWithIdleConnections = (idleMs: number): Promise<boolean> =>
  Effect.runPromise(
    Effect.scoped(
      Effect.gen(function* () {
        const server = yield* listen(
          '127.0.0.1:0',
          20,
          (_request, respond) => {
            respond({ status: 200, body: Buffer.alloc(0) });
          },
          idleMs,
        );
        const { port } = server.address() as { port: number };
        return yield* Effect.promise(async () => {
          const sockets: Socket[] = [];
          for (let i = 0; i < 20; i++) sockets.push(await openConnection(port));
          const status = await requestStatus(port).catch(() => 0);
          for (const socket of sockets) socket.destroy();
          return status === 200;
        });
      }),
    ),
  );

test('connections that have been idle for long are closed to admit new ones, others are not', async () => {
  assert.equal(await answersWithIdleConnections(0), true);
  assert.equal(await answersWithIdleConnections(3_600_000), false);
});
