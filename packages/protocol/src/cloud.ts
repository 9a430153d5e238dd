/** The cloud's interface: machine types, renting, returning, listing. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { ListedMachine, MachineType } from '@shaleyoke/core/domain/machine';
import {
  amount,
  asFields,
  decodeBody,
  encodeBody,
  flag,
  list,
  MalformedMessageError,
  micros,
  oneOf,
  text,
} from './body.js';

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body: Buffer | null;
}

const STATES: ReadonlyMap<string, ListedMachine['state']> = new Map([
  ['booting', 'booting'],
  ['running', 'running'],
  ['failed', 'failed'],
]);

const texts = (value: unknown, what: string): string[] =>
  list(value, what).map((v) => {
    if (typeof v !== 'string') throw new MalformedMessageError(`${what}: not texts`);
    return v;
  });

export const encodeCloudOperation = (op: CloudOperation): HttpCall => {
  switch (op.kind) {
    case 'types':
      return { method: 'GET', path: '/flavors', body: null };
    case 'rent':
      return {
        method: 'POST',
        path: '/hosts',
        body: encodeBody({
          booking: op.request,
          model: op.type,
          hall: op.zone,
          loaners: op.spot,
          count: op.count,
        }),
      };
    case 'delete':
      return { method: 'POST', path: '/hosts/delete', body: encodeBody({ berths: op.machines }) };
    case 'list':
      return {
        method: 'GET',
        path: `/hosts?since=${encodeURIComponent(op.after)}&page=${op.limit}`,
        body: null,
      };
  }
};

const decodeType = (value: unknown): MachineType => {
  const f = asFields(value, 'model');
  return {
    name: text(f, 'sku'),
    cores: amount(f, 'cores'),
    gpus: f['gpus'] === undefined || f['gpus'] === null ? 0 : amount(f, 'gpus'),
    memoryGb: amount(f, 'memory_gb'),
    imageCacheGb: amount(f, 'cache_gb'),
    imagePullGbPerS: amount(f, 'pull_gb_per_s'),
    price: amount(f, 'rate'),
    spotPrice: amount(f, 'market_price'),
    bootUs: micros(amount(f, 'startup_s')),
    zones: texts(f['halls'], 'halls'),
  };
};

const decodeMachine = (value: unknown): ListedMachine => {
  const f = asFields(value, 'berth');
  return {
    name: text(f, 'ref'),
    address: text(f, 'address'),
    type: text(f, 'model'),
    zone: text(f, 'hall'),
    spot: flag(f, 'loaners'),
    state: oneOf(STATES, f, 'stage'),
    ageUs: micros(amount(f, 'age_s')),
  };
};

export const decodeCloudReply = (op: CloudOperation, status: number, bytes: Uint8Array): CloudReply => {
  try {
    const body = bytes.length === 0 ? {} : decodeBody(bytes);
    if (status === 503 && op.kind === 'rent') {
      const error = asFields(body, 'answer')['error'];
      return error === 'no capacity' ? { kind: 'noCapacity' } : { kind: 'failed', reason: 'trouble' };
    }
    if (status !== 200) return { kind: 'failed', reason: `status ${status}` };
    if (op.kind === 'delete') return { kind: 'deleted' };
    const f = asFields(body, 'answer');
    switch (op.kind) {
      case 'types':
        return { kind: 'types', types: list(f['models'], 'models').map(decodeType) };
      case 'rent':
        return { kind: 'rented', machines: texts(f['berths'], 'berths') };
      case 'list':
        return {
          kind: 'listed',
          machines: list(f['berths'], 'berths').map(decodeMachine),
          more: flag(f, 'more'),
        };
    }
  } catch (e) {
    if (e instanceof MalformedMessageError)
      return { kind: 'failed', reason: `malformed answer: ${e.message}` };
    throw e;
  }
};
