/** The other side of the protocol: what state service, cloud, workers and users read and write on the wire. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { Heartbeat, HeartbeatResponse, WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { ListedMachine, MachineType } from '@shaleyoke/core/domain/machine';
import {
  amount,
  asFields,
  decodeBody,
  encodeBody,
  type Fields,
  flag,
  integer,
  list,
  MalformedMessageError,
  microsToSeconds,
  secondsToMicros,
  text,
} from '@shaleyoke/protocol/body';
import { PRIORITIES, SHAPES } from '@shaleyoke/protocol/client-api';
import { EXIT_CAUSES, splitTask, TASK_STATES, taskName } from '@shaleyoke/protocol/workers';

/** A value's name on the wire, by the protocol's own table. */
const nameIn = <T>(table: ReadonlyMap<string, T>, value: T): string =>
  [...table].find(([, v]) => v === value)![0];

export interface Answer {
  readonly status: number;
  readonly body: Buffer;
}
export const answer = (status: number, value: unknown = {}): Answer => ({ status, body: encodeBody(value) });

const query = (url: string): { path: string; q: URLSearchParams } => {
  const u = new URL(url, 'http://x');
  return { path: decodeURIComponent(u.pathname), q: u.searchParams };
};

// ---- state service -------------------------------------------------------------------------------

export const stateOpOf = (method: string, url: string, body: Buffer): StoreOperation => {
  const { path, q } = query(url);
  const f = (): Fields => asFields(decodeBody(body), 'request');
  if (method === 'GET' && path.startsWith('/kv/')) return { kind: 'get', key: path.slice(4) };
  if (method === 'GET' && path === '/kv') {
    const after = q.get('since');
    return {
      kind: 'list',
      prefix: q.get('under') ?? '',
      limit: Math.min(1000, Number(q.get('page') ?? 1000)),
      ...(after === null ? {} : { after }),
    };
  }
  if (method === 'GET' && path === '/follow')
    return {
      kind: 'watch',
      prefix: q.get('under') ?? '',
      after: Number(q.get('since') ?? 0),
      waitMs: Math.min(60_000, Number(q.get('wait_ms') ?? 0)),
    };
  if (method === 'POST' && path === '/txn') {
    const t = f();
    return {
      kind: 'txn',
      conditions: list(t['when'] ?? [], 'when').map((c) => {
        const x = asFields(c, 'when');
        return { key: text(x, 'key'), version: integer(x, 'stamp') };
      }),
      writes: list(t['writes'] ?? [], 'writes').map((w) => {
        const x = asFields(w, 'writes');
        if (typeof x['remove'] === 'string') return { kind: 'delete', key: x['remove'] };
        const lease = x['permit'];
        return {
          kind: 'put',
          key: text(x, 'set'),
          value: x['data'],
          ...(typeof lease === 'number' ? { lease } : {}),
        };
      }),
    };
  }
  if (method === 'POST' && path === '/grants') return { kind: 'grant', ttlMs: integer(f(), 'life_ms') };
  const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
  if (grant !== null) return { kind: method === 'DELETE' ? 'revoke' : 'renew', lease: Number(grant[1]) };
  throw new MalformedMessageError(`no such request: ${method} ${path}`);
};

export const encodeStateReply = (op: StoreOperation, r: StoreReply): Answer => {
  switch (r.kind) {
    case 'item':
      return answer(200, {
        key: r.item.key,
        data: r.item.value,
        stamp: r.item.version,
        permit: r.item.lease,
      });
    case 'missing':
      return answer(404, { ledger: r.revision });
    case 'items':
      return answer(200, {
        rows: r.items.map((i) => ({ key: i.key, data: i.value, stamp: i.version, permit: i.lease })),
        more: r.more,
        ledger: r.revision,
      });
    case 'ok':
      return answer(200, { ledger: r.revision });
    case 'conflict':
      return answer(409, { failed: r.failed, ledger: r.revision });
    case 'noLease':
      return op.kind === 'txn' ? answer(400, { error: 'no such lease' }) : answer(404);
    case 'granted':
      return answer(200, { permit: r.lease });
    case 'events':
      return answer(200, {
        ledger: r.revision,
        events: r.events.map((e) =>
          e.kind === 'put'
            ? { set: e.key, data: e.value, stamp: e.version }
            : { remove: e.key, stamp: e.version },
        ),
      });
    case 'tooOld':
      return answer(410);
    case 'refused':
      return answer(400, { error: r.reason });
    case 'failed':
      return answer(r.cause === 'busy' ? 429 : 503);
  }
};

// ---- cloud ---------------------------------------------------------------------------------------

export const cloudOpOf = (method: string, url: string, body: Buffer): CloudOperation => {
  const { path, q } = query(url);
  const f = (): Fields => asFields(decodeBody(body), 'request');
  if (method === 'GET' && path === '/flavors') return { kind: 'types' };
  if (method === 'GET' && path === '/hosts')
    return { kind: 'list', after: q.get('since') ?? '', limit: Number(q.get('page') ?? 500) };
  if (method === 'POST' && path === '/hosts/delete')
    return { kind: 'delete', machines: list(f()['berths'], 'berths').map(String) };
  if (method === 'POST' && path === '/hosts') {
    const x = f();
    return {
      kind: 'rent',
      request: text(x, 'booking'),
      type: text(x, 'model'),
      zone: text(x, 'hall'),
      spot: flag(x, 'loaners'),
      count: integer(x, 'count'),
    };
  }
  throw new MalformedMessageError(`no such request: ${method} ${path}`);
};

const flavor = (t: MachineType): unknown => ({
  sku: t.name,
  cores: t.cores,
  gpus: t.gpus,
  memory_gb: t.memoryGb,
  cache_gb: t.imageCacheGb,
  pull_gb_per_s: t.imagePullGbPerS,
  rate: t.price,
  market_price: t.spotPrice,
  startup_s: microsToSeconds(t.bootUs),
  halls: t.zones,
});

const host = (m: ListedMachine): unknown => ({
  ref: m.name,
  address: m.address,
  model: m.type,
  hall: m.zone,
  loaners: m.spot,
  stage: m.state,
  age_s: microsToSeconds(m.ageUs),
});

export const encodeCloudReply = (r: CloudReply): Answer => {
  switch (r.kind) {
    case 'types':
      return answer(200, { models: r.types.map(flavor) });
    case 'rented':
      return answer(200, { berths: r.machines });
    case 'noCapacity':
      return answer(503, { error: 'no capacity' });
    case 'deleted':
      return answer(200);
    case 'listed':
      return answer(200, { berths: r.machines.map(host), more: r.more });
    case 'failed':
      return answer(503, { error: 'trouble' });
  }
};

// ---- workers -------------------------------------------------------------------------------------

export const encodeReport = (r: Heartbeat): Buffer =>
  encodeBody({
    berth: r.machine,
    address: r.address,
    model: r.type,
    hall: r.zone,
    loaners: r.spot,
    shift: r.agentEpoch,
    tally: r.sequence,
    baton: r.fencingToken,
    recall_s: r.terminationNoticeUs === null ? null : microsToSeconds(r.terminationNoticeUs),
    parts: r.tasks.map((t) => ({
      part: taskName(t.job, t.index),
      try: t.attempt,
      stage: nameIn(TASK_STATES, t.state),
      ...(t.cause === null ? {} : { cause: nameIn(EXIT_CAUSES, t.cause) }),
      ...(t.checkpointed ? { saved: true } : {}),
    })),
  });

const orderOf = (value: unknown): WorkerCommand => {
  const f = asFields(value, 'order');
  const id = { ...splitTask(text(f, 'part')), attempt: integer(f, 'try') };
  switch (text(f, 'verb')) {
    case 'launch':
      return { op: 'start', ...id };
    case 'kill':
      return { op: 'stop', ...id, graceUs: secondsToMicros(amount(f, 'leeway_s')) };
    case 'clear':
      return { op: 'forget', ...id };
    default:
      throw new MalformedMessageError('verb: not a known order');
  }
};

export const ordersOf = (body: Buffer): { token: number; session: number; orders: WorkerCommand[] } => {
  const f = asFields(decodeBody(body), 'request');
  return {
    token: integer(f, 'baton'),
    session: integer(f, 'shift'),
    orders: list(f['orders'], 'orders').map(orderOf),
  };
};

export const workerAnswerOf = (status: number, body: Buffer): HeartbeatResponse => {
  try {
    const f = asFields(decodeBody(body), 'answer');
    if (status === 200)
      return {
        kind: 'accepted',
        fencingToken: integer(f, 'baton'),
        commands: list(f['orders'], 'orders').map(orderOf),
      };
    const leader = f['foreman'];
    if (status === 421) return { kind: 'redirect', leader: typeof leader === 'string' ? leader : null };
  } catch (e) {
    if (!(e instanceof MalformedMessageError)) throw e;
  }
  return { kind: 'unavailable' };
};

// ---- users ---------------------------------------------------------------------------------------

export const encodeSubmission = (s: JobSpec): Buffer =>
  encodeBody({
    ref: s.id,
    bundle: s.class,
    owner: s.team,
    shape: nameIn(SHAPES, s.shape),
    urgency: nameIn(PRIORITIES, s.priority),
    parts: s.tasks,
    cores: s.cores,
    gpus: s.gpus,
    memory_gb: s.memoryGb,
    build: s.image,
    image_gb: s.imageGb,
    models: s.machineTypes,
    hall: s.zone,
    same_place: s.sameZone,
    scatter: s.spreadAcrossZones,
    loaners: s.spot,
    expect_s: microsToSeconds(s.estimatedRunUs),
    snapshot_s: microsToSeconds(s.checkpointIntervalUs),
    flush_s: microsToSeconds(s.checkpointDurationUs),
    due_s: s.deadlineUs === null ? null : microsToSeconds(s.deadlineUs),
    ...(s.dependsOn.length > 0 ? { awaits: s.dependsOn } : {}),
  });
