/**
 * Withdraws the jobs after a cancelled one: a few a transaction, each by compare-and-set on its own record,
 * all of them queued at once, so that a chain takes no round trip a level. What a crash leaves undone the
 * next leader finds anew, since it is told by the records alone.
 */
import type { NodeContext } from '../node/node-context.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import { activeKey, endedKey, LEAD } from '../codecs/keys.js';
import type { VersionCondition, StoreWrite } from '../domain/key-value-store.js';
import { MILLI, SECOND } from '../domain/time.js';
import { encodeEndedJob } from '../codecs/job-codec.js';

export interface PropagationEvents {
  readonly leadVersion: number;
  active(): boolean;
  fenced(): void;
  withdrawn(job: ActiveJob): void;
  /** Its record changed meanwhile: find out how it ended. */
  moved(job: ActiveJob): void;
}

export class DependencyFailurePropagation {
  private queue: ActiveJob[] = [];
  private busy = false;
  private most: number;

  constructor(
    private readonly ctx: NodeContext,
    private readonly host: PropagationEvents,
  ) {
    this.most = Math.max(1, Math.floor(ctx.settings.maxTransactionOperations / 2));
  }

  add(jobs: readonly ActiveJob[]): void {
    this.queue.push(...jobs);
    if (!this.busy) this.flush();
  }

  private later(delay: number): void {
    this.ctx.after(delay, () => {
      if (this.host.active()) this.flush();
    });
  }

  private flush(): void {
    this.queue = this.queue.filter((j) => j.phase === 'active');
    const batch = this.queue.slice(0, this.most);
    this.busy = batch.length > 0;
    if (batch.length === 0) return;
    const conditions: VersionCondition[] = [{ key: LEAD, version: this.host.leadVersion }];
    const writes: StoreWrite[] = [];
    for (const job of batch) {
      conditions.push({ key: activeKey(job.id), version: job.version });
      writes.push(
        { kind: 'delete', key: activeKey(job.id) },
        {
          kind: 'put',
          key: endedKey(job.id),
          value: encodeEndedJob(job.spec, 'cancelled', 0, this.ctx.wallNow),
        },
      );
    }
    this.ctx.requestStore({ kind: 'txn', conditions, writes }, 1, (r) => {
      if (!this.host.active()) return;
      if (r.kind === 'ok') {
        for (const job of batch) this.host.withdrawn(job);
        this.flush();
      } else if (r.kind === 'conflict' && r.failed.includes(LEAD)) this.host.fenced();
      else if (r.kind === 'conflict') {
        // Its user cancelled it too, or an earlier try of this was executed after all.
        const moved = new Set(r.failed);
        this.queue = this.queue.filter((j) => !moved.has(activeKey(j.id)));
        for (const job of batch) if (moved.has(activeKey(job.id))) this.host.moved(job);
        this.flush();
      } else if (r.kind === 'refused') {
        this.most = Math.max(1, Math.floor(this.most / 2));
        this.later(SECOND);
      } else this.later(300 * MILLI);
    });
  }
}
