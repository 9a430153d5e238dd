/**
 * Deletion in three steps, each on record before the next: the object is marked, its job is withdrawn, object and
 * manifest go. Whoever finds a marked object may go on: on the node that was asked, or in the leader after a crash.
 */
import type { StoreWrite } from '@shaleyoke/core/domain/key-value-store';
import type { NodeServices } from '@shaleyoke/core/feature-api';

import { manifestKey } from './records.js';
import type { KubeObject } from './view.js';

export class Deletion {
  constructor(private readonly links: NodeServices) {}

  /** `changed`: it is not any more as it was; look again. */
  begin(o: KubeObject, then: (marked: KubeObject | 'changed' | 'failed') => void): void {
    if (o.record.deleting !== null) {
      then(o);
      return;
    }
    const record = { ...o.record, deleting: this.links.context.wallNow };
    this.links.context.requestStore(
      {
        kind: 'txn',
        conditions: [{ key: o.key, version: o.version }],
        writes: [{ kind: 'put', key: o.key, value: record }],
      },
      1,
      (r) => {
        if (r.kind === 'ok') then({ ...o, record, version: r.revision });
        else then(r.kind === 'conflict' ? 'changed' : 'failed');
      },
    );
  }

  /** `then` in any case: what could not be done now is done by the leader. */
  finish(o: KubeObject, then: () => void): void {
    this.links.submitRequest({ kind: 'cancel', id: o.record.id }, (a) => {
      // Only once the job can't begin any more: an object that is gone shows nobody what runs.
      if (a.kind === 'view' && (a.view.stage === 'cancelled' || a.view.stage === 'done'))
        this.remove(o, then);
      else then();
    });
  }

  private remove(o: KubeObject, then: () => void): void {
    const { context: ctx } = this.links;
    const pieces = Array.from({ length: o.record.pieces }, (_, n): StoreWrite => ({
      kind: 'delete',
      key: manifestKey(o.record.uid, n),
    }));
    const first = pieces.slice(0, ctx.settings.maxTransactionOperations - 1);
    ctx.requestStore(
      {
        kind: 'txn',
        conditions: [{ key: o.key, version: o.version }],
        writes: [{ kind: 'delete', key: o.key }, ...first],
      },
      1,
      // Pieces beyond one transaction are swept by the leader, as those of creations that were cut short.
      then,
    );
  }
}
