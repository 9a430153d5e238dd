/** The wire form: paths, queries and bodies of requests; answers as the API's JSON. The one place with its names. */
import { type Json, type KubeAnswer, type KubeRequest, type Refusal, refuse, type Selector } from './api.js';
import { fieldOf } from './problems.js';
import { readText } from './text.js';

export const VERSION = { major: '1', minor: '30', gitVersion: 'v1.30.0-shaleyoke', platform: 'shaleyoke' };

const JOBS = {
  name: 'jobs',
  singularName: 'job',
  namespaced: true,
  kind: 'Job',
  verbs: ['create', 'delete', 'get', 'list', 'watch'],
  categories: ['all'],
};

/** What is there for anybody: discovery. Null for any other path. */
export const discovery = (path: string): Json | null => {
  const batch = { name: 'batch', versions: [{ groupVersion: 'batch/v1', version: 'v1' }] };
  const preferred = { groupVersion: 'batch/v1', version: 'v1' };
  switch (path) {
    case '/version':
      return VERSION;
    case '/api':
      return { kind: 'APIVersions', versions: [], serverAddressByClientCIDRs: [] };
    case '/apis':
      return {
        kind: 'APIGroupList',
        apiVersion: 'v1',
        groups: [{ ...batch, preferredVersion: preferred }],
      };
    case '/apis/batch':
      return { kind: 'APIGroup', apiVersion: 'v1', ...batch, preferredVersion: preferred };
    case '/apis/batch/v1':
      return { kind: 'APIResourceList', apiVersion: 'v1', groupVersion: 'batch/v1', resources: [JOBS] };
    default:
      return null;
  }
};

export interface Wire {
  readonly method: string;
  /** Path and query, as they came. */
  readonly url: string;
  readonly contentType: string;
  readonly body: string;
}

const bad = (message: string): Refusal => refuse(400, 'BadRequest', message);

/** Each query that is understood; another one would be ignored, and what is ignored is a promise not kept. */
const QUERIES: Readonly<Record<string, readonly string[]>> = {
  create: ['fieldManager', 'fieldValidation', 'pretty'],
  get: ['pretty'],
  list: [
    'labelSelector',
    'fieldSelector',
    'limit',
    'continue',
    'resourceVersion',
    'resourceVersionMatch',
    'pretty',
    'timeoutSeconds',
    'watch',
    'allowWatchBookmarks',
  ],
  delete: ['propagationPolicy', 'gracePeriodSeconds', 'pretty'],
};

/** `a=b,c==d`; null for what is not served: sets, negations, existence. */
const equalities = (text: string): Record<string, string> | null => {
  const out: Record<string, string> = {};
  for (const part of text.split(',').filter((p) => p.trim() !== '')) {
    const m = /^\s*([^=!\s]+)\s*==?\s*([^=!\s]*)\s*$/.exec(part);
    if (m === null) return null;
    out[m[1]!] = m[2]!;
  }
  return out;
};

const selectorOf = (q: URLSearchParams): Selector | Refusal => {
  const labels = equalities(q.get('labelSelector') ?? '');
  if (labels === null) return bad('labelSelector: only equalities are served, such as app=tiles,tier=night');
  const fields = equalities(q.get('fieldSelector') ?? '');
  const others = Object.keys(fields ?? {}).filter((k) => k !== 'metadata.name');
  if (fields === null || others.length > 0) return bad('fieldSelector: only metadata.name=NAME is served');
  return { labels, name: fields['metadata.name'] ?? null };
};

const whole = (text: string | null): number | null | Refusal => {
  if (text === null || text === '') return null;
  return /^[0-9]{1,15}$/.test(text) ? Number(text) : bad(`${JSON.stringify(text)} is no whole number`);
};

const isRefusal = (x: unknown): x is Refusal =>
  typeof x === 'object' && x !== null && 'kind' in x && x.kind === 'refusal';

/** Bytes that a deletion's options may have. */
const MOST_OPTIONS = 4_096;

const wrongType = (w: Wire): Refusal | null => {
  const type = w.contentType.split(';')[0]!.trim().toLowerCase();
  return ['', 'application/json', 'application/yaml'].includes(type)
    ? null
    : refuse(415, 'UnsupportedMediaType', `${type}: send application/json or application/yaml`);
};

const BASE = '/apis/batch/v1';
const PATH = /^\/apis\/batch\/v1\/(?:namespaces\/([^/]+)\/)?jobs(?:\/([^/]+))?$/;

const deletion = (w: Wire, q: URLSearchParams, namespace: string, name: string): KubeRequest | Refusal => {
  const wrong = wrongType(w);
  if (wrong !== null) return wrong;
  if (w.body.length > MOST_OPTIONS) return bad(`options of a deletion have ${MOST_OPTIONS} bytes at most`);
  const parsed = w.body === '' ? { value: {} } : readText(w.body);
  if ('problem' in parsed) return bad(`the body can't be read: ${parsed.problem}`);
  const options = (parsed.value ?? {}) as {
    propagationPolicy?: unknown;
    preconditions?: { uid?: unknown; resourceVersion?: unknown };
  };
  const policy = options.propagationPolicy ?? q.get('propagationPolicy') ?? 'Background';
  if (policy !== 'Background' && policy !== 'Foreground')
    return bad(
      // eslint-disable-next-line @typescript-eslint/no-base-to-string -- what a client sent in its place is shown as it is
      `propagationPolicy: Background or Foreground; ${String(policy)} would leave pods without a Job`,
    );
  const { uid, resourceVersion } = options.preconditions ?? {};
  const version = whole(typeof resourceVersion === 'string' ? resourceVersion : null);
  if (isRefusal(version)) return version;
  return { verb: 'delete', namespace, name, uid: typeof uid === 'string' ? uid : null, version };
};

const reading = (q: URLSearchParams, namespaces: readonly string[]): KubeRequest | Refusal => {
  const selector = selectorOf(q);
  if (isRefusal(selector)) return selector;
  const from = whole(q.get('resourceVersion'));
  const limit = whole(q.get('limit'));
  if (isRefusal(from)) return from;
  if (isRefusal(limit)) return limit;
  if (q.get('watch') === 'true' || q.get('watch') === '1') {
    const bookmarks = q.get('allowWatchBookmarks') === 'true' || q.get('allowWatchBookmarks') === '1';
    return { verb: 'watch', namespaces, selector, from: from === 0 ? null : from, bookmarks };
  }
  if (q.get('resourceVersionMatch') === 'Exact')
    return bad('resourceVersionMatch: Exact is not served; a list is as of now, or of its continue token');
  return {
    verb: 'list',
    namespaces,
    selector,
    limit: limit === 0 ? null : limit,
    token: q.get('continue') === '' ? null : q.get('continue'),
  };
};

/** What a request asks. `team` of a creation is settled by who may do what. */
export const requestOf = (w: Wire): KubeRequest | Refusal => {
  let url: URL;
  try {
    url = new URL(w.url, 'http://localhost');
  } catch {
    return bad('the path can not be read');
  }
  const m = PATH.exec(url.pathname);
  if (m === null) return refuse(404, 'NotFound', `${url.pathname} is not served; ${BASE} lists what is`);
  const [, namespace, name] = m;
  const q = url.searchParams;
  const verb =
    w.method === 'GET'
      ? name === undefined
        ? 'list'
        : 'get'
      : w.method === 'POST' && name === undefined && namespace !== undefined
        ? 'create'
        : w.method === 'DELETE' && name !== undefined && namespace !== undefined
          ? 'delete'
          : null;
  if (verb === null || (name !== undefined && namespace === undefined))
    return refuse(405, 'MethodNotAllowed', `${w.method} is not served for ${url.pathname}`);
  const unknown = [...q.keys()].find((k) => !QUERIES[verb]!.includes(k));
  if (unknown !== undefined) return bad(`${unknown}: is not served for ${verb}`);
  if (verb === 'list') return reading(q, namespace === undefined ? [] : [namespace]);
  if (verb === 'get') return { verb, namespace: namespace!, name: name! };
  if (verb === 'delete') return deletion(w, q, namespace!, name!);
  // The body is read once it is known who sends it: nobody else is worth the time.
  return wrongType(w) ?? { verb: 'create', namespace: namespace!, team: '', text: w.body };
};

/** The API's `Status`. */
export const statusOf = (r: Refusal): Json => ({
  kind: 'Status',
  apiVersion: 'v1',
  metadata: {},
  status: 'Failure',
  message: r.message,
  reason: r.reason,
  ...(r.causes.length === 0 && r.retryAfterS === null
    ? {}
    : {
        details: {
          group: 'batch',
          kind: 'Job',
          ...(r.retryAfterS === null ? {} : { retryAfterSeconds: r.retryAfterS }),
          causes: r.causes.map((c) => ({ reason: c.reason, message: c.message, field: fieldOf(c.path) })),
        },
      }),
  code: r.code,
});

/** An answer that is not one of a watch. */
export const responseOf = (a: KubeAnswer): { code: number; body: Json; retryAfterS: number | null } => {
  const ok = (code: number, body: Json): { code: number; body: Json; retryAfterS: null } => ({
    code,
    body,
    retryAfterS: null,
  });
  switch (a.kind) {
    case 'object':
      return ok(a.created ? 201 : 200, a.object);
    case 'deleted':
      return ok(200, a.object);
    case 'list':
      return ok(200, {
        kind: 'JobList',
        apiVersion: 'batch/v1',
        metadata: {
          resourceVersion: String(a.version),
          ...(a.token === null ? {} : { continue: a.token }),
        },
        items: a.items,
      });
    case 'refusal':
      return { code: a.code, body: statusOf(a), retryAfterS: a.retryAfterS };
    case 'event':
      return ok(200, {});
  }
};

/** A line of a watch. */
export const lineOf = (a: KubeAnswer): string =>
  JSON.stringify(
    a.kind === 'event'
      ? { type: a.type, object: a.object }
      : { type: 'ERROR', object: a.kind === 'refusal' ? statusOf(a) : {} },
  ) + '\n';
