/**
 * Answers polls from cached records, after validating their versions in the state service: a state that is not final must
 * not be older than what any other node has answered. Polls that arrive close together share one transaction.
 */
import { activeJobKey, endedJobKey, jobIdOfActiveKey } from '../codecs/keys.js';
import type { ClientResponse } from '../domain/client-api.js';
import type { LogFields } from '../domain/effects.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { ActiveJobSweep } from './active-job-sweep.js';
import { type ClientResponder, overloaded, storeUnavailable } from './client-responder.js';
import type { JobCache, KnownActiveJob, KnownEndedJob, KnownJob } from './job-cache.js';
import type { JobLookup, LookupResult } from './job-lookup.js';
import type { JobPolls, PendingPolls, PollRequest } from './pending-polls.js';
import type { RequestMetrics } from './request-metrics.js';
import { SuspectJobs } from './suspect-jobs.js';
import { validationBasisOf } from './validation-basis.js';
import {
  BatchCollector,
  type BatchedPolls,
  type BatchHost,
  type ValidationBatch,
} from './validation-batch.js';
import { ValidationQueue, type ValidationQueueHost } from './validation-queue.js';
import { type ValidationResult, VersionValidator } from './version-validator.js';

/** Time that clients wait for the answer to a poll. */
const POLL_TIMEOUT_US: Micros = 2 * SECOND;
/** Polls older than this are not validated again, since their clients would give up first. */
const MAX_RETRY_AGE_US: Micros = SECOND;
/** Delay of the validation of polls for which records had to be read first. */
const POST_LOOKUP_DELAY_US: Micros = MILLISECOND;

const ABSENT: ClientResponse = { kind: 'absent' };

const outcomeOf = (result: ValidationResult): 'valid' | 'conflict' | 'unanswered' | 'overBudget' => {
  if (result.kind !== 'compared') return result.kind;
  return result.failed.size === 0 ? 'valid' : 'conflict';
};

/** Answers polls so that reads of a job are linearizable across all nodes. */
export class LinearizableReads implements BatchHost, ValidationQueueHost {
  private readonly suspects = new SuspectJobs();
  private readonly validator: VersionValidator;
  private readonly collector: BatchCollector;
  private readonly regularQueue: ValidationQueue;
  /** Separate queue for suspect jobs, so that they and other jobs don't delay each other. */
  private readonly suspectQueue: ValidationQueue;
  private readonly sweep: ActiveJobSweep;
  /** Polls of active jobs whose records the running sweep is expected to read. */
  private pollsAwaitingSweep: JobPolls[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly lookups: JobLookup,
    private readonly responder: ClientResponder,
    private readonly metrics: RequestMetrics,
  ) {
    this.validator = new VersionValidator(context);
    this.collector = new BatchCollector(cache, this.suspects, this.validator.conditionLimit, this);
    this.regularQueue = new ValidationQueue(context, this.validator, this);
    this.suspectQueue = new ValidationQueue(context, this.validator, this);
    this.sweep = new ActiveJobSweep(context, lookups);
  }

  /** Responds with the job's state: immediately if the job is known to have ended, otherwise after a validation. */
  poll(request: number, id: string): void {
    const known = this.cache.get(id);
    if (known?.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, { request, arrivedAt: this.context.now });
  }

  /** Returns queue lengths, ages and sweep counts as log fields. */
  summary(): LogFields {
    const { now } = this.context;
    const pending = [this.regularQueue, this.suspectQueue].map((queue) => queue.pending);
    const arrivals = pending.map(({ oldestArrival }) => oldestArrival ?? now);
    return {
      pendingJobs: pending.reduce((sum, { jobCount }) => sum + jobCount, 0),
      oldestPollMs: Math.round((now - Math.min(...arrivals)) / MILLISECOND),
      suspects: this.suspects.count,
      waitingForSweep: this.pollsAwaitingSweep.length,
      ...this.sweep.counts,
    };
  }

  /** Fails all queued polls, because their clients give up after two seconds. */
  failPending(): void {
    for (const queue of [this.regularQueue, this.suspectQueue])
      for (const { requests } of queue.pending.takeAll()) this.failRequests(requests);
  }

  /** Looks up the job and responds with its state, or with `ifAbsent` if it was never accepted. */
  respondFromLookup(request: number, id: string, ifAbsent: ClientResponse): void {
    this.lookups.lookup(id, (result) => {
      this.respondWithLookup(request, id, result, ifAbsent);
    });
  }

  /** Responds with the result of a lookup, or with `ifAbsent` if the job was never accepted. */
  respondWithLookup(
    request: number,
    id: string,
    result: LookupResult,
    ifAbsent: ClientResponse = ABSENT,
  ): void {
    if (result.kind === 'unknown') this.responder.respond(request, storeUnavailable());
    else if (result.kind === 'absent') this.respondAbsent(request, id, ifAbsent);
    // Its state also depends on the records of its dependencies, which have to be validated.
    else if (result.kind === 'active' && result.spec.dependsOn.length > 0) this.poll(request, id);
    else this.responder.respondWithJob(request, id, result);
  }

  private respondAbsent(request: number, id: string, response: ClientResponse): void {
    if (response.kind === 'unavailable') this.responder.respond(request, response);
    // The job was accepted after the lookup, as this node has learned in the meantime.
    else if (this.cache.get(id) !== undefined) this.poll(request, id);
    else this.responder.respondRefused(request, id, response, 'lookup');
  }

  /**
   * Responds to the request that created the job. A dependency may have been cancelled long ago without this node knowing;
   * the new job is then cancelled as well, and must not be reported as queued (`orphaned`, found by a generated history).
   * The records of the dependencies are therefore validated first, as for a poll.
   */
  respondCreated(request: number, job: KnownActiveJob): void {
    const { id, dependsOn } = job.spec;
    const respond = (): void => {
      this.responder.respondWithJob(request, id, this.cache.get(id) ?? job, true);
    };
    const basis = dependsOn.length === 0 ? null : validationBasisOf(id, this.cache);
    if (basis === null || basis.kind === 'final') {
      respond();
    } else if (basis.kind === 'unread') {
      this.poll(request, id);
    } else {
      this.validator.validate(basis.conditions, (result) => {
        if (result.kind === 'compared' && result.failed.size === 0) respond();
        else this.poll(request, id);
      });
    }
  }

  /** Takes the next batch of a queue. Polls whose clients have given up are rejected without a validation. */
  takeBatch(pending: PendingPolls): ValidationBatch {
    for (const request of pending.takeExpired(this.context.now - POLL_TIMEOUT_US))
      this.responder.respond(request, overloaded());
    if (pending === this.regularQueue.pending) this.moveSuspects();
    return this.collector.collect(pending);
  }

  /** Answers, retries or fails the polls of a batch, according to the result of its validation. */
  resolveBatch({ polls }: ValidationBatch, result: ValidationResult): void {
    this.metrics.recordValidation(outcomeOf(result));
    if (result.kind === 'overBudget') {
      for (const batched of polls) this.requeueRecent(batched);
      return;
    }
    const ids = polls.map(({ id }) => id);
    this.suspects.recordValidation(ids, polls.length, result.kind === 'compared');
    const missing: JobPolls[] = [];
    for (const batched of polls) {
      if (result.kind === 'unanswered') this.failRequests(batched.requests);
      else if (result.failed.size === 0) this.respondValidated(batched);
      else if (this.isMissingActiveJob(batched, result.failed)) missing.push(batched);
      else this.resolveAfterConflict(batched, result.failed);
    }
    if (missing.length > 0) this.readMissing(missing);
  }

  /** Responds to polls of a job that is known to have ended. */
  respondFinal({ id, requests }: JobPolls, job: KnownEndedJob): void {
    this.respondToAll(requests, id, job);
  }

  /** Polls of a job that is not cached stay queued during a sweep, which may read its record. */
  isDeferred(id: string): boolean {
    return this.sweep.isRunning && this.cache.get(id) === undefined;
  }

  /** Reads the records of dependencies, and queues the job's polls again afterwards; fails them if a read fails. */
  readDependencies(dependencies: readonly string[], polls: JobPolls): void {
    let outstanding = dependencies.length;
    let allFound = true;
    const onResult = (result: LookupResult): void => {
      allFound &&= result.kind === 'active' || result.kind === 'ended';
      if (--outstanding > 0) return;
      if (allFound) this.requeue(polls, POST_LOOKUP_DELAY_US);
      else this.failRequests(polls.requests);
    };
    for (const dependency of dependencies) this.lookups.lookup(dependency, onResult);
  }

  private queueOf(id: string): ValidationQueue {
    return this.suspects.isSuspect(id) ? this.suspectQueue : this.regularQueue;
  }

  private enqueue(id: string, poll: PollRequest): void {
    const queue = this.queueOf(id);
    if (queue.isFull) {
      this.responder.respond(poll.request, overloaded());
      return;
    }
    queue.pending.add(id, poll);
    queue.schedule();
  }

  private requeue(polls: JobPolls, delay?: Micros): void {
    const queue = this.queueOf(polls.id);
    queue.pending.requeue(polls);
    queue.schedule(delay);
  }

  /** Moves polls of jobs that became suspect after the polls arrived. */
  private moveSuspects(): void {
    if (this.suspects.count === 0) return;
    const { pending } = this.regularQueue;
    for (const polls of pending.inOrder()) {
      if (!this.suspects.isSuspect(polls.id)) continue;
      pending.remove(polls.id);
      this.requeue(polls);
    }
  }

  /** Queues polls again whose validation did not take place, if their clients still wait; rejects the others. */
  private requeueRecent({ id, requests }: JobPolls): void {
    const cutoff = this.context.now - MAX_RETRY_AGE_US;
    const recent = requests.filter(({ arrivedAt }) => arrivedAt > cutoff);
    for (const { request, arrivedAt } of requests)
      if (arrivedAt <= cutoff) this.responder.respond(request, overloaded());
    if (recent.length > 0) this.requeue({ id, requests: recent });
  }

  private respondValidated({ id, requests, known }: BatchedPolls): void {
    // The job's end may have become known during the validation.
    const job = this.cache.get(id) ?? known;
    if (job !== undefined) this.respondToAll(requests, id, job);
    else for (const { request } of requests) this.responder.respondRefused(request, id, ABSENT, 'validation');
  }

  /** Whether the job was assumed absent but has an active record, which was not read yet. */
  private isMissingActiveJob({ id, known }: BatchedPolls, failed: ReadonlySet<string>): boolean {
    return known === undefined && failed.has(activeJobKey(id)) && !failed.has(endedJobKey(id));
  }

  private readMissing(missing: readonly JobPolls[]): void {
    if (!this.sweep.isRunning && !this.sweep.isWorthwhile(missing.length)) {
      for (const polls of missing) this.readJob(polls);
      return;
    }
    this.pollsAwaitingSweep.push(...missing);
    if (this.sweep.isRunning) return;
    this.sweep.start((isComplete) => {
      this.resolveAfterSweep(isComplete);
    });
  }

  private resolveAfterSweep(isComplete: boolean): void {
    const waiting = this.pollsAwaitingSweep;
    this.pollsAwaitingSweep = [];
    for (const polls of waiting) {
      if (this.cache.get(polls.id) !== undefined) this.requeue(polls, POST_LOOKUP_DELAY_US);
      // The job ended in the meantime, or its record is unreadable.
      else if (isComplete) this.readJob(polls);
      else this.requeueRecent(polls);
    }
  }

  /**
   * Handles polls of a batch with failed conditions: reads the changed records, or validates the polls again if none of
   * theirs changed.
   */
  private resolveAfterConflict(polls: BatchedPolls, failed: ReadonlySet<string>): void {
    const { id, requests, keys } = polls;
    if (failed.has(activeJobKey(id)) || failed.has(endedJobKey(id))) {
      this.lookups.lookupLikelyEnded(id, (result) => {
        this.respondToPolls(polls, result);
      });
      return;
    }
    const changedDependencies = keys.filter((key) => failed.has(key)).map(jobIdOfActiveKey);
    if (changedDependencies.length > 0) this.readDependencies(changedDependencies, { id, requests });
    else this.requeue({ id, requests });
  }

  private readJob(polls: JobPolls): void {
    this.lookups.lookup(polls.id, (result) => {
      this.respondToPolls(polls, result);
    });
  }

  private respondToPolls({ id, requests }: JobPolls, result: LookupResult): void {
    for (const { request } of requests) this.respondWithLookup(request, id, result);
  }

  private respondToAll(requests: readonly PollRequest[], id: string, job: KnownJob): void {
    for (const { request } of requests) this.responder.respondWithJob(request, id, job);
  }

  private failRequests(requests: readonly PollRequest[]): void {
    for (const { request } of requests) this.responder.respond(request, storeUnavailable());
  }
}
