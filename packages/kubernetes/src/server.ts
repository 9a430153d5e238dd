/**
 * HTTP server with limits on sockets, sizes and times, so that clients can't exhaust what native users and workers
 * need.
 */
import * as http from 'node:http';

import { ByteCollector } from '@shaleyoke/core/domain/byte-collector';

import type { KubeAnswer, Refusal } from './api.js';
import { refuse } from './api.js';
import type { KubeAsk } from './endpoint.js';
import type { KubeSettings } from './settings.js';
import { decodeRequest, discovery, encodeResponse, encodeWatchLine } from './wire.js';

const MAX_BODY_BYTES = 64 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
/** Unread bytes after which a slow watcher is disconnected. */
const MAX_UNREAD_BYTES = 1024 * 1024;
/** A request without an answer after this time gets 503 with Retry-After. */
const REQUEST_TIMEOUT_MS = 15_000;
/** Maximum duration of a watch; clients start the next one by themselves. */
const MAX_WATCH_MS = 30 * 60_000;

/** Sends a request to the node's endpoint and returns its id, by which a watch is ended. */
export type SendRequest = (body: KubeAsk, onAnswer: (answer: KubeAnswer, last: boolean) => void) => number;

const send = (res: http.ServerResponse, code: number, body: unknown, retryAfterS: number | null): void => {
  if (res.writableEnded || res.destroyed || res.headersSent) return;
  const text = JSON.stringify(body);
  res.writeHead(code, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    ...(retryAfterS === null ? {} : { 'Retry-After': String(retryAfterS) }),
  });
  res.end(text);
};
const answer = (res: http.ServerResponse, kubeAnswer: KubeAnswer): void => {
  const response = encodeResponse(kubeAnswer);
  send(res, response.code, response.body, response.retryAfterS);
};

const bearerToken = (req: http.IncomingMessage): string | null =>
  /^Bearer ([A-Za-z0-9._~+/=-]{1,512})$/.exec(req.headers.authorization ?? '')?.[1] ?? null;

/** Duration of a watch from the client's `timeoutSeconds`, up to the maximum. */
const watchDurationMs = (url: string): number => {
  const requestedSeconds = Number(new URL(url, 'http://localhost').searchParams.get('timeoutSeconds') ?? '0');
  return requestedSeconds > 0 ? Math.min(requestedSeconds * 1000, MAX_WATCH_MS) : MAX_WATCH_MS;
};

const watch = (
  res: http.ServerResponse,
  body: KubeAsk & { readonly request: { readonly verb: 'watch' } },
  durationMs: number,
  ask: SendRequest,
): void => {
  let started = false;
  let closed = false;
  const requestId = ask(body, (kubeAnswer, last) => {
    if (closed) return;
    if (kubeAnswer.kind === 'refusal' && !started && kubeAnswer.code !== 410) {
      closed = true;
      answer(res, kubeAnswer);
      return;
    }
    if (!started) {
      started = true;
      res.writeHead(200, { 'Content-Type': 'application/json', 'Cache-Control': 'no-cache' });
    }
    res.write(encodeWatchLine(kubeAnswer));
    if (last) {
      closed = true;
      res.end();
    } else if (res.writableLength > MAX_UNREAD_BYTES) res.destroy();
  });
  // Sends the headers of a watch without events, so that the client knows it is established.
  const headersTimer = setTimeout(() => {
    if (closed || started) return;
    started = true;
    res.writeHead(200, { 'Content-Type': 'application/json', 'Cache-Control': 'no-cache' });
    res.flushHeaders();
  }, 500);
  const durationTimer = setTimeout(() => {
    closed = true;
    if (started) res.end();
    else answer(res, refuse(503, 'ServiceUnavailable', 'not answered in time'));
  }, durationMs);
  res.once('close', () => {
    closed = true;
    clearTimeout(headersTimer);
    clearTimeout(durationTimer);
    ask({ credentials: body.credentials, request: { verb: 'unwatch', watch: requestId } }, () => undefined);
  });
};

const serve = (req: http.IncomingMessage, res: http.ServerResponse, body: string, ask: SendRequest): void => {
  const url = req.url ?? '/';
  const discovered = req.method === 'GET' ? discovery(url.split('?')[0]!) : null;
  if (discovered !== null) {
    send(res, 200, discovered, null);
    return;
  }
  const contentType = req.headers['content-type'] ?? '';
  const kubeRequest = decodeRequest({ method: req.method ?? 'GET', url, contentType, body });
  if ('kind' in kubeRequest) {
    answer(res, kubeRequest);
    return;
  }
  const credentials = { token: bearerToken(req), address: req.socket.remoteAddress ?? '' };
  if (kubeRequest.verb === 'watch') {
    watch(res, { credentials, request: kubeRequest }, watchDurationMs(url), ask);
    return;
  }
  const timer = setTimeout(() => {
    answer(res, refuse(503, 'ServiceUnavailable', 'not answered in time'));
  }, REQUEST_TIMEOUT_MS);
  ask({ credentials, request: kubeRequest }, (kubeAnswer) => {
    clearTimeout(timer);
    answer(res, kubeAnswer);
  });
};

const receive = (req: http.IncomingMessage, res: http.ServerResponse, ask: SendRequest): void => {
  const body = new ByteCollector(MAX_BODY_BYTES);
  let refused: Refusal | null = null;
  req.on('data', (chunk: Buffer) => {
    if (refused === null && !body.append(chunk)) {
      refused = refuse(413, 'RequestEntityTooLarge', `a body is ${MAX_BODY_BYTES} bytes at most`);
      // The rest is read and dropped until the request timeout: otherwise a client that is still sending would be
      // disconnected before it reads the refusal.
      res.shouldKeepAlive = false;
      answer(res, refused);
    }
  });
  req.on('end', () => {
    if (refused === null) serve(req, res, body.bytes.toString('utf8'), ask);
  });
  req.on('error', () => undefined);
};

/** Starts the server; resolves once it listens. `close` ends it and all connections. */
export const listen = (
  settings: KubeSettings,
  ask: SendRequest,
): Promise<{ port: number; close: () => void }> =>
  new Promise((resolve, reject) => {
    const server = http.createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (req, res) => {
      receive(req, res, ask);
    });
    server.maxConnections = settings.sockets;
    server.headersTimeout = 10_000;
    server.requestTimeout = 20_000;
    server.keepAliveTimeout = 120_000;
    server.on('clientError', (_e, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
      else socket.destroy();
    });
    server.once('error', reject);
    server.listen(settings.port, settings.host, () => {
      const boundAddress = server.address();
      resolve({
        port: typeof boundAddress === 'object' && boundAddress !== null ? boundAddress.port : settings.port,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
