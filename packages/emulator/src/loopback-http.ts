/** Plain HTTP on loopback, for stand-ins: a server and a call, each with nothing more than they need. */
import * as http from 'node:http';

import { MalformedMessageError } from '@shaleyoke/protocol/body';

import { type Answer, answer } from './wire.js';

export interface Asked {
  readonly method: string;
  readonly url: string;
  readonly body: Buffer;
}
export interface Served {
  readonly address: string;
  close(): void;
}

/** `address`: IP:PORT; port 0 takes any that is free. */
export const serve = (
  address: string,
  handle: (r: Asked, reply: (a: Answer) => void) => void,
): Promise<Served> =>
  new Promise((resolve, reject) => {
    const server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (c: Buffer) => chunks.push(c));
      req.on('error', () => undefined);
      req.on('end', () => {
        const reply = (a: Answer): void => {
          if (res.destroyed) return;
          res.writeHead(a.status, { 'Content-Type': 'application/msgpack', 'Content-Length': a.body.length });
          res.end(a.body);
        };
        try {
          handle({ method: req.method ?? 'GET', url: req.url ?? '/', body: Buffer.concat(chunks) }, reply);
        } catch (e) {
          if (!(e instanceof MalformedMessageError)) throw e;
          reply(answer(400, { error: e.message }));
        }
      });
    });
    const cut = address.lastIndexOf(':');
    server.once('error', reject);
    server.listen(Number(address.slice(cut + 1)), address.slice(0, cut), () => {
      const at = server.address();
      resolve({
        address: typeof at === 'object' && at !== null ? `${at.address}:${at.port}` : address,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });

/** Ports of loopback that were free a moment ago. */
export const freePorts = async (count: number): Promise<number[]> => {
  const held = await Promise.all(Array.from({ length: count }, () => serve('127.0.0.1:0', () => undefined)));
  for (const server of held) server.close();
  return held.map((server) => Number(server.address.slice(server.address.lastIndexOf(':') + 1)));
};

/** Whether a port of loopback is free. */
const isFree = async (port: number): Promise<boolean> => {
  try {
    const server = await serve(`127.0.0.1:${port}`, () => undefined);
    server.close();
    return true;
  } catch {
    return false;
  }
};

/**
 * Ports of loopback that are free, in order from `first`. Below those that the system gives out, so that nothing else takes
 * one while the process that listens there is being started again.
 */
export const freePortsFrom = async (first: number, count: number): Promise<number[]> => {
  const ports: number[] = [];
  for (let port = first; ports.length < count; port++) if (await isFree(port)) ports.push(port);
  return ports;
};

/** Null: no answer within the time. */
export const call = (
  address: string,
  method: string,
  path: string,
  body: Buffer | null,
  timeoutMs: number,
  /** Connections of the caller's own; null: those that the process shares. */
  agent: http.Agent | null = null,
): Promise<Answer | null> =>
  new Promise((resolve) => {
    const cut = address.lastIndexOf(':');
    const req = http.request(
      {
        host: address.slice(0, cut),
        port: Number(address.slice(cut + 1)),
        method,
        path,
        timeout: timeoutMs,
        ...(agent === null ? {} : { agent }),
        headers:
          body === null ? {} : { 'Content-Length': body.length, 'Content-Type': 'application/msgpack' },
      },
      (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (c: Buffer) => chunks.push(c));
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
