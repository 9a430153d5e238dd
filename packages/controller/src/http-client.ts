/** Calls over Node's http, each with a deadline: a silent peer costs its time-out, never more. */
import * as http from 'node:http';
import { Effect } from 'effect';
import type { HttpCall } from '@shaleyoke/protocol/cloud';
import type { Micros } from '@shaleyoke/core/domain/time';

/** Null: no answer, nobody can tell whether the request was executed. */
export type HttpReply = { readonly status: number; readonly body: Buffer } | null;

const MAX_REPLY = 64 * 1024 * 1024;

/** `idleMs`: connections that were not used for that long are closed. */
export const makeAgent = (sockets: number, idleMs?: number): http.Agent =>
  new http.Agent({
    keepAlive: true,
    maxSockets: sockets,
    maxFreeSockets: sockets,
    scheduling: 'lifo',
    ...(idleMs === undefined ? {} : { timeout: idleMs }),
  });

export const callHttp = (
  agent: http.Agent,
  address: string,
  call: HttpCall,
  timeout: Micros,
): Effect.Effect<HttpReply> =>
  Effect.async<HttpReply>((resume) => {
    const cut = address.lastIndexOf(':');
    let settled = false;
    const settle = (r: HttpReply): void => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resume(Effect.succeed(r));
    };
    const req = http.request(
      {
        agent,
        host: address.slice(0, cut),
        port: Number(address.slice(cut + 1)),
        method: call.method,
        path: call.path,
        headers:
          call.body === null
            ? {}
            : { 'Content-Type': 'application/msgpack', 'Content-Length': call.body.length },
      },
      (res) => {
        const chunks: Buffer[] = [];
        let size = 0;
        res.on('data', (c: Buffer) => {
          size += c.length;
          if (size > MAX_REPLY) req.destroy();
          else chunks.push(c);
        });
        res.on('end', () => {
          settle({
            status: res.statusCode ?? 0,
            body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
          });
        });
        res.on('error', () => {
          settle(null);
        });
        res.on('aborted', () => {
          settle(null);
        });
      },
    );
    const timer = setTimeout(() => {
      req.destroy();
      settle(null);
    }, timeout / 1000);
    req.on('error', () => {
      settle(null);
    });
    req.on('socket', (s) => {
      s.setNoDelay(true);
    });
    if (call.body === null) req.end();
    else req.end(call.body);
    return Effect.sync(() => {
      clearTimeout(timer);
      req.destroy();
    });
  }).pipe(
    // An address that can't be one throws at once. Nobody was called then; who waits must hear that all the same, else its
    // machine would get no order any more, and whatever stands behind the call would wait for ever.
    Effect.catchAllDefect(() => Effect.succeed<HttpReply>(null)),
  );
