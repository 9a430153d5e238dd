/**
 * Cancels jobs: replaces the record of the active job by one of an ended job, with a compare-and-swap on its version.
 */
import { encodeEndedJob } from '../codecs/job-codec.js';
import { activeJobKey, endedJobKey } from '../codecs/keys.js';
import type { NodeContext } from '../node/node-context.js';
import { type ClientResponder, storeUnavailable } from './client-responder.js';
import type { JobCache, KnownActiveJob, KnownEndedJob } from './job-cache.js';
import type { JobLookup } from './job-lookup.js';
import type { LinearizableReads } from './linearizable-reads.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';

/** Number of times that a cancellation is retried after the job's record has changed concurrently. */
const MAX_CONFLICT_RETRIES = 3;

/** Handles requests to cancel a job. A cancellation is confirmed only after the write has succeeded. */
export class CancellationHandler {
  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly lookups: JobLookup,
    private readonly reads: LinearizableReads,
    private readonly responder: ClientResponder,
  ) {}

  /** Cancels the job, or responds with its state if it has ended. `retries`: the number of earlier attempts. */
  cancel(request: number, id: string, retries = 0): void {
    const known = this.cache.get(id);
    if (known?.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    if (known !== undefined && retries === 0) {
      this.writeCancellation(request, id, known, retries);
      return;
    }
    this.lookups.lookup(id, (result) => {
      if (result.kind === 'active') this.writeCancellation(request, id, result, retries);
      else this.reads.respondWithLookup(request, id, result);
    });
  }

  private writeCancellation(request: number, id: string, job: KnownActiveJob, retries: number): void {
    const endedRecord = encodeEndedJob(job.spec, 'cancelled', 0, this.context.wallNow);
    this.context.requestStore(
      {
        kind: 'txn',
        conditions: [{ key: activeJobKey(id), version: job.version }],
        writes: [
          { kind: 'delete', key: activeJobKey(id) },
          { kind: 'put', key: endedJobKey(id), value: endedRecord },
        ],
      },
      CLIENT_REQUEST_URGENCY,
      (reply) => {
        if (reply.kind === 'ok') this.respondCancelled(request, id, job);
        else if (reply.kind === 'conflict' && retries < MAX_CONFLICT_RETRIES)
          this.cancel(request, id, retries + 1);
        else this.responder.respond(request, storeUnavailable());
      },
    );
  }

  private respondCancelled(request: number, id: string, job: KnownActiveJob): void {
    const cancelled: KnownEndedJob = {
      kind: 'ended',
      stage: 'cancelled',
      completedTasks: 0,
      isService: job.spec.shape === 'service',
    };
    this.cache.put(id, cancelled);
    this.context.info('job.cancelled', { job: id });
    this.responder.respondWithJob(request, id, this.cache.get(id) ?? cancelled);
  }
}
