/** The listening sides: users, workers and health checks on one address, other controllers on another. */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Effect, type Scope } from 'effect';
import { MAX_BODY } from '@shaleyoke/protocol/body';

export interface Incoming {
  readonly method: string;
  readonly url: string;
  readonly body: Buffer;
}
export interface Outgoing {
  readonly status: number;
  readonly body: Buffer;
  readonly retryAfterS?: number;
  /** Ends the connection, so that a retry may reach another node. */
  readonly close?: boolean;
}
export type Handler = (request: Incoming, answer: (o: Outgoing) => void) => void;

const send = (res: http.ServerResponse, o: Outgoing): void => {
  if (res.writableEnded || res.destroyed) return;
  res.writeHead(o.status, {
    'Content-Type': 'application/msgpack',
    'Content-Length': o.body.length,
    ...(o.retryAfterS === undefined ? {} : { 'Retry-After': String(o.retryAfterS) }),
    ...(o.close === true ? { Connection: 'close' } : {}),
  });
  res.end(o.body);
};

const collect = (req: http.IncomingMessage, res: http.ServerResponse, handle: Handler): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  let refused = false;
  const declared = Number(req.headers['content-length'] ?? 0);
  const refuse = (): void => {
    if (refused) return;
    refused = true;
    send(res, { status: 413, body: Buffer.alloc(0), close: true });
    res.once('finish', () => req.destroy());
  };
  if (declared > MAX_BODY) {
    refuse();
    return;
  }
  req.on('data', (c: Buffer) => {
    size += c.length;
    if (size > MAX_BODY) refuse();
    else chunks.push(c);
  });
  req.on('end', () => {
    if (refused) return;
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    handle({ method: req.method ?? 'GET', url: req.url ?? '/', body }, (o) => {
      send(res, o);
    });
  });
  req.on('error', () => undefined);
};

/** From this share of all connections on, room is made for new ones. */
const CROWDED = 0.7;
/** Users and workers come every few seconds: who has not for so long is away, or behind a cut that took the end with it. */
const AWAY_MS = 12_000;

/**
 * Closes what has been idle for long once connections become scarce, longest first. After a cut those that nobody ended
 * stayed for two minutes: a leader's were all taken, new ones refused, and 281 machines that could not report were deleted
 * as silent (a recorded day of adresy-pomorze).
 */
const makeRoom = (server: http.Server, maxConnections: number, awayMs: number): void => {
  /** Since when, in the order of that. */
  const idle = new Map<Socket, number>();
  let open = 0;
  const rests = (s: Socket): void => {
    idle.delete(s);
    if (!s.destroyed) idle.set(s, performance.now());
  };
  server.on('connection', (s) => {
    open++;
    s.once('close', () => {
      open--;
      idle.delete(s);
    });
    rests(s);
    if (open <= maxConnections * CROWDED) return;
    for (const [other, since] of idle) {
      if (other === s || performance.now() - since < awayMs) break;
      other.destroy();
    }
  });
  server.on('request', (req, res) => {
    idle.delete(req.socket);
    res.once('close', () => {
      rests(req.socket);
    });
  });
};

export const listen = (
  address: string,
  maxConnections: number,
  handle: Handler,
  awayMs = AWAY_MS,
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.async<http.Server, Error>((resume) => {
      const server = http.createServer((req, res) => {
        res.sendDate = false;
        collect(req, res, handle);
      });
      // Connections stay open until one side closes them: users poll every few seconds.
      server.keepAliveTimeout = 120_000;
      server.headersTimeout = 20_000;
      server.requestTimeout = 20_000;
      if (maxConnections > 0) {
        server.maxConnections = maxConnections;
        makeRoom(server, maxConnections, awayMs);
      }
      server.on('clientError', (_e, socket) => {
        if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
        else socket.destroy();
      });
      server.once('error', (e) => {
        resume(Effect.fail(e));
      });
      const cut = address.lastIndexOf(':');
      server.listen(Number(address.slice(cut + 1)), address.slice(0, cut), 1024, () => {
        resume(Effect.succeed(server));
      });
    }),
    (server) =>
      Effect.sync(() => {
        server.close();
      }),
  );
