/** The HTTP API of the cloud: lists machine types, and rents, deletes and lists machines. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { ListedMachine, MachineType } from '@shaleyoke/core/domain/machine';

import {
  decodeReplyBody,
  encodeBody,
  MalformedMessageError,
  readAmount,
  readArray,
  readBoolean,
  readEnum,
  readMap,
  readString,
  type ReplyBody,
  secondsToMicros,
} from './body.js';

/** An HTTP request to be sent, with its body encoded. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body: Buffer | null;
}

/** Size limit of a reply of the cloud, in bytes: a list holds up to 500 machines. */
export const MAX_CLOUD_REPLY_BYTES = 1024 * 1024;

/** Machine states by their names on the wire. */
const STATES: ReadonlyMap<string, ListedMachine['state']> = new Map([
  ['booting', 'booting'],
  ['running', 'running'],
  ['failed', 'failed'],
]);

const readStrings = (value: unknown, what: string): string[] =>
  readArray(value, what).map((item) => {
    if (typeof item !== 'string') throw new MalformedMessageError(`${what}: not texts`);
    return item;
  });

/** Encodes an operation as a request to the cloud. */
export const encodeCloudOperation = (operation: CloudOperation): HttpCall => {
  switch (operation.kind) {
    case 'types':
      return { method: 'GET', path: '/flavors', body: null };
    case 'rent':
      return {
        method: 'POST',
        path: '/hosts',
        body: encodeBody({
          booking: operation.request,
          model: operation.type,
          hall: operation.zone,
          loaners: operation.spot,
          count: operation.count,
        }),
      };
    case 'delete':
      return { method: 'POST', path: '/hosts/delete', body: encodeBody({ berths: operation.machines }) };
    case 'list':
      return {
        method: 'GET',
        path: `/hosts?since=${encodeURIComponent(operation.after)}&page=${operation.limit}`,
        body: null,
      };
  }
};

const decodeType = (value: unknown): MachineType => {
  const fields = readMap(value, 'model');
  return {
    name: readString(fields, 'sku'),
    cores: readAmount(fields, 'cores'),
    gpus: fields['gpus'] === undefined || fields['gpus'] === null ? 0 : readAmount(fields, 'gpus'),
    memoryGb: readAmount(fields, 'memory_gb'),
    imageCacheGb: readAmount(fields, 'cache_gb'),
    imagePullGbPerS: readAmount(fields, 'pull_gb_per_s'),
    price: readAmount(fields, 'rate'),
    spotPrice: readAmount(fields, 'market_price'),
    bootUs: secondsToMicros(readAmount(fields, 'startup_s')),
    zones: readStrings(fields['halls'], 'halls'),
  };
};

const decodeMachine = (value: unknown): ListedMachine => {
  const fields = readMap(value, 'berth');
  return {
    name: readString(fields, 'ref'),
    address: readString(fields, 'address'),
    type: readString(fields, 'model'),
    zone: readString(fields, 'hall'),
    spot: readBoolean(fields, 'loaners'),
    state: readEnum(STATES, fields, 'stage'),
    ageUs: secondsToMicros(readAmount(fields, 'age_s')),
  };
};

/** Decodes the cloud's reply to an operation; a malformed reply counts as a failure. */
export const decodeCloudReply = (operation: CloudOperation, status: number, bytes: ReplyBody): CloudReply => {
  try {
    const body = decodeReplyBody(bytes);
    if (status === 503 && operation.kind === 'rent') {
      const error = readMap(body, 'answer')['error'];
      return error === 'no capacity' ? { kind: 'noCapacity' } : { kind: 'failed', reason: 'trouble' };
    }
    if (status !== 200) return { kind: 'failed', reason: `status ${status}` };
    if (operation.kind === 'delete') return { kind: 'deleted' };
    const fields = readMap(body, 'answer');
    switch (operation.kind) {
      case 'types':
        return { kind: 'types', types: readArray(fields['models'], 'models').map(decodeType) };
      case 'rent':
        return { kind: 'rented', machines: readStrings(fields['berths'], 'berths') };
      case 'list':
        return {
          kind: 'listed',
          machines: readArray(fields['berths'], 'berths').map(decodeMachine),
          more: readBoolean(fields, 'more'),
        };
    }
  } catch (error) {
    if (error instanceof MalformedMessageError)
      return { kind: 'failed', reason: `malformed answer: ${error.message}` };
    throw error;
  }
};
