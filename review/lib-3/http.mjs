// HTTP with MessagePack bodies on loopback addresses: a server, and a client with a time limit.
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

import { decode, encode } from '@msgpack/msgpack';

/** Starts a server on a free port. `handle(request)` returns `[status, body]` or a promise of it; null: no answer. */
export const serve = (handle, port = 0) =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', async () => {
        const bytes = Buffer.concat(chunks);
        const url = new URL(request.url, 'http://x');
        let answer;
        try {
          const body = bytes.length === 0 ? {} : decode(bytes);
          answer = await handle({
            method: request.method,
            path: url.pathname,
            query: url.searchParams,
            body,
          });
        } catch (error) {
          answer = [400, { error: String(error) }];
        }
        if (answer === null || response.destroyed) return;
        const out = Buffer.from(encode(answer[1] ?? {}));
        response.writeHead(answer[0], {
          'Content-Type': 'application/msgpack',
          'Content-Length': out.length,
        });
        response.end(out);
      });
    });
    server.keepAliveTimeout = 120_000;
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });

/** Sends a request; null: no answer within the time limit, or the connection failed. */
export const call = (address, method, path, body, timeoutMs) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const bytes = body === null ? null : Buffer.from(encode(body));
    const headers =
      bytes === null ? {} : { 'Content-Type': 'application/msgpack', 'Content-Length': bytes.length };
    const request = http.request({ host, port, method, path, headers, agent: false }, (response) => {
      const chunks = [];
      response.on('error', () => finish(null));
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        const raw = Buffer.concat(chunks);
        let decoded = {};
        try {
          if (raw.length > 0) decoded = decode(raw);
        } catch {
          // The status alone counts.
        }
        finish({ status: response.statusCode, body: decoded });
      });
    });
    const timer = setTimeout(() => {
      finish(null);
      request.destroy();
    }, timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', () => finish(null));
    request.end(bytes ?? undefined);
  });

const FIRST_PORT = 20_000;
const PORT_RANGE = 10_000;
const PORTS_PER_RUN = 20;

/** Free ports below those that the system gives to connections, so that none is taken while a controller restarts. */
export const freePorts = async (count) => {
  const ports = [];
  for (let i = 0; ports.length < count && i < PORT_RANGE; i++) {
    const port = FIRST_PORT + ((process.pid * PORTS_PER_RUN + i) % PORT_RANGE);
    const server = await serve(() => null, port).catch(() => null);
    if (server === null) continue;
    server.close();
    ports.push(port);
  }
  return ports;
};

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
