/** HTTP servers: one address serves users, workers and health checks, another the other controllers. */
import * as http from 'node:http';

import { ByteCollector } from '@shaleyoke/core/domain/byte-collector';
import { MAX_BODY_BYTES } from '@shaleyoke/protocol/body';
import { Effect, type Scope } from 'effect';

import { splitAddress } from './address.js';
import { closeIdleConnections } from './idle-connections.js';

/** A request whose body has been received completely. */
export interface ServerRequest {
  readonly method: string;
  readonly url: string;
  readonly body: Buffer;
}

/** The response to a request, with its body already encoded. */
export interface ServerResponse {
  readonly status: number;
  readonly body: Buffer;
  readonly retryAfterS?: number;
  /** Closes the connection, so that a retry may reach another controller. */
  readonly close?: boolean;
}

/** Handles a request; `respond` may be called at once or later. */
export type RequestHandler = (request: ServerRequest, respond: (response: ServerResponse) => void) => void;

/** Users and workers send requests every few seconds: a connection that is idle for longer has probably lost its client. */
const IDLE_MS = 12_000;
/** Kept long, so that users, who poll every few seconds, can reuse their connections. */
const KEEP_ALIVE_MS = 120_000;
const HEADERS_TIMEOUT_MS = 20_000;
const REQUEST_TIMEOUT_MS = 20_000;
const LISTEN_BACKLOG = 1024;
const TOO_LARGE: ServerResponse = { status: 413, body: Buffer.alloc(0), close: true };
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

const send = (raw: http.ServerResponse, response: ServerResponse): void => {
  if (raw.writableEnded || raw.destroyed) return;
  raw.writeHead(response.status, {
    'Content-Type': 'application/msgpack',
    'Content-Length': response.body.length,
    ...(response.retryAfterS === undefined ? {} : { 'Retry-After': String(response.retryAfterS) }),
    ...(response.close === true ? { Connection: 'close' } : {}),
  });
  raw.end(response.body);
};

/** Reads the body of a request and handles it; a body larger than the protocol allows is refused with status 413. */
const receive = (request: http.IncomingMessage, raw: http.ServerResponse, handle: RequestHandler): void => {
  const body = new ByteCollector(MAX_BODY_BYTES);
  let refused = false;
  const refuse = (): void => {
    if (refused) return;
    refused = true;
    send(raw, TOO_LARGE);
    raw.once('finish', () => request.destroy());
  };
  if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
    refuse();
    return;
  }
  request.on('data', (chunk: Buffer) => {
    if (!refused && !body.append(chunk)) refuse();
  });
  request.on('end', () => {
    if (refused) return;
    const received = { method: request.method ?? 'GET', url: request.url ?? '/', body: body.bytes };
    handle(received, (response) => {
      send(raw, response);
    });
  });
  request.on('error', () => undefined);
};

const createServer = (handle: RequestHandler): http.Server => {
  const server = http.createServer((request, raw) => {
    raw.sendDate = false;
    receive(request, raw, handle);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.on('clientError', (_error, socket) => {
    if (socket.writable) socket.end(BAD_REQUEST);
    else socket.destroy();
  });
  return server;
};

/** Listens until the scope closes. `maxConnections`: 0 for no limit; `idleMs`: idle time after which a connection may be closed. */
export const listen = (
  address: string,
  maxConnections: number,
  handle: RequestHandler,
  idleMs = IDLE_MS,
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.async<http.Server, Error>((resume) => {
      const server = createServer(handle);
      if (maxConnections > 0) {
        server.maxConnections = maxConnections;
        closeIdleConnections(server, maxConnections, idleMs);
      }
      server.once('error', (error) => {
        resume(Effect.fail(error));
      });
      const { host, port } = splitAddress(address);
      server.listen(port, host, LISTEN_BACKLOG, () => {
        resume(Effect.succeed(server));
      });
    }),
    (server) =>
      Effect.sync(() => {
        server.close();
      }),
  );
