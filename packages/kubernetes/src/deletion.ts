/**
 * Deletion in three steps, each stored before the next: mark the object, cancel its job, delete object and manifest.
 * Any node may continue with a marked object: normally the one that got the request, after its crash the leader.
 */
import type { StoreWrite } from '@shaleyoke/core/domain/key-value-store';
import type { NodeServices } from '@shaleyoke/core/feature-api';

import type { KubeObject } from './object-cache.js';
import { manifestKey } from './records.js';

/** Deletes objects together with their jobs. */
export class Deletion {
  constructor(private readonly services: NodeServices) {}

  /** Marks an object as being deleted. `changed`: it was modified concurrently and has to be read again. */
  begin(object: KubeObject, then: (marked: KubeObject | 'changed' | 'failed') => void): void {
    if (object.record.deleting !== null) {
      then(object);
      return;
    }
    const record = { ...object.record, deleting: this.services.context.wallNow };
    this.services.context.requestStore(
      {
        kind: 'txn',
        conditions: [{ key: object.key, version: object.version }],
        writes: [{ kind: 'put', key: object.key, value: record }],
      },
      1,
      (result) => {
        if (result.kind === 'ok') then({ ...object, record, version: result.revision });
        else then(result.kind === 'conflict' ? 'changed' : 'failed');
      },
    );
  }

  /** Cancels the job and deletes the object. Calls `then` in any case: the leader does what could not be done now. */
  finish(object: KubeObject, then: () => void): void {
    this.services.submitRequest({ kind: 'cancel', id: object.record.id }, (response) => {
      // Only once the job can't start any more: otherwise tasks could run that no object shows.
      if (response.kind === 'view' && (response.view.stage === 'cancelled' || response.view.stage === 'done'))
        this.remove(object, then);
      else then();
    });
  }

  private remove(object: KubeObject, then: () => void): void {
    const { context } = this.services;
    const deletions = Array.from({ length: object.record.pieces }, (_, n): StoreWrite => ({
      kind: 'delete',
      key: manifestKey(object.record.uid, n),
    }));
    const firstDeletions = deletions.slice(0, context.settings.maxTransactionOperations - 1);
    context.requestStore(
      {
        kind: 'txn',
        conditions: [{ key: object.key, version: object.version }],
        writes: [{ kind: 'delete', key: object.key }, ...firstDeletions],
      },
      1,
      // The leader collects chunks beyond one transaction, as it does for interrupted creations.
      then,
    );
  }
}
