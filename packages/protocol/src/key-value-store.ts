/** The HTTP API of the key-value store, which replicates its data by consensus. */
import type {
  StoredItem,
  StoreEvent,
  StoreFailureCause,
  StoreOperation,
  StoreReply,
  StoreWrite,
} from '@shaleyoke/core/domain/key-value-store';

import {
  decodeReplyBody,
  encodeBody,
  MalformedMessageError,
  OversizedMessageError,
  readArray,
  readBoolean,
  readInteger,
  readMap,
  readString,
  type ReplyBody,
} from './body.js';
import type { HttpCall } from './cloud.js';

/**
 * Size limit of a reply of the store, in bytes: four times that of a list. The store sets no limit for a watch's reply; one that
 * exceeds this limit is treated like changes that the store no longer has, so that the keys are listed instead.
 */
export const MAX_STORE_REPLY_BYTES = 2 * 1024 * 1024;

const encodeWrite = (write: StoreWrite): unknown =>
  write.kind === 'put'
    ? { set: write.key, data: write.value, ...(write.lease === undefined ? {} : { permit: write.lease }) }
    : { remove: write.key };

/** Encodes an operation as a request to the store. */
export const encodeStoreOperation = (operation: StoreOperation): HttpCall => {
  switch (operation.kind) {
    case 'get':
      return { method: 'GET', path: `/kv/${operation.key}`, body: null };
    case 'list': {
      const since = operation.after === undefined ? '' : `&since=${encodeURIComponent(operation.after)}`;
      return {
        method: 'GET',
        path: `/kv?under=${encodeURIComponent(operation.prefix)}${since}&page=${operation.limit}`,
        body: null,
      };
    }
    case 'txn':
      return {
        method: 'POST',
        path: '/txn',
        body: encodeBody({
          when: operation.conditions.map((condition) => ({ key: condition.key, stamp: condition.version })),
          writes: operation.writes.map(encodeWrite),
        }),
      };
    case 'grant':
      return { method: 'POST', path: '/grants', body: encodeBody({ life_ms: operation.ttlMs }) };
    case 'renew':
      return { method: 'POST', path: `/grants/${operation.lease}/touch`, body: encodeBody({}) };
    case 'revoke':
      return { method: 'DELETE', path: `/grants/${operation.lease}`, body: null };
    case 'watch':
      return {
        method: 'GET',
        path: `/follow?under=${encodeURIComponent(operation.prefix)}&since=${operation.after}&wait_ms=${operation.waitMs}`,
        body: null,
      };
  }
};

const decodeItem = (value: unknown): StoredItem => {
  const fields = readMap(value, 'row');
  const lease = fields['permit'];
  return {
    key: readString(fields, 'key'),
    value: fields['data'],
    version: readInteger(fields, 'stamp'),
    lease: typeof lease === 'number' ? lease : null,
  };
};

const decodeEvent = (value: unknown): StoreEvent => {
  const fields = readMap(value, 'event');
  return typeof fields['remove'] === 'string'
    ? { kind: 'delete', key: fields['remove'], version: readInteger(fields, 'stamp') }
    : {
        kind: 'put',
        key: readString(fields, 'set'),
        value: fields['data'],
        version: readInteger(fields, 'stamp'),
      };
};

const decodeSuccess = (operation: StoreOperation, body: unknown): StoreReply => {
  const readFields = () => readMap(body, 'answer');
  switch (operation.kind) {
    case 'get':
      return { kind: 'item', item: decodeItem(body) };
    case 'list':
      return {
        kind: 'items',
        items: readArray(readFields()['rows'], 'rows').map(decodeItem),
        more: readBoolean(readFields(), 'more'),
        revision: readInteger(readFields(), 'ledger'),
      };
    case 'txn':
      return { kind: 'ok', revision: readInteger(readFields(), 'ledger') };
    case 'grant':
      return { kind: 'granted', lease: readInteger(readFields(), 'permit') };
    case 'renew':
    case 'revoke':
      return { kind: 'ok', revision: 0 };
    case 'watch':
      return {
        kind: 'events',
        events: readArray(readFields()['events'], 'events').map(decodeEvent),
        revision: readInteger(readFields(), 'ledger'),
      };
  }
};

const failed = (executed: false | null, cause: StoreFailureCause, reason: string): StoreReply => ({
  kind: 'failed',
  executed,
  cause,
  reason,
});

const decodeConflict = (body: unknown): StoreReply => {
  const fields = readMap(body, 'answer');
  const keys = readArray(fields['failed'], 'failed').filter((key): key is string => typeof key === 'string');
  return { kind: 'conflict', failed: keys, revision: readInteger(fields, 'ledger') };
};

/** Decodes a reply whose status is not 200 but has a meaning for the operation; null for any other status. */
const decodeOutcome = (operation: StoreOperation, status: number, body: unknown): StoreReply | null => {
  switch (operation.kind) {
    case 'get':
      if (status !== 404) return null;
      return { kind: 'missing', revision: readInteger(readMap(body, 'answer'), 'ledger') };
    case 'renew':
    case 'revoke':
      return status === 404 ? { kind: 'noLease' } : null;
    case 'txn':
      if (status === 409) return decodeConflict(body);
      if (status === 400 && readMap(body, 'answer')['error'] === 'no such lease') return { kind: 'noLease' };
      return null;
    case 'watch':
      return status === 410 ? { kind: 'tooOld' } : null;
    case 'list':
    case 'grant':
      return null;
  }
};

/** Decodes the store's reply to an operation. A malformed reply counts as a failure of an operation that may have been executed. */
export const decodeStoreReply = (operation: StoreOperation, status: number, bytes: ReplyBody): StoreReply => {
  try {
    if (status === 429) return failed(false, 'busy', `status ${status}`);
    if (status === 503) return failed(false, 'refused', `status ${status}`);
    const body = decodeReplyBody(bytes);
    if (status === 200) return decodeSuccess(operation, body);
    const outcome = decodeOutcome(operation, status, body);
    if (outcome !== null) return outcome;
    if (status === 400) return { kind: 'refused', reason: 'malformed or beyond the limits' };
    return failed(null, 'refused', `status ${status}`);
  } catch (error) {
    if (error instanceof OversizedMessageError && operation.kind === 'watch') return { kind: 'tooOld' };
    if (error instanceof MalformedMessageError)
      return failed(null, 'refused', `malformed answer: ${error.message}`);
    throw error;
  }
};
