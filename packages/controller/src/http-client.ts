/** Calls over Node's http, each with a deadline: a silent server costs its time-out, never more. */
import * as http from 'node:http';

import { type Micros, MILLI } from '@shaleyoke/core/domain/time';
import type { HttpCall } from '@shaleyoke/protocol/cloud';
import { Effect } from 'effect';

import { splitAddress } from './address.js';

/** Null: no answer; whether the request was executed is not known. */
export type HttpReply = { readonly status: number; readonly body: Buffer } | null;

const MAX_REPLY_BYTES = 64 * 1024 * 1024;

/** A pool of connections that are kept open; `idleMs`: those that were not used for that long are closed. */
export const makeAgent = (sockets: number, idleMs?: number): http.Agent =>
  new http.Agent({
    keepAlive: true,
    maxSockets: sockets,
    maxFreeSockets: sockets,
    scheduling: 'lifo',
    ...(idleMs === undefined ? {} : { timeout: idleMs }),
  });

const headersOf = (body: Buffer | null): http.OutgoingHttpHeaders =>
  body === null ? {} : { 'Content-Type': 'application/msgpack', 'Content-Length': body.length };

/** Passes the whole response on; null for one that breaks off or is too large. */
const readResponse = (
  request: http.ClientRequest,
  response: http.IncomingMessage,
  settle: (reply: HttpReply) => void,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  const fail = (): void => {
    settle(null);
  };
  response.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_REPLY_BYTES) request.destroy();
    else chunks.push(chunk);
  });
  response.on('end', () => {
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    settle({ status: response.statusCode ?? 0, body });
  });
  response.on('error', fail);
  response.on('aborted', fail);
};

/** Sends a request, and gives the response, or null once `timeout` has passed or the connection fails. */
export const callHttp = (
  agent: http.Agent,
  address: string,
  call: HttpCall,
  timeout: Micros,
): Effect.Effect<HttpReply> =>
  Effect.async<HttpReply>((resume) => {
    let settled = false;
    const settle = (reply: HttpReply): void => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resume(Effect.succeed(reply));
    };
    const { method, path, body } = call;
    const options = { agent, ...splitAddress(address), method, path, headers: headersOf(body) };
    const request = http.request(options, (response) => {
      readResponse(request, response, settle);
    });
    const timer = setTimeout(() => {
      request.destroy();
      settle(null);
    }, timeout / MILLI);
    request.on('error', () => {
      settle(null);
    });
    request.on('socket', (socket) => {
      socket.setNoDelay(true);
    });
    if (body === null) request.end();
    else request.end(body);
    return Effect.sync(() => {
      clearTimeout(timer);
      request.destroy();
    });
  }).pipe(
    // An address that can't be one throws at once. Nothing was sent then, and the caller must learn of that all the same: else its
    // machine would get no command any more, and whatever waits for the call would wait for ever.
    Effect.catchAllDefect(() => Effect.succeed<HttpReply>(null)),
  );
