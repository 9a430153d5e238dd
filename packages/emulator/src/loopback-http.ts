/** A minimal HTTP server and client on loopback, for emulated services and their clients. */
import * as http from 'node:http';

import { MalformedMessageError } from '@shaleyoke/protocol/body';

import { encodeAnswer, type WireResponse } from './wire.js';

/** A request as received by a server. */
export interface HttpRequest {
  /** HTTP method, in capitals. */
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  /** Empty if there is none. */
  readonly body: Buffer;
}
/** A running server. */
export interface HttpServer {
  /** IP:PORT. */
  readonly address: string;
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Starts a server. `address`: IP:PORT; port 0 picks any free port. Malformed messages are answered with 400. */
export const startServer = (
  address: string,
  handle: (request: HttpRequest, respond: (answer: WireResponse) => void) => void,
): Promise<HttpServer> =>
  new Promise((resolve, reject) => {
    const server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('error', () => undefined);
      req.on('end', () => {
        const respond = (answer: WireResponse): void => {
          if (res.destroyed) return;
          res.writeHead(answer.status, {
            'Content-Type': 'application/msgpack',
            'Content-Length': answer.body.length,
          });
          res.end(answer.body);
        };
        try {
          handle({ method: req.method ?? 'GET', url: req.url ?? '/', body: Buffer.concat(chunks) }, respond);
        } catch (error) {
          if (!(error instanceof MalformedMessageError)) throw error;
          respond(encodeAnswer(400, { error: error.message }));
        }
      });
    });
    const colon = address.lastIndexOf(':');
    server.once('error', reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => {
      const bound = server.address();
      resolve({
        address: typeof bound === 'object' && bound !== null ? `${bound.address}:${bound.port}` : address,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });

/** Finds free ports on loopback; another process may take them before they are used. */
export const freePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(
    Array.from({ length: count }, () => startServer('127.0.0.1:0', () => undefined)),
  );
  for (const server of servers) server.close();
  return servers.map((server) => Number(server.address.slice(server.address.lastIndexOf(':') + 1)));
};

/** Whether a port on loopback is free. */
const isFree = async (port: number): Promise<boolean> => {
  try {
    const server = await startServer(`127.0.0.1:${port}`, () => undefined);
    server.close();
    return true;
  } catch {
    return false;
  }
};

/**
 * The first free ports on loopback from `first` on. Choose `first` below the system's ephemeral ports, so that no other
 * process is given a port while the process that listens there restarts.
 */
export const freePortsFrom = async (first: number, count: number): Promise<number[]> => {
  const ports: number[] = [];
  for (let port = first; ports.length < count; port++) if (await isFree(port)) ports.push(port);
  return ports;
};

/** Sends a request; null: the connection failed or there was no answer before the timeout. */
export const httpCall = (
  address: string,
  method: string,
  path: string,
  body: Buffer | null,
  timeoutMs: number,
  /** The caller's connection pool; null: the pool of the process. */
  agent: http.Agent | null = null,
): Promise<WireResponse | null> =>
  new Promise((resolve) => {
    const colon = address.lastIndexOf(':');
    const req = http.request(
      {
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        method,
        path,
        timeout: timeoutMs,
        ...(agent === null ? {} : { agent }),
        headers:
          body === null ? {} : { 'Content-Length': body.length, 'Content-Type': 'application/msgpack' },
      },
      (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', () => {
          resolve(null);
        });
        res.on('end', () => {
          resolve({ status: res.statusCode ?? 0, body: Buffer.concat(chunks) });
        });
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      resolve(null);
    });
    req.end(body ?? undefined);
  });
