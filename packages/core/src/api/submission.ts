/** Accepts jobs: creates the job's record by compare-and-swap, which makes submissions idempotent. */
import { encodeActiveJob } from '../codecs/job-codec.js';
import { activeJobKey, endedJobKey } from '../codecs/keys.js';
import type { ClientRequest, ClientResponse, ExtraWrites } from '../domain/client-api.js';
import type { JobSpec } from '../domain/job.js';
import type { StoreOperation } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import { type ClientResponder, storeUnavailable, unavailable } from './client-responder.js';
import { checkDependencies } from './dependency-check.js';
import type { JobCache, KnownActiveJob } from './job-cache.js';
import type { JobLookup } from './job-lookup.js';
import type { LinearizableReads } from './linearizable-reads.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';
import { recordRejectionOf, rejectionOf } from './submission-rules.js';

/** A request to submit a job. */
export type SubmitRequest = ClientRequest & { readonly kind: 'submit' };

/** A submission that has passed all checks. */
interface CheckedSubmission {
  readonly request: number;
  readonly spec: JobSpec;
  /** The encoded job record to be stored. */
  readonly record: unknown;
  readonly extraWrites: ExtraWrites | undefined;
}

const acceptTransaction = ({ spec, record, extraWrites }: CheckedSubmission): StoreOperation => ({
  kind: 'txn',
  conditions: [
    { key: activeJobKey(spec.id), version: 0 },
    { key: endedJobKey(spec.id), version: 0 },
    ...(extraWrites?.conditions ?? []),
  ],
  writes: [{ kind: 'put', key: activeJobKey(spec.id), value: record }, ...(extraWrites?.writes ?? [])],
});

/** Handles submissions. Acceptance is confirmed only after the write has succeeded. */
export class SubmissionHandler {
  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly lookups: JobLookup,
    private readonly reads: LinearizableReads,
    private readonly responder: ClientResponder,
  ) {}

  /** Accepts the job, or responds with its state if it was accepted before. */
  submit(request: number, submission: SubmitRequest): void {
    if (this.respondIfKnown(request, submission)) return;
    const { spec, extraWrites } = submission;
    if (spec === null) {
      const problem = submission.problem ?? 'malformed';
      this.reject(request, submission.id, { kind: 'malformed', problem });
      return;
    }
    const rejection = rejectionOf(spec, this.context);
    if (rejection !== null) {
      this.reject(request, submission.id, rejection);
      return;
    }
    const record = encodeActiveJob(spec, this.context.wallNow);
    const recordRejection = recordRejectionOf(record, this.context);
    if (recordRejection !== null) {
      this.reject(request, submission.id, recordRejection);
      return;
    }
    checkDependencies(spec.dependsOn, this.cache, this.lookups, (result) => {
      if (result.kind === 'valid') this.accept({ request, spec, record, extraWrites });
      else if (result.kind === 'unknown') {
        this.responder.respond(request, unavailable('named jobs can not be looked up'));
      } else this.reject(request, submission.id, { kind: 'impossible', problem: result.problem });
    });
  }

  /** Responds to the submission if the job is cached, and returns whether it has done so. */
  private respondIfKnown(request: number, { id, extraWrites }: SubmitRequest): boolean {
    const known = id === null ? undefined : this.cache.get(id);
    if (known === undefined || id === null) return false;
    if (known.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return true;
    }
    if (extraWrites !== undefined) return false;
    // Acceptance is permanent, so a validation suffices to find the current state. The accepting transaction would find
    // it as well, but failed writes count against the write limit: retrying clients used up the writes of others.
    this.reads.poll(request, id);
    return true;
  }

  /**
   * Rejects the submission only if the job is unknown; an accepted job is answered with its state, whatever the body
   * says.
   */
  private reject(request: number, id: string | null, rejection: ClientResponse): void {
    if (rejection.kind === 'unavailable') this.responder.respond(request, rejection);
    else if (id === null) this.responder.respondRefused(request, id, rejection, 'body');
    else this.reads.respondFromLookup(request, id, rejection);
  }

  private accept(submission: CheckedSubmission): void {
    this.context.requestStore(acceptTransaction(submission), CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind === 'ok') this.respondAccepted(submission, reply.revision);
      else if (reply.kind === 'conflict') this.respondToConflict(submission, reply.failed);
      else this.responder.respond(submission.request, storeUnavailable());
    });
  }

  private respondAccepted({ request, spec, extraWrites }: CheckedSubmission, revision: number): void {
    const { id, dependsOn } = spec;
    const job: KnownActiveJob = { kind: 'active', version: revision, spec };
    this.cache.put(id, job);
    this.context.info('job.accepted', {
      job: id,
      class: spec.class,
      tasks: spec.tasks,
      ...(dependsOn.length > 0 ? { needs: dependsOn } : {}),
    });
    if (extraWrites === undefined) {
      this.reads.respondCreated(request, job);
      return;
    }
    // A feature's client receives the state as just written, and polls for the job's current state later.
    const view = this.cache.viewOf(id, job);
    this.responder.respond(request, { kind: 'view', created: true, view, revision });
  }

  private respondToConflict(
    { request, spec, extraWrites }: CheckedSubmission,
    failed: readonly string[],
  ): void {
    const isTaken = extraWrites?.conditions.some((condition) => failed.includes(condition.key)) === true;
    if (isTaken) this.responder.respond(request, { kind: 'taken', keys: failed });
    else this.reads.respondFromLookup(request, spec.id, unavailable('record changed meanwhile'));
  }
}
