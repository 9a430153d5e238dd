/** HTTP form of the Kubernetes API: decodes paths, queries and bodies, and encodes answers as JSON. */
import { type Json, type KubeAnswer, type KubeRequest, type Refusal, refuse, type Selector } from './api.js';
import { formatPath } from './problems.js';
import { parseText } from './text.js';

/** Answer of `/version`. */
export const VERSION = { major: '1', minor: '30', gitVersion: 'v1.30.0-shaleyoke', platform: 'shaleyoke' };

const JOBS = {
  name: 'jobs',
  singularName: 'job',
  namespaced: true,
  kind: 'Job',
  verbs: ['create', 'delete', 'get', 'list', 'watch'],
  categories: ['all'],
};

/** Discovery documents, which need no authentication; null for any other path. */
export const discovery = (path: string): Json | null => {
  const batchGroup = { name: 'batch', versions: [{ groupVersion: 'batch/v1', version: 'v1' }] };
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
        groups: [{ ...batchGroup, preferredVersion: preferred }],
      };
    case '/apis/batch':
      return { kind: 'APIGroup', apiVersion: 'v1', ...batchGroup, preferredVersion: preferred };
    case '/apis/batch/v1':
      return { kind: 'APIResourceList', apiVersion: 'v1', groupVersion: 'batch/v1', resources: [JOBS] };
    default:
      return null;
  }
};

/** An HTTP request with its whole body. */
export interface HttpRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly url: string;
  readonly contentType: string;
  readonly body: string;
}

const badRequest = (message: string): Refusal => refuse(400, 'BadRequest', message);

/** Supported query parameters by verb. Any other is refused: ignoring it would hide that it has no effect. */
const QUERY_PARAMETERS: Readonly<Record<string, readonly string[]>> = {
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

/** Parses `a=b,c==d`; null for unsupported forms: sets, negations and existence. */
const parseEqualities = (text: string): Record<string, string> | null => {
  const values: Record<string, string> = {};
  for (const term of text.split(',').filter((p) => p.trim() !== '')) {
    const match = /^\s*([^=!\s]+)\s*==?\s*([^=!\s]*)\s*$/.exec(term);
    if (match === null) return null;
    values[match[1]!] = match[2]!;
  }
  return values;
};

const parseSelector = (query: URLSearchParams): Selector | Refusal => {
  const labels = parseEqualities(query.get('labelSelector') ?? '');
  if (labels === null)
    return badRequest('labelSelector: only equalities are served, such as app=tiles,tier=night');
  const fields = parseEqualities(query.get('fieldSelector') ?? '');
  const unsupported = Object.keys(fields ?? {}).filter((k) => k !== 'metadata.name');
  if (fields === null || unsupported.length > 0)
    return badRequest('fieldSelector: only metadata.name=NAME is served');
  return { labels, name: fields['metadata.name'] ?? null };
};

const parseWholeNumber = (text: string | null): number | null | Refusal => {
  if (text === null || text === '') return null;
  return /^[0-9]{1,15}$/.test(text) ? Number(text) : badRequest(`${JSON.stringify(text)} is no whole number`);
};

const isRefusal = (x: unknown): x is Refusal =>
  typeof x === 'object' && x !== null && 'kind' in x && x.kind === 'refusal';

/** Maximum size of a deletion's options. */
const MAX_DELETE_OPTIONS_BYTES = 4_096;

const contentTypeProblem = (request: HttpRequest): Refusal | null => {
  const type = request.contentType.split(';')[0]!.trim().toLowerCase();
  return ['', 'application/json', 'application/yaml'].includes(type)
    ? null
    : refuse(415, 'UnsupportedMediaType', `${type}: send application/json or application/yaml`);
};

const BASE_PATH = '/apis/batch/v1';
const JOBS_PATH = /^\/apis\/batch\/v1\/(?:namespaces\/([^/]+)\/)?jobs(?:\/([^/]+))?$/;

const parseDeletion = (
  request: HttpRequest,
  query: URLSearchParams,
  namespace: string,
  name: string,
): KubeRequest | Refusal => {
  const typeProblem = contentTypeProblem(request);
  if (typeProblem !== null) return typeProblem;
  if (request.body.length > MAX_DELETE_OPTIONS_BYTES)
    return badRequest(`options of a deletion have ${MAX_DELETE_OPTIONS_BYTES} bytes at most`);
  const parsed = request.body === '' ? { value: {} } : parseText(request.body);
  if ('problem' in parsed) return badRequest(`the body can't be read: ${parsed.problem}`);
  const options = (parsed.value ?? {}) as {
    propagationPolicy?: unknown;
    preconditions?: { uid?: unknown; resourceVersion?: unknown };
  };
  const policy = options.propagationPolicy ?? query.get('propagationPolicy') ?? 'Background';
  if (policy !== 'Background' && policy !== 'Foreground')
    return badRequest(
      // eslint-disable-next-line @typescript-eslint/no-base-to-string -- what a client sent in its place is shown as it is
      `propagationPolicy: Background or Foreground; ${String(policy)} would leave pods without a Job`,
    );
  const { uid, resourceVersion } = options.preconditions ?? {};
  const version = parseWholeNumber(typeof resourceVersion === 'string' ? resourceVersion : null);
  if (isRefusal(version)) return version;
  return { verb: 'delete', namespace, name, uid: typeof uid === 'string' ? uid : null, version };
};

const parseListOrWatch = (query: URLSearchParams, namespaces: readonly string[]): KubeRequest | Refusal => {
  const selector = parseSelector(query);
  if (isRefusal(selector)) return selector;
  const from = parseWholeNumber(query.get('resourceVersion'));
  const limit = parseWholeNumber(query.get('limit'));
  if (isRefusal(from)) return from;
  if (isRefusal(limit)) return limit;
  if (query.get('watch') === 'true' || query.get('watch') === '1') {
    const bookmarks = query.get('allowWatchBookmarks') === 'true' || query.get('allowWatchBookmarks') === '1';
    return { verb: 'watch', namespaces, selector, from: from === 0 ? null : from, bookmarks };
  }
  if (query.get('resourceVersionMatch') === 'Exact')
    return badRequest(
      'resourceVersionMatch: Exact is not served; a list is as of now, or of its continue token',
    );
  return {
    verb: 'list',
    namespaces,
    selector,
    limit: limit === 0 ? null : limit,
    token: query.get('continue') === '' ? null : query.get('continue'),
  };
};

/** Decodes a request. Authorization sets the `team` of a creation. */
export const decodeRequest = (request: HttpRequest): KubeRequest | Refusal => {
  let url: URL;
  try {
    url = new URL(request.url, 'http://localhost');
  } catch {
    return badRequest('the path can not be read');
  }
  const match = JOBS_PATH.exec(url.pathname);
  if (match === null)
    return refuse(404, 'NotFound', `${url.pathname} is not served; ${BASE_PATH} lists what is`);
  const [, namespace, name] = match;
  const query = url.searchParams;
  const verb =
    request.method === 'GET'
      ? name === undefined
        ? 'list'
        : 'get'
      : request.method === 'POST' && name === undefined && namespace !== undefined
        ? 'create'
        : request.method === 'DELETE' && name !== undefined && namespace !== undefined
          ? 'delete'
          : null;
  if (verb === null || (name !== undefined && namespace === undefined))
    return refuse(405, 'MethodNotAllowed', `${request.method} is not served for ${url.pathname}`);
  const unsupported = [...query.keys()].find((k) => !QUERY_PARAMETERS[verb]!.includes(k));
  if (unsupported !== undefined) return badRequest(`${unsupported}: is not served for ${verb}`);
  if (verb === 'list') return parseListOrWatch(query, namespace === undefined ? [] : [namespace]);
  if (verb === 'get') return { verb, namespace: namespace!, name: name! };
  if (verb === 'delete') return parseDeletion(request, query, namespace!, name!);
  // The body is parsed after authentication, so that unknown clients cost no time.
  return (
    contentTypeProblem(request) ?? { verb: 'create', namespace: namespace!, team: '', text: request.body }
  );
};

/** A refusal as the API's `Status`. */
export const statusOf = (refusal: Refusal): Json => ({
  kind: 'Status',
  apiVersion: 'v1',
  metadata: {},
  status: 'Failure',
  message: refusal.message,
  reason: refusal.reason,
  ...(refusal.causes.length === 0 && refusal.retryAfterS === null
    ? {}
    : {
        details: {
          group: 'batch',
          kind: 'Job',
          ...(refusal.retryAfterS === null ? {} : { retryAfterSeconds: refusal.retryAfterS }),
          causes: refusal.causes.map((c) => ({
            reason: c.reason,
            message: c.message,
            field: formatPath(c.path),
          })),
        },
      }),
  code: refusal.code,
});

/** HTTP response of an answer outside a watch. */
export const encodeResponse = (
  answer: KubeAnswer,
): { code: number; body: Json; retryAfterS: number | null } => {
  const ok = (code: number, body: Json): { code: number; body: Json; retryAfterS: null } => ({
    code,
    body,
    retryAfterS: null,
  });
  switch (answer.kind) {
    case 'object':
      return ok(answer.created ? 201 : 200, answer.object);
    case 'deleted':
      return ok(200, answer.object);
    case 'list':
      return ok(200, {
        kind: 'JobList',
        apiVersion: 'batch/v1',
        metadata: {
          resourceVersion: String(answer.version),
          ...(answer.token === null ? {} : { continue: answer.token }),
        },
        items: answer.items,
      });
    case 'refusal':
      return { code: answer.code, body: statusOf(answer), retryAfterS: answer.retryAfterS };
    case 'event':
      return ok(200, {});
  }
};

/** An answer as a line of a watch's response body. */
export const encodeWatchLine = (answer: KubeAnswer): string =>
  JSON.stringify(
    answer.kind === 'event'
      ? { type: answer.type, object: answer.object }
      : { type: 'ERROR', object: answer.kind === 'refusal' ? statusOf(answer) : {} },
  ) + '\n';
