/** Connections that nobody ends don't keep new ones out. */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';

import { listen } from '@shaleyoke/controller/http-server';
import { Effect } from 'effect';

const ask = (port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    http
      .get({ host: '127.0.0.1', port, path: '/healthz', agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode ?? 0);
      })
      .on('error', reject);
  });

const open = (port: number): Promise<Socket> =>
  new Promise((resolve) => {
    const s = connect(port, '127.0.0.1', () => {
      resolve(s);
    });
    s.on('error', () => undefined);
  });

/** Whether somebody is answered while as many connections as are allowed stand open and idle. */
const answeredBeside = (awayMs: number): Promise<boolean> =>
  Effect.runPromise(
    Effect.scoped(
      Effect.gen(function* () {
        const server = yield* listen(
          '127.0.0.1:0',
          20,
          (_r, answer) => {
            answer({ status: 200, body: Buffer.alloc(0) });
          },
          awayMs,
        );
        const { port } = server.address() as { port: number };
        return yield* Effect.promise(async () => {
          const sockets: Socket[] = [];
          for (let i = 0; i < 20; i++) sockets.push(await open(port));
          const status = await ask(port).catch(() => 0);
          for (const s of sockets) s.destroy();
          return status === 200;
        });
      }),
    ),
  );

test('connections that have been idle for long give way to new ones, others do not', async () => {
  assert.equal(await answeredBeside(0), true);
  assert.equal(await answeredBeside(3_600_000), false);
});
