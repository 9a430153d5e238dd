/** Delivers the response to a request to its sender: a client of the HTTP API, or a feature of this process. */
import type { ClientResponse, InternalResponse } from '../domain/client-api.js';
import type { LogFields } from '../domain/effects.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobCache, KnownJob } from './job-cache.js';
import type { RefusalBasis, RequestMetrics } from './request-metrics.js';

/** Seconds after which clients are asked to repeat a request that could not be answered. */
const RETRY_AFTER_S = 1;

/** Receives the response to a request that a feature of this process has made. */
export type InternalCallback = (response: InternalResponse) => void;

/** Tells a client that its request can't be answered now. */
export type UnavailableResponse = ClientResponse & { readonly kind: 'unavailable' };

/** A response that asks the client to repeat its request. */
export const unavailable = (problem: string): UnavailableResponse => ({
  kind: 'unavailable',
  retryAfterS: RETRY_AFTER_S,
  problem,
});

/** The response while the state service gives no usable answer. */
export const storeUnavailable = (): UnavailableResponse => unavailable('state service not answering');

/** The response where more requests wait than this node can answer in time. */
export const overloaded = (): UnavailableResponse => unavailable('too many requests wait');

/** Responds to requests by their numbers. */
export class ClientResponder {
  /** Callbacks of requests made within this process; these requests have numbers below zero. */
  private readonly internalCallbacks = new Map<number, InternalCallback>();
  private lastInternalRequest = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly metrics: RequestMetrics,
  ) {}

  /** Registers a request made within this process, and returns its number. */
  registerInternal(callback: InternalCallback): number {
    const request = --this.lastInternalRequest;
    this.internalCallbacks.set(request, callback);
    return request;
  }

  /** Responds to a request. Only internal requests can be answered with `taken`. */
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

  /** Responds with the job's present view. `created`: the request has created the job. */
  respondWithJob(request: number, id: string, job: KnownJob, created = false): void {
    const known = this.cache.get(id);
    const isEnded = known?.kind === 'ended';
    const isFinalKept = this.context.invariants.check(
      'finalStateIsKept',
      !isEnded || job.kind === 'ended',
      () => ({ job: id }),
    );
    const answered = isFinalKept ? job : (known ?? job);
    this.respond(request, { kind: 'view', created, view: this.cache.viewOf(id, answered) });
  }

  /**
   * Responds that the job was never accepted, or can't be. All such answers pass here: an accepted job is never forgotten, so
   * one that this node knows is answered 503 instead.
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
