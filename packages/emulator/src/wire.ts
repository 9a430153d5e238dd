/** The other end of the protocol: codecs of the state service, the cloud, workers and users. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { Heartbeat, HeartbeatResponse, WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { ListedMachine, MachineType } from '@shaleyoke/core/domain/machine';
import {
  decodeBody,
  encodeBody,
  type Fields,
  MalformedMessageError,
  microsToSeconds,
  readAmount,
  readArray,
  readBoolean,
  readInteger,
  readMap,
  readString,
  secondsToMicros,
} from '@shaleyoke/protocol/body';
import { PRIORITIES, SHAPES } from '@shaleyoke/protocol/client-api';
import { EXIT_CAUSES, parseTaskName, TASK_STATES, taskName } from '@shaleyoke/protocol/workers';

/** The name of a value on the wire, from the protocol's table of names. */
const nameIn = <T>(table: ReadonlyMap<string, T>, value: T): string =>
  [...table].find(([, candidate]) => candidate === value)![0];

/** An HTTP response. */
export interface WireResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Encoded as MessagePack. */
  readonly body: Buffer;
}
/** Encodes a response body. */
export const encodeAnswer = (status: number, value: unknown = {}): WireResponse => ({
  status,
  body: encodeBody(value),
});

const parseUrl = (url: string): { path: string; parameters: URLSearchParams } => {
  const parsed = new URL(url, 'http://x');
  return { path: decodeURIComponent(parsed.pathname), parameters: parsed.searchParams };
};

/** Decodes a request to the state service. */
export const decodeStoreOperation = (method: string, url: string, body: Buffer): StoreOperation => {
  const { path, parameters } = parseUrl(url);
  const bodyFields = (): Fields => readMap(decodeBody(body), 'request');
  if (method === 'GET' && path.startsWith('/kv/')) return { kind: 'get', key: path.slice(4) };
  if (method === 'GET' && path === '/kv') {
    const after = parameters.get('since');
    return {
      kind: 'list',
      prefix: parameters.get('under') ?? '',
      limit: Math.min(1000, Number(parameters.get('page') ?? 1000)),
      ...(after === null ? {} : { after }),
    };
  }
  if (method === 'GET' && path === '/follow')
    return {
      kind: 'watch',
      prefix: parameters.get('under') ?? '',
      after: Number(parameters.get('since') ?? 0),
      waitMs: Math.min(60_000, Number(parameters.get('wait_ms') ?? 0)),
    };
  if (method === 'POST' && path === '/txn') {
    const transaction = bodyFields();
    return {
      kind: 'txn',
      conditions: readArray(transaction['when'] ?? [], 'when').map((condition) => {
        const fields = readMap(condition, 'when');
        return { key: readString(fields, 'key'), version: readInteger(fields, 'stamp') };
      }),
      writes: readArray(transaction['writes'] ?? [], 'writes').map((write) => {
        const fields = readMap(write, 'writes');
        if (typeof fields['remove'] === 'string') return { kind: 'delete', key: fields['remove'] };
        const lease = fields['permit'];
        return {
          kind: 'put',
          key: readString(fields, 'set'),
          value: fields['data'],
          ...(typeof lease === 'number' ? { lease } : {}),
        };
      }),
    };
  }
  if (method === 'POST' && path === '/grants')
    return { kind: 'grant', ttlMs: readInteger(bodyFields(), 'life_ms') };
  const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
  if (grant !== null) return { kind: method === 'DELETE' ? 'revoke' : 'renew', lease: Number(grant[1]) };
  throw new MalformedMessageError(`no such request: ${method} ${path}`);
};

/** Encodes a reply of the state service. */
export const encodeStoreReply = (op: StoreOperation, reply: StoreReply): WireResponse => {
  switch (reply.kind) {
    case 'item':
      return encodeAnswer(200, {
        key: reply.item.key,
        data: reply.item.value,
        stamp: reply.item.version,
        permit: reply.item.lease,
      });
    case 'missing':
      return encodeAnswer(404, { ledger: reply.revision });
    case 'items':
      return encodeAnswer(200, {
        rows: reply.items.map((i) => ({ key: i.key, data: i.value, stamp: i.version, permit: i.lease })),
        more: reply.more,
        ledger: reply.revision,
      });
    case 'ok':
      return encodeAnswer(200, { ledger: reply.revision });
    case 'conflict':
      return encodeAnswer(409, { failed: reply.failed, ledger: reply.revision });
    case 'noLease':
      return op.kind === 'txn' ? encodeAnswer(400, { error: 'no such lease' }) : encodeAnswer(404);
    case 'granted':
      return encodeAnswer(200, { permit: reply.lease });
    case 'events':
      return encodeAnswer(200, {
        ledger: reply.revision,
        events: reply.events.map((e) =>
          e.kind === 'put'
            ? { set: e.key, data: e.value, stamp: e.version }
            : { remove: e.key, stamp: e.version },
        ),
      });
    case 'tooOld':
      return encodeAnswer(410);
    case 'refused':
      return encodeAnswer(400, { error: reply.reason });
    case 'failed':
      return encodeAnswer(reply.cause === 'busy' ? 429 : 503);
  }
};

/** Decodes a request to the cloud. */
export const decodeCloudOperation = (method: string, url: string, body: Buffer): CloudOperation => {
  const { path, parameters } = parseUrl(url);
  const bodyFields = (): Fields => readMap(decodeBody(body), 'request');
  if (method === 'GET' && path === '/flavors') return { kind: 'types' };
  if (method === 'GET' && path === '/hosts')
    return {
      kind: 'list',
      after: parameters.get('since') ?? '',
      limit: Number(parameters.get('page') ?? 500),
    };
  if (method === 'POST' && path === '/hosts/delete')
    return { kind: 'delete', machines: readArray(bodyFields()['berths'], 'berths').map(String) };
  if (method === 'POST' && path === '/hosts') {
    const fields = bodyFields();
    return {
      kind: 'rent',
      request: readString(fields, 'booking'),
      type: readString(fields, 'model'),
      zone: readString(fields, 'hall'),
      spot: readBoolean(fields, 'loaners'),
      count: readInteger(fields, 'count'),
    };
  }
  throw new MalformedMessageError(`no such request: ${method} ${path}`);
};

const encodeMachineType = (type: MachineType): unknown => ({
  sku: type.name,
  cores: type.cores,
  gpus: type.gpus,
  memory_gb: type.memoryGb,
  cache_gb: type.imageCacheGb,
  pull_gb_per_s: type.imagePullGbPerS,
  rate: type.price,
  market_price: type.spotPrice,
  startup_s: microsToSeconds(type.bootUs),
  halls: type.zones,
});

const encodeMachine = (machine: ListedMachine): unknown => ({
  ref: machine.name,
  address: machine.address,
  model: machine.type,
  hall: machine.zone,
  loaners: machine.spot,
  stage: machine.state,
  age_s: microsToSeconds(machine.ageUs),
});

/** Encodes a reply of the cloud. */
export const encodeCloudReply = (reply: CloudReply): WireResponse => {
  switch (reply.kind) {
    case 'types':
      return encodeAnswer(200, { models: reply.types.map(encodeMachineType) });
    case 'rented':
      return encodeAnswer(200, { berths: reply.machines });
    case 'noCapacity':
      return encodeAnswer(503, { error: 'no capacity' });
    case 'deleted':
      return encodeAnswer(200);
    case 'listed':
      return encodeAnswer(200, { berths: reply.machines.map(encodeMachine), more: reply.more });
    case 'failed':
      return encodeAnswer(503, { error: 'trouble' });
  }
};

/** Encodes a worker's heartbeat, which is also its answer to commands. */
export const encodeHeartbeat = (heartbeat: Heartbeat): Buffer =>
  encodeBody({
    berth: heartbeat.machine,
    address: heartbeat.address,
    model: heartbeat.type,
    hall: heartbeat.zone,
    loaners: heartbeat.spot,
    shift: heartbeat.agentEpoch,
    tally: heartbeat.sequence,
    baton: heartbeat.fencingToken,
    recall_s: heartbeat.terminationNoticeUs === null ? null : microsToSeconds(heartbeat.terminationNoticeUs),
    parts: heartbeat.tasks.map((task) => ({
      part: taskName(task.job, task.index),
      try: task.attempt,
      stage: nameIn(TASK_STATES, task.state),
      ...(task.cause === null ? {} : { cause: nameIn(EXIT_CAUSES, task.cause) }),
      ...(task.checkpointed ? { saved: true } : {}),
    })),
  });

const decodeCommand = (value: unknown): WorkerCommand => {
  const fields = readMap(value, 'order');
  const id = { ...parseTaskName(readString(fields, 'part')), attempt: readInteger(fields, 'try') };
  switch (readString(fields, 'verb')) {
    case 'launch':
      return { op: 'start', ...id };
    case 'kill':
      return { op: 'stop', ...id, graceUs: secondsToMicros(readAmount(fields, 'leeway_s')) };
    case 'clear':
      return { op: 'forget', ...id };
    default:
      throw new MalformedMessageError('verb: not a known order');
  }
};

/** Decodes a controller's direct commands to a worker. */
export const decodeCommands = (
  body: Buffer,
): { token: number; session: number; commands: WorkerCommand[] } => {
  const fields = readMap(decodeBody(body), 'request');
  return {
    token: readInteger(fields, 'baton'),
    session: readInteger(fields, 'shift'),
    commands: readArray(fields['orders'], 'orders').map(decodeCommand),
  };
};

/** Decodes the response to a heartbeat; anything unexpected counts as unavailable. */
export const decodeHeartbeatResponse = (status: number, body: Buffer): HeartbeatResponse => {
  try {
    const fields = readMap(decodeBody(body), 'answer');
    if (status === 200)
      return {
        kind: 'accepted',
        fencingToken: readInteger(fields, 'baton'),
        commands: readArray(fields['orders'], 'orders').map(decodeCommand),
      };
    const leader = fields['foreman'];
    if (status === 421) return { kind: 'redirect', leader: typeof leader === 'string' ? leader : null };
  } catch (error) {
    if (!(error instanceof MalformedMessageError)) throw error;
  }
  return { kind: 'unavailable' };
};

/** Encodes a user's submission of a job. */
export const encodeSubmission = (spec: JobSpec): Buffer =>
  encodeBody({
    ref: spec.id,
    bundle: spec.class,
    owner: spec.team,
    shape: nameIn(SHAPES, spec.shape),
    urgency: nameIn(PRIORITIES, spec.priority),
    parts: spec.tasks,
    cores: spec.cores,
    gpus: spec.gpus,
    memory_gb: spec.memoryGb,
    build: spec.image,
    image_gb: spec.imageGb,
    models: spec.machineTypes,
    hall: spec.zone,
    same_place: spec.sameZone,
    scatter: spec.spreadAcrossZones,
    loaners: spec.spot,
    expect_s: microsToSeconds(spec.estimatedRunUs),
    snapshot_s: microsToSeconds(spec.checkpointIntervalUs),
    flush_s: microsToSeconds(spec.checkpointDurationUs),
    due_s: spec.deadlineUs === null ? null : microsToSeconds(spec.deadlineUs),
    ...(spec.dependsOn.length > 0 ? { awaits: spec.dependsOn } : {}),
  });
