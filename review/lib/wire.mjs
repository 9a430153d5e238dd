/** HTTP with MessagePack bodies on loopback addresses, for the stand-ins. */
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import * as net from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

import { decode, encode } from '@msgpack/msgpack';

export const pack = (value) => {
  const bytes = encode(value, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};
export const unpack = (bytes) => (bytes.length === 0 ? {} : decode(bytes));

/** Starts a server on a free loopback port. `handle(request, reply)`; `reply(status, value)`. */
export const serve = (handle) =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => undefined);
      request.on('end', () => {
        const reply = (status, value = {}) => {
          if (response.destroyed) return;
          const body = pack(value);
          response.writeHead(status, {
            'Content-Type': 'application/msgpack',
            'Content-Length': body.length,
          });
          response.end(body);
        };
        const url = new URL(request.url, 'http://stand-in');
        handle(
          {
            method: request.method,
            path: url.pathname,
            query: url.searchParams,
            body: Buffer.concat(chunks),
          },
          reply,
        );
      });
    });
    server.keepAliveTimeout = 120_000;
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });

const isFree = (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Free loopback ports, below those that the system gives out by itself, so that they stay free while a controller is down. */
export const freePorts = async (count) => {
  const ports = [];
  for (let port = 11_000 + Math.floor(Math.random() * 19_000); ports.length < count; port++)
    if (await isFree(port)) ports.push(port);
  return ports;
};

/** Sends one request. Resolves to `{ status, body, headers }`, or null without an answer in time. */
export const call = (address, method, path, body, timeoutMs, agent = undefined, headers = {}) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    let timer = null;
    const settle = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          ...(body === null ? {} : { 'Content-Type': 'application/msgpack', 'Content-Length': body.length }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => settle(null));
        response.on('aborted', () => settle(null));
        response.on('end', () =>
          settle({ status: response.statusCode, body: Buffer.concat(chunks), headers: response.headers }),
        );
      },
    );
    timer = setTimeout(() => {
      request.destroy();
      settle(null);
    }, timeoutMs);
    request.on('error', () => settle(null));
    if (body === null) request.end();
    else request.end(body);
  });
