/** HTTP calls with a time limit each, so that a server that does not respond holds up its caller for no longer than that. */
import * as http from 'node:http';

import { ByteCollector } from '@shaleyoke/core/domain/byte-collector';
import { type Micros, MILLISECOND } from '@shaleyoke/core/domain/time';
import type { HttpCall } from '@shaleyoke/protocol/cloud';
import { Effect } from 'effect';

import { splitAddress } from './address.js';

/** The response to a call. */
export interface HttpResponse {
  readonly status: number;
  /** Null: it was longer than the caller allows. */
  readonly body: Buffer | null;
}

/** The response to a call. Null: there was none, and the request may or may not have been executed. */
export type HttpReply = HttpResponse | null;

/** How long to wait for a response, and how long it may be. */
export interface ResponseLimits {
  readonly timeout: Micros;
  readonly maxBytes: number;
}

/** A pool of persistent connections, at most `sockets` to a server; those that are idle for `idleMs` are closed. */
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

/** Reads the whole response; passes null on if it is cut off, and a response without its body if that is too long. */
const readResponse = (
  request: http.ClientRequest,
  response: http.IncomingMessage,
  maxBytes: number,
  settle: (reply: HttpReply) => void,
): void => {
  const body = new ByteCollector(maxBytes);
  const status = response.statusCode ?? 0;
  const fail = (): void => {
    settle(null);
  };
  response.on('data', (chunk: Buffer) => {
    if (body.append(chunk)) return;
    settle({ status, body: null });
    request.destroy();
  });
  response.on('end', () => {
    settle({ status, body: body.bytes });
  });
  response.on('error', fail);
  response.on('aborted', fail);
};

/** Sends a request; the result is the response, or null if the connection fails or the time limit passes first. */
export const callHttp = (
  agent: http.Agent,
  address: string,
  call: HttpCall,
  limits: ResponseLimits,
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
      readResponse(request, response, limits.maxBytes, settle);
    });
    const timer = setTimeout(() => {
      request.destroy();
      settle(null);
    }, limits.timeout / MILLISECOND);
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
    // An invalid address makes Node throw at once, before anything is sent. The caller must get a result all the same: without one
    // its machine would get no further commands, and whatever awaits the call would never go on.
    Effect.catchAllDefect(() => Effect.succeed<HttpReply>(null)),
  );
