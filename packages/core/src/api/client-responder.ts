/** Delivers responses to the senders of requests: clients of the HTTP API, or features within this process. */
import type { ClientResponse, InternalResponse } from '../domain/client-api.js';
import type { LogFields } from '../domain/effects.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobCache, KnownJob } from './job-cache.js';
import type { RefusalBasis, RequestMetrics } from './request-metrics.js';

/** Seconds after which clients are asked to retry a request that could not be answered (`Retry-After`). */
const RETRY_AFTER_S = 1;

/** Receives the response to a request made by a feature within this process. */
export type InternalCallback = (response: InternalResponse) => void;

/** A response that tells the client that its request can't be answered at present. */
export type UnavailableResponse = ClientResponse & { readonly kind: 'unavailable' };

/** Creates a response that asks the client to retry; `problem` is the reason. */
export const unavailable = (problem: string): UnavailableResponse => ({
  kind: 'unavailable',
  retryAfterS: RETRY_AFTER_S,
  problem,
});

/** Creates the response for requests that need the state service while it gives no usable answer. */
export const storeUnavailable = (): UnavailableResponse => unavailable('state service not answering');

/** Creates the response for requests that this node can't answer in time, because too many are queued. */
export const overloaded = (): UnavailableResponse => unavailable('too many requests wait');

/** Responds to requests, which are identified by number. */
export class ClientResponder {
  /** Callbacks of requests made within this process, whose numbers are negative. */
  private readonly internalCallbacks = new Map<number, InternalCallback>();
  private lastInternalRequest = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly metrics: RequestMetrics,
  ) {}

  /** Registers the callback of a request made within this process, and returns the request's number. */
  registerInternal(callback: InternalCallback): number {
    const request = --this.lastInternalRequest;
    this.internalCallbacks.set(request, callback);
    return request;
  }

  /** Responds to a request. The response `taken` is only delivered to internal requests. */
  respond(request: number, response: InternalResponse): void {
    this.metrics.recordResponse(response);
    const callback = this.internalCallbacks.get(request);
    if (callback !== undefined) {
      this.internalCallbacks.delete(request);
      callback(response);
    } else if (response.kind !== 'taken') {
      this.context.emit({ kind: 'clientResponse', request, answer: response });
    }
  }

  /**
   * Responds with the job's current view. `created`: whether this request has created the job. A job that this node knows
   * to have ended is never reported as active.
   */
  respondWithJob(request: number, id: string, job: KnownJob, created = false): void {
    const known = this.cache.get(id);
    const isEnded = known?.kind === 'ended';
    const preservesFinalState = this.context.invariants.check(
      'finalStateIsKept',
      !isEnded || job.kind === 'ended',
      () => ({ job: id }),
    );
    const answered = preservesFinalState ? job : (known ?? job);
    this.respond(request, { kind: 'view', created, view: this.cache.viewOf(id, answered) });
  }

  /**
   * Responds that the job was never accepted, or can't be. All such responses are sent from here, since an accepted job
   * must never be reported as unknown: if this node knows the job, the response is 503 instead.
   */
  respondRefused(request: number, id: string | null, refusal: ClientResponse, basis: RefusalBasis): void {
    const isUnknown = id === null || this.cache.get(id) === undefined;
    const facts = (): LogFields => ({ job: id, refusal: refusal.kind, basis });
    if (!this.context.invariants.check('acceptedJobIsKnown', isUnknown, facts)) {
      this.respond(request, storeUnavailable());
      return;
    }
    const problem = 'problem' in refusal ? refusal.problem : 'not found';
    this.metrics.recordRefusal(id, problem, basis);
    this.respond(request, refusal);
  }
}
