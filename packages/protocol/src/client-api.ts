/** The users' interface: submissions in, views of jobs out. */
import type { ClientResponse, ClientRequest } from '@shaleyoke/core/domain/client-api';
import type { JobSpec, JobView, Priority, JobShape } from '@shaleyoke/core/domain/job';
import {
  amount,
  asFields,
  decodeBody,
  duration,
  encodeBody,
  flag,
  list,
  MalformedMessageError,
  oneOf,
  optionalText,
  text,
  type Fields,
} from './body.js';

export const SHAPES: ReadonlyMap<string, JobShape> = new Map([
  ['array', 'array'],
  ['group', 'gang'],
  ['service', 'service'],
]);
export const PRIORITIES: ReadonlyMap<string, Priority> = new Map([
  ['critical', 3],
  ['urgent', 2],
  ['normal', 1],
  ['best_effort', 0],
]);

const MAX_TASKS = 100_000;
const ID = /^run-[0-9]{1,32}$/;

export const validId = (id: string): boolean => ID.test(id);

const nonEmpty = (f: Fields, name: string): string => {
  const v = text(f, name);
  if (v === '' || v.length > 200) throw new MalformedMessageError(`${name}: empty or too long`);
  return v;
};

/** Jobs to be done before this one: named more than once, they count once. */
const decodeNeeds = (f: Fields, id: string): string[] => {
  const v = f['awaits'];
  if (v === null || v === undefined) return [];
  const needs = new Set<string>();
  for (const n of list(v, 'awaits')) {
    if (typeof n !== 'string' || !validId(n))
      throw new MalformedMessageError('awaits: not a list of job ids');
    if (n === id) throw new MalformedMessageError('awaits: names the job itself');
    needs.add(n);
  }
  return [...needs];
};

export const decodeSpec = (f: Fields): JobSpec => {
  const id = text(f, 'ref');
  if (!validId(id)) throw new MalformedMessageError('ref: not a job id');
  const tasks = f['parts'];
  if (typeof tasks !== 'number' || !Number.isInteger(tasks) || tasks < 1 || tasks > MAX_TASKS)
    throw new MalformedMessageError(`parts: not a count from 1 to ${MAX_TASKS}`);
  const cores = amount(f, 'cores');
  const models = f['models'];
  const types =
    models === null || models === undefined
      ? null
      : list(models, 'models').map((m) => {
          if (typeof m !== 'string') throw new MalformedMessageError('models: not a list of texts');
          return m;
        });
  return {
    id,
    class: nonEmpty(f, 'bundle'),
    team: nonEmpty(f, 'owner'),
    shape: oneOf(SHAPES, f, 'shape'),
    priority: oneOf(PRIORITIES, f, 'urgency'),
    tasks,
    cores,
    gpus: amount(f, 'gpus'),
    memoryGb: amount(f, 'memory_gb'),
    image: nonEmpty(f, 'build'),
    imageGb: amount(f, 'image_gb'),
    machineTypes: types,
    zone: optionalText(f, 'hall'),
    sameZone: flag(f, 'same_place'),
    spreadAcrossZones: flag(f, 'scatter'),
    spot: flag(f, 'loaners'),
    estimatedRunUs: duration(f, 'expect_s'),
    checkpointIntervalUs: duration(f, 'snapshot_s'),
    checkpointDurationUs: duration(f, 'flush_s'),
    deadlineUs: f['due_s'] === null || f['due_s'] === undefined ? null : duration(f, 'due_s'),
    dependsOn: decodeNeeds(f, id),
  };
};

export const decodeSubmission = (bytes: Uint8Array): ClientRequest => {
  let id: string | null = null;
  try {
    const f = asFields(decodeBody(bytes), 'submission');
    const ref = f['ref'];
    if (typeof ref === 'string' && validId(ref)) id = ref;
    return { kind: 'submit', id, spec: decodeSpec(f), problem: null };
  } catch (e) {
    if (!(e instanceof MalformedMessageError)) throw e;
    return { kind: 'submit', id, spec: null, problem: e.message };
  }
};

/** Which request a method and path name; a status where there is none. */
export type Route =
  | { readonly kind: 'submit' | 'report' | 'health' }
  | { readonly kind: 'poll' | 'cancel'; readonly id: string }
  | { readonly kind: 'refused'; readonly status: 404 | 405 };

const only = (allowed: string, method: string, route: Route): Route =>
  method === allowed ? route : { kind: 'refused', status: 405 };

export const route = (method: string, url: string): Route => {
  const path = url.split('?', 1)[0]!;
  if (path === '/api/jobs') return only('POST', method, { kind: 'submit' });
  if (path === '/v1/report') return only('POST', method, { kind: 'report' });
  if (path === '/healthz') return only('GET', method, { kind: 'health' });
  const m = /^\/api\/jobs\/([^/]+)(\/abort)?$/.exec(path);
  if (m !== null) {
    return m[2] === undefined
      ? only('GET', method, { kind: 'poll', id: m[1]! })
      : only('POST', method, { kind: 'cancel', id: m[1]! });
  }
  return { kind: 'refused', status: 404 };
};

const STAGES = { queued: 'queued', running: 'running', done: 'done', cancelled: 'withdrawn' } as const;

const view = (v: JobView): unknown => ({
  ref: v.id,
  stage: STAGES[v.stage],
  done: v.done,
  running: v.running,
});

export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
  readonly retryAfterS?: number;
}

const problem = (status: number, error: string, retryAfterS?: number): HttpAnswer => ({
  status,
  body: encodeBody({ error }),
  ...(retryAfterS === undefined ? {} : { retryAfterS }),
});

export const encodeClientResponse = (a: ClientResponse): HttpAnswer => {
  switch (a.kind) {
    case 'view':
      return { status: a.created ? 201 : 200, body: encodeBody(view(a.view)) };
    case 'malformed':
      return problem(400, a.problem);
    case 'impossible':
      return problem(422, a.problem);
    case 'absent':
      return problem(404, 'no such job');
    case 'unavailable':
      return problem(503, a.problem, a.retryAfterS);
    case 'healthy':
      return { status: 200, body: encodeBody({}) };
  }
};
