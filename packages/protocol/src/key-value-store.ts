/** The state service's interface. */
import type {
  StoredItem,
  StoreEvent,
  StoreOperation,
  StoreReply,
  StoreWrite,
} from '@shaleyoke/core/domain/key-value-store';
import {
  asFields,
  decodeBody,
  encodeBody,
  flag,
  integer,
  list,
  MalformedMessageError,
  text,
} from './body.js';
import type { HttpCall } from './cloud.js';

const encodeWrite = (w: StoreWrite): unknown =>
  w.kind === 'put'
    ? { set: w.key, data: w.value, ...(w.lease === undefined ? {} : { permit: w.lease }) }
    : { remove: w.key };

export const encodeStoreOperation = (op: StoreOperation): HttpCall => {
  switch (op.kind) {
    case 'get':
      return { method: 'GET', path: `/kv/${op.key}`, body: null };
    case 'list': {
      const since = op.after === undefined ? '' : `&since=${encodeURIComponent(op.after)}`;
      return {
        method: 'GET',
        path: `/kv?under=${encodeURIComponent(op.prefix)}${since}&page=${op.limit}`,
        body: null,
      };
    }
    case 'txn':
      return {
        method: 'POST',
        path: '/txn',
        body: encodeBody({
          when: op.conditions.map((c) => ({ key: c.key, stamp: c.version })),
          writes: op.writes.map(encodeWrite),
        }),
      };
    case 'grant':
      return { method: 'POST', path: '/grants', body: encodeBody({ life_ms: op.ttlMs }) };
    case 'renew':
      return { method: 'POST', path: `/grants/${op.lease}/touch`, body: encodeBody({}) };
    case 'revoke':
      return { method: 'DELETE', path: `/grants/${op.lease}`, body: null };
    case 'watch':
      return {
        method: 'GET',
        path: `/follow?under=${encodeURIComponent(op.prefix)}&since=${op.after}&wait_ms=${op.waitMs}`,
        body: null,
      };
  }
};

const decodeItem = (value: unknown): StoredItem => {
  const f = asFields(value, 'row');
  const lease = f['permit'];
  return {
    key: text(f, 'key'),
    value: f['data'],
    version: integer(f, 'stamp'),
    lease: typeof lease === 'number' ? lease : null,
  };
};

const decodeEvent = (value: unknown): StoreEvent => {
  const f = asFields(value, 'event');
  return typeof f['remove'] === 'string'
    ? { kind: 'delete', key: f['remove'], version: integer(f, 'stamp') }
    : { kind: 'put', key: text(f, 'set'), value: f['data'], version: integer(f, 'stamp') };
};

const decodeOk = (op: StoreOperation, body: unknown): StoreReply => {
  const f = () => asFields(body, 'answer');
  switch (op.kind) {
    case 'get':
      return { kind: 'item', item: decodeItem(body) };
    case 'list':
      return {
        kind: 'items',
        items: list(f()['rows'], 'rows').map(decodeItem),
        more: flag(f(), 'more'),
        revision: integer(f(), 'ledger'),
      };
    case 'txn':
      return { kind: 'ok', revision: integer(f(), 'ledger') };
    case 'grant':
      return { kind: 'granted', lease: integer(f(), 'permit') };
    case 'renew':
    case 'revoke':
      return { kind: 'ok', revision: 0 };
    case 'watch':
      return {
        kind: 'events',
        events: list(f()['events'], 'events').map(decodeEvent),
        revision: integer(f(), 'ledger'),
      };
  }
};

export const decodeStoreReply = (op: StoreOperation, status: number, bytes: Uint8Array): StoreReply => {
  try {
    if (status === 429 || status === 503)
      return {
        kind: 'failed',
        executed: false,
        cause: status === 429 ? 'busy' : 'refused',
        reason: `status ${status}`,
      };
    const body = bytes.length === 0 ? {} : decodeBody(bytes);
    if (status === 200) return decodeOk(op, body);
    if (status === 404 && op.kind === 'get')
      return { kind: 'missing', revision: integer(asFields(body, 'answer'), 'ledger') };
    if (status === 404 && (op.kind === 'renew' || op.kind === 'revoke')) return { kind: 'noLease' };
    if (status === 409 && op.kind === 'txn') {
      const f = asFields(body, 'answer');
      const failed = list(f['failed'], 'failed').filter((k): k is string => typeof k === 'string');
      return { kind: 'conflict', failed, revision: integer(f, 'ledger') };
    }
    if (status === 410 && op.kind === 'watch') return { kind: 'tooOld' };
    if (status === 400 && op.kind === 'txn' && asFields(body, 'answer')['error'] === 'no such lease')
      return { kind: 'noLease' };
    if (status === 400) return { kind: 'refused', reason: 'malformed or beyond the limits' };
    return { kind: 'failed', executed: null, cause: 'refused', reason: `status ${status}` };
  } catch (e) {
    if (e instanceof MalformedMessageError)
      return { kind: 'failed', executed: null, cause: 'refused', reason: `malformed answer: ${e.message}` };
    throw e;
  }
};
