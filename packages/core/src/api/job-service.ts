/**
 * The client API, the same on every node: accepts and cancels jobs by compare-and-swap on their records and answers only
 * after the write; answers polls from records that are validated in the state service.
 */
import type { ClientRequest, ClientResponse, InternalResponse } from '../domain/client-api.js';
import type { JobSpec } from '../domain/job.js';
import type { ProgressUpdate } from '../domain/peer.js';
import type { NodeContext } from '../node/node-context.js';
import { CancellationHandler } from './cancellation.js';
import { ClientResponder, storeUnavailable, unavailable } from './client-responder.js';
import { JobCache } from './job-cache.js';
import { JobLookup } from './job-lookup.js';
import { LinearizableReads } from './linearizable-reads.js';
import { RequestMetrics } from './request-metrics.js';
import { SubmissionHandler } from './submission.js';

/** Handles the requests of clients and of features of this process. */
export class JobService {
  private readonly cache = new JobCache();
  private readonly metrics: RequestMetrics;
  private readonly responder: ClientResponder;
  private readonly reads: LinearizableReads;
  private readonly submissions: SubmissionHandler;
  private readonly cancellations: CancellationHandler;

  constructor(
    private readonly context: NodeContext,
    /** Whether the state service answers another node while it does not answer this one. */
    private readonly isStoreServingPeers: () => boolean = () => false,
  ) {
    const { cache } = this;
    this.metrics = new RequestMetrics(context);
    const responder = new ClientResponder(context, cache, this.metrics);
    const lookups = new JobLookup(context, cache);
    const reads = new LinearizableReads(context, cache, lookups, responder, this.metrics);
    this.responder = responder;
    this.reads = reads;
    this.submissions = new SubmissionHandler(context, cache, lookups, reads, responder);
    this.cancellations = new CancellationHandler(context, cache, lookups, reads, responder);
    context.onStoreLost.push(() => {
      reads.failPending();
    });
  }

  /** Begins to log what becomes of requests. */
  start(): void {
    this.metrics.start(() => ({
      cachedJobs: this.cache.size,
      ...this.reads.summary(),
      invariantViolations: this.context.invariants.violations,
    }));
  }

  /** Handles a request; its response is emitted as an effect with the same number. */
  handle(request: number, body: ClientRequest): void {
    if (body.kind !== 'health') this.metrics.recordRequest();
    if (body.kind !== 'health' && this.isStoreLost && !this.hasEnded(body.id)) {
      this.responder.respond(request, storeUnavailable());
      return;
    }
    switch (body.kind) {
      case 'health':
        this.responder.respond(request, this.health());
        return;
      case 'poll':
        this.reads.poll(request, body.id);
        return;
      case 'cancel':
        this.cancellations.cancel(request, body.id);
        return;
      case 'submit':
        this.submissions.submit(request, body);
        return;
    }
  }

  /** Handles a request of a feature of this process in the same way, with the response passed to `then`. */
  ask(body: ClientRequest, then: (answer: InternalResponse) => void): void {
    this.handle(this.responder.registerInternal(then), body);
  }

  /** Whether the end of the job is known here, which never changes. */
  hasEnded(id: string | null): boolean {
    return id !== null && this.cache.hasEnded(id);
  }

  /** Takes over the counts that the leader published for display. */
  recordProgress(update: ProgressUpdate): void {
    this.cache.recordProgress(update);
  }

  /** Takes over the record of an active job that the leader has read. */
  recordActiveJob(spec: JobSpec, version: number): void {
    this.cache.remember(spec.id, { kind: 'active', version, spec });
  }

  /** Takes over how a job ended, from the leader's own writes and its watch. */
  recordTerminalState(
    id: string,
    stage: 'done' | 'cancelled',
    completedTasks: number,
    isService = false,
  ): void {
    this.cache.remember(id, { kind: 'ended', stage, completedTasks, isService });
  }

  /**
   * Whether nothing can be looked up now. Then requests are answered at once: clients that waited for call after call to a
   * state service without answers had their requests time out, 143 to 187 of them on a day of one partition.
   */
  private get isStoreLost(): boolean {
    return this.context.storeConnection.downSince !== null;
  }

  /**
   * Clients are sent away from a node that is cut off from the state service only if another node is known to be served:
   * in an outage all nodes would leave the load balancer, and be missing from it for seconds after its end.
   */
  private health(): ClientResponse {
    if (this.context.types.size === 0) return unavailable('machine types not known yet');
    return this.isStoreLost && this.isStoreServingPeers()
      ? unavailable('state service not answering this node')
      : { kind: 'healthy' };
  }
}
