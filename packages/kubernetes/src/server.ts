/** The listener: sockets, sizes and times within bounds, so that no client takes from native users and workers. */
import * as http from 'node:http';

import type { KubeAnswer, Refusal } from './api.js';
import { refuse } from './api.js';
import type { KubeAsk } from './front.js';
import type { KubeSettings } from './settings.js';
import { discovery, lineOf, requestOf, responseOf } from './wire.js';

const MOST_BODY = 64 * 1024;
const MOST_HEADERS = 16 * 1024;
/** What a slow watcher may leave unread before it has to begin anew. */
const MOST_UNREAD = 1024 * 1024;
/** Without an answer for so long: the client is told to try again. */
const LONGEST_MS = 15_000;
/** A watch ends after so long at the latest; clients begin the next one by themselves. */
const LONGEST_WATCH_MS = 30 * 60_000;

/** Puts a question to the core; returns the question's number. */
export type Ask = (body: KubeAsk, told: (answer: KubeAnswer, last: boolean) => void) => number;

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
const answer = (res: http.ServerResponse, a: KubeAnswer): void => {
  const r = responseOf(a);
  send(res, r.code, r.body, r.retryAfterS);
};

const tokenOf = (req: http.IncomingMessage): string | null =>
  /^Bearer ([A-Za-z0-9._~+/=-]{1,512})$/.exec(req.headers.authorization ?? '')?.[1] ?? null;

/** A watch's seconds as its client wants it, within the bound. */
const watchMs = (url: string): number => {
  const asked = Number(new URL(url, 'http://localhost').searchParams.get('timeoutSeconds') ?? '0');
  return asked > 0 ? Math.min(asked * 1000, LONGEST_WATCH_MS) : LONGEST_WATCH_MS;
};

const watch = (
  res: http.ServerResponse,
  body: KubeAsk & { readonly ask: { readonly verb: 'watch' } },
  ms: number,
  ask: Ask,
): void => {
  let begun = false;
  let over = false;
  const number = ask(body, (a, last) => {
    if (over) return;
    if (a.kind === 'refusal' && !begun && a.code !== 410) {
      over = true;
      answer(res, a);
      return;
    }
    if (!begun) {
      begun = true;
      res.writeHead(200, { 'Content-Type': 'application/json', 'Cache-Control': 'no-cache' });
    }
    res.write(lineOf(a));
    if (last) {
      over = true;
      res.end();
    } else if (res.writableLength > MOST_UNREAD) res.destroy();
  });
  // A watch that has nothing to tell yet is there all the same.
  const head = setTimeout(() => {
    if (over || begun) return;
    begun = true;
    res.writeHead(200, { 'Content-Type': 'application/json', 'Cache-Control': 'no-cache' });
    res.flushHeaders();
  }, 500);
  const end = setTimeout(() => {
    over = true;
    if (begun) res.end();
    else answer(res, refuse(503, 'ServiceUnavailable', 'not answered in time'));
  }, ms);
  res.once('close', () => {
    over = true;
    clearTimeout(head);
    clearTimeout(end);
    ask({ who: body.who, ask: { verb: 'unwatch', watch: number } }, () => undefined);
  });
};

const serve = (req: http.IncomingMessage, res: http.ServerResponse, body: string, ask: Ask): void => {
  const url = req.url ?? '/';
  const public_ = req.method === 'GET' ? discovery(url.split('?')[0]!) : null;
  if (public_ !== null) {
    send(res, 200, public_, null);
    return;
  }
  const contentType = req.headers['content-type'] ?? '';
  const r = requestOf({ method: req.method ?? 'GET', url, contentType, body });
  if ('kind' in r) {
    answer(res, r);
    return;
  }
  const who = { token: tokenOf(req), address: req.socket.remoteAddress ?? '' };
  if (r.verb === 'watch') {
    watch(res, { who, ask: r }, watchMs(url), ask);
    return;
  }
  const late = setTimeout(() => {
    answer(res, refuse(503, 'ServiceUnavailable', 'not answered in time'));
  }, LONGEST_MS);
  ask({ who, ask: r }, (a) => {
    clearTimeout(late);
    answer(res, a);
  });
};

const collect = (req: http.IncomingMessage, res: http.ServerResponse, ask: Ask): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  let refused: Refusal | null = null;
  req.on('data', (c: Buffer) => {
    size += c.length;
    if (size <= MOST_BODY) chunks.push(c);
    else if (refused === null) {
      refused = refuse(413, 'RequestEntityTooLarge', `a body is ${MOST_BODY} bytes at most`);
      // The rest is read and dropped, within the time that a request has: a client that is still sending would
      // else be cut off before it sees why.
      res.shouldKeepAlive = false;
      answer(res, refused);
    }
  });
  req.on('end', () => {
    if (refused === null) serve(req, res, Buffer.concat(chunks).toString('utf8'), ask);
  });
  req.on('error', () => undefined);
};

/** Listens until the returned function is called. */
export const listen = (settings: KubeSettings, ask: Ask): Promise<{ port: number; close: () => void }> =>
  new Promise((resolve, reject) => {
    const server = http.createServer({ maxHeaderSize: MOST_HEADERS }, (req, res) => {
      collect(req, res, ask);
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
      const at = server.address();
      resolve({
        port: typeof at === 'object' && at !== null ? at.port : settings.port,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
