/**
 * The client API, which every node serves: accepts and cancels jobs with compare-and-swap on their records, responding
 * only after the write, and answers polls from cached records that are validated against the state service.
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

/** Handles requests from clients, and from features within this process. */
export class JobService {
  private readonly cache = new JobCache();
  private readonly metrics: RequestMetrics;
  private readonly responder: ClientResponder;
  private readonly reads: LinearizableReads;
  private readonly submissions: SubmissionHandler;
  private readonly cancellations: CancellationHandler;

  constructor(
    private readonly context: NodeContext,
    /** Whether the state service answers another node while it doesn't answer this one. */
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
    context.storeDownListeners.push(() => {
      reads.failPending();
    });
  }

  /** Starts to log periodic summaries of request outcomes. */
  start(): void {
    this.metrics.start(() => ({
      cachedJobs: this.cache.size,
      ...this.reads.summary(),
      invariantViolations: this.context.invariants.violations,
    }));
  }

  /** Handles a request. The response is emitted as an effect with the same request number. */
  handle(request: number, body: ClientRequest): void {
    if (body.kind !== 'health') this.metrics.recordRequest();
    if (body.kind !== 'health' && this.isStoreDown && !this.hasEnded(body.id)) {
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

  /** Handles a request from a feature within this process in the same way, and passes the response to `onResponse`. */
  handleInternal(body: ClientRequest, onResponse: (response: InternalResponse) => void): void {
    this.handle(this.responder.registerInternal(onResponse), body);
  }

  /** Whether this node knows that the job has ended, which is final. */
  hasEnded(id: string | null): boolean {
    return id !== null && this.cache.hasEnded(id);
  }

  /** Caches the task counts that the leader has published for display. */
  recordProgress(update: ProgressUpdate): void {
    this.cache.recordProgress(update);
  }

  /** Caches the record of an active job that the leader on this node has read. */
  recordActiveJob(spec: JobSpec, version: number): void {
    this.cache.put(spec.id, { kind: 'active', version, spec });
  }

  /** Caches how a job ended, as the leader on this node has written or observed it. */
  recordTerminalState(
    id: string,
    stage: 'done' | 'cancelled',
    completedTasks: number,
    isService = false,
  ): void {
    this.cache.put(id, { kind: 'ended', stage, completedTasks, isService });
  }

  /**
   * Whether the state service doesn't answer, so that no record can be looked up. Requests then fail immediately: when
   * each waited for calls that were not answered, 143 to 187 client requests timed out on a day with one partition.
   */
  private get isStoreDown(): boolean {
    return this.context.storeConnection.downSince !== null;
  }

  /**
   * Reports a node that has lost the state service as unhealthy only if the service is known to answer another node. In
   * an outage for all nodes, the load balancer would otherwise remove all of them, and add them back only seconds after
   * its end.
   */
  private health(): ClientResponse {
    if (this.context.machineTypes.size === 0) return unavailable('machine types not known yet');
    return this.isStoreDown && this.isStoreServingPeers()
      ? unavailable('state service not answering this node')
      : { kind: 'healthy' };
  }
}
