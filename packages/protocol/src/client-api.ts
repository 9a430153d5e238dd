/** The HTTP API for users: routes requests, decodes job submissions and encodes responses. */
import type { ClientRequest, ClientResponse } from '@shaleyoke/core/domain/client-api';
import {
  isTaskCount,
  type JobShape,
  type JobSpec,
  type JobView,
  MAX_TASKS_PER_JOB,
  type Priority,
} from '@shaleyoke/core/domain/job';

import {
  decodeBody,
  encodeBody,
  type Fields,
  MalformedMessageError,
  readAmount,
  readArray,
  readBoolean,
  readDuration,
  readEnum,
  readMap,
  readOptionalString,
  readString,
} from './body.js';

/** Job shapes by their names on the wire. */
export const SHAPES: ReadonlyMap<string, JobShape> = new Map([
  ['array', 'array'],
  ['group', 'gang'],
  ['service', 'service'],
]);
/** Priorities by their names on the wire. */
export const PRIORITIES: ReadonlyMap<string, Priority> = new Map([
  ['critical', 3],
  ['urgent', 2],
  ['normal', 1],
  ['best_effort', 0],
]);

/** Maximum length of the name of a class, team or image. */
const MAX_NAME_LENGTH = 200;
const JOB_ID = /^run-[0-9]{1,32}$/;

const isJobId = (id: string): boolean => JOB_ID.test(id);

const readName = (fields: Fields, name: string): string => {
  const value = readString(fields, name);
  if (value === '' || value.length > MAX_NAME_LENGTH)
    throw new MalformedMessageError(`${name}: empty or too long`);
  return value;
};

/** Reads the ids of the jobs that must complete before this one; duplicates are dropped. */
const decodeDependencies = (fields: Fields, id: string): string[] => {
  const value = fields['awaits'];
  if (value === null || value === undefined) return [];
  const dependencies = new Set<string>();
  for (const dependency of readArray(value, 'awaits')) {
    if (typeof dependency !== 'string' || !isJobId(dependency))
      throw new MalformedMessageError('awaits: not a list of job ids');
    if (dependency === id) throw new MalformedMessageError('awaits: names the job itself');
    dependencies.add(dependency);
  }
  return [...dependencies];
};

/** Decodes and validates the specification of a job. Throws `MalformedMessageError`. */
export const decodeSpec = (fields: Fields): JobSpec => {
  const id = readString(fields, 'ref');
  if (!isJobId(id)) throw new MalformedMessageError('ref: not a job id');
  const tasks = fields['parts'];
  if (!isTaskCount(tasks))
    throw new MalformedMessageError(`parts: not a count from 1 to ${MAX_TASKS_PER_JOB}`);
  const cores = readAmount(fields, 'cores');
  const models = fields['models'];
  const machineTypes =
    models === null || models === undefined
      ? null
      : readArray(models, 'models').map((model) => {
          if (typeof model !== 'string') throw new MalformedMessageError('models: not a list of texts');
          return model;
        });
  return {
    id,
    class: readName(fields, 'bundle'),
    team: readName(fields, 'owner'),
    shape: readEnum(SHAPES, fields, 'shape'),
    priority: readEnum(PRIORITIES, fields, 'urgency'),
    tasks,
    cores,
    gpus: readAmount(fields, 'gpus'),
    memoryGb: readAmount(fields, 'memory_gb'),
    image: readName(fields, 'build'),
    imageGb: readAmount(fields, 'image_gb'),
    machineTypes,
    zone: readOptionalString(fields, 'hall'),
    sameZone: readBoolean(fields, 'same_place'),
    spreadAcrossZones: readBoolean(fields, 'scatter'),
    spot: readBoolean(fields, 'loaners'),
    estimatedRunUs: readDuration(fields, 'expect_s'),
    checkpointIntervalUs: readDuration(fields, 'snapshot_s'),
    checkpointDurationUs: readDuration(fields, 'flush_s'),
    deadlineUs:
      fields['due_s'] === null || fields['due_s'] === undefined ? null : readDuration(fields, 'due_s'),
    dependsOn: decodeDependencies(fields, id),
  };
};

/** Decodes a job submission. For a malformed one the request states the problem, and the job's id if that is valid. */
export const decodeSubmission = (bytes: Uint8Array): ClientRequest => {
  let id: string | null = null;
  try {
    const fields = readMap(decodeBody(bytes), 'submission');
    const ref = fields['ref'];
    if (typeof ref === 'string' && isJobId(ref)) id = ref;
    return { kind: 'submit', id, spec: decodeSpec(fields), problem: null };
  } catch (error) {
    if (!(error instanceof MalformedMessageError)) throw error;
    return { kind: 'submit', id, spec: null, problem: error.message };
  }
};

/** The operation that a method and a path select, or the status with which the request is refused. */
export type Route =
  | { readonly kind: 'submit' | 'report' | 'health' }
  | { readonly kind: 'poll' | 'cancel'; readonly id: string }
  | { readonly kind: 'refused'; readonly status: 404 | 405 };

const allowOnly = (allowed: string, method: string, route: Route): Route =>
  method === allowed ? route : { kind: 'refused', status: 405 };

/** Selects the operation for a method and a URL; the query of the URL is ignored. */
export const routeRequest = (method: string, url: string): Route => {
  const path = url.split('?', 1)[0]!;
  if (path === '/api/jobs') return allowOnly('POST', method, { kind: 'submit' });
  if (path === '/v1/report') return allowOnly('POST', method, { kind: 'report' });
  if (path === '/healthz') return allowOnly('GET', method, { kind: 'health' });
  const match = /^\/api\/jobs\/([^/]+)(\/abort)?$/.exec(path);
  if (match !== null) {
    return match[2] === undefined
      ? allowOnly('GET', method, { kind: 'poll', id: match[1]! })
      : allowOnly('POST', method, { kind: 'cancel', id: match[1]! });
  }
  return { kind: 'refused', status: 404 };
};

/** Stages of jobs, with their names on the wire. */
const STAGES = { queued: 'queued', running: 'running', done: 'done', cancelled: 'withdrawn' } as const;

const encodeView = (view: JobView): unknown => ({
  ref: view.id,
  stage: STAGES[view.stage],
  done: view.done,
  running: view.running,
});

/** An HTTP response with an encoded body. `retryAfterS` becomes the Retry-After header. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
  readonly retryAfterS?: number;
}

const encodeProblem = (status: number, error: string, retryAfterS?: number): HttpResponse => ({
  status,
  body: encodeBody({ error }),
  ...(retryAfterS === undefined ? {} : { retryAfterS }),
});

/** Encodes the response to a user's request. */
export const encodeClientResponse = (response: ClientResponse): HttpResponse => {
  switch (response.kind) {
    case 'view':
      return { status: response.created ? 201 : 200, body: encodeBody(encodeView(response.view)) };
    case 'malformed':
      return encodeProblem(400, response.problem);
    case 'impossible':
      return encodeProblem(422, response.problem);
    case 'absent':
      return encodeProblem(404, 'no such job');
    case 'unavailable':
      return encodeProblem(503, response.problem, response.retryAfterS);
    case 'healthy':
      return { status: 200, body: encodeBody({}) };
  }
};
