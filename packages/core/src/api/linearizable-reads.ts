/**
 * Answers polls from cached records, validated in the state service: an answer that is not final must be no older than
 * what any other node has answered. Polls that arrive within a short time share one transaction.
 */
import { activeJobKey, endedJobKey, jobIdOfActiveKey } from '../codecs/keys.js';
import type { ClientResponse } from '../domain/client-api.js';
import type { LogFields } from '../domain/effects.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
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
import { type LaneHost, ValidationLane } from './validation-lane.js';
import { type ValidationResult, VersionValidator } from './version-validator.js';

/** Clients wait so long for the answer to a poll. */
const POLL_PATIENCE: Micros = 2 * SECOND;
/** A poll older than this could not be validated again before its client gives it up. */
const MAX_AGE_TO_REPEAT: Micros = SECOND;
/** How soon polls are validated once the records of the dependencies have been read. */
const AFTER_LOOKUP_US: Micros = MILLI;

const ABSENT: ClientResponse = { kind: 'absent' };

const outcomeOf = (result: ValidationResult): 'valid' | 'conflict' | 'unanswered' | 'overBudget' => {
  if (result.kind !== 'compared') return result.kind;
  return result.failed.size === 0 ? 'valid' : 'conflict';
};

/** Reads of jobs that are linearizable across all nodes. */
export class LinearizableReads implements BatchHost, LaneHost {
  private readonly suspects = new SuspectJobs();
  private readonly validator: VersionValidator;
  private readonly collector: BatchCollector;
  private readonly regularLane: ValidationLane;
  /** Suspect jobs neither delay others nor wait behind them. */
  private readonly suspectLane: ValidationLane;
  private readonly sweep: ActiveJobSweep;
  /** Polls of active jobs whose records the sweep under way reads. */
  private waitingForSweep: JobPolls[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly lookups: JobLookup,
    private readonly responder: ClientResponder,
    private readonly metrics: RequestMetrics,
  ) {
    this.validator = new VersionValidator(context);
    this.collector = new BatchCollector(cache, this.suspects, this.validator.conditionLimit, this);
    this.regularLane = new ValidationLane(context, this.validator, this);
    this.suspectLane = new ValidationLane(context, this.validator, this);
    this.sweep = new ActiveJobSweep(context, lookups);
  }

  /** Answers with the job's state, at once if its end is known, else after a validation. */
  poll(request: number, id: string): void {
    const known = this.cache.get(id);
    if (known?.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, { request, arrivedAt: this.context.now });
  }

  /** What waits, and what was read, for the log. */
  summary(): LogFields {
    const { now } = this.context;
    const pending = [this.regularLane, this.suspectLane].map((lane) => lane.pending);
    const arrivals = pending.map(({ oldestArrival }) => oldestArrival ?? now);
    return {
      pendingJobs: pending.reduce((sum, { jobCount }) => sum + jobCount, 0),
      oldestPollMs: Math.round((now - Math.min(...arrivals)) / MILLI),
      suspects: this.suspects.count,
      waitingForSweep: this.waitingForSweep.length,
      ...this.sweep.counts,
    };
  }

  /** Answers all polls that wait for the next validation: clients give a poll up after two seconds. */
  failPending(): void {
    for (const lane of [this.regularLane, this.suspectLane])
      for (const { requests } of lane.pending.takeAll()) this.fail(requests);
  }

  /** Looks the job up and answers with it; with `ifAbsent` if it was never accepted. */
  respondFromLookup(request: number, id: string, ifAbsent: ClientResponse): void {
    this.lookups.lookup(id, (result) => {
      this.respondWithLookup(request, id, result, ifAbsent);
    });
  }

  /** Answers with the result of a lookup; with `ifAbsent` if the job was never accepted. */
  respondWithLookup(
    request: number,
    id: string,
    result: LookupResult,
    ifAbsent: ClientResponse = ABSENT,
  ): void {
    if (result.kind === 'unknown') this.responder.respond(request, storeUnavailable());
    else if (result.kind === 'absent') this.respondAbsent(request, id, ifAbsent);
    // Whether it still waits depends on the records of its dependencies as well.
    else if (result.kind === 'active' && result.spec.dependsOn.length > 0) this.poll(request, id);
    else this.responder.respondWithJob(request, id, result);
  }

  private respondAbsent(request: number, id: string, response: ClientResponse): void {
    if (response.kind === 'unavailable') this.responder.respond(request, response);
    // It was accepted since, as this node has learned meanwhile: the lookup is older than that.
    else if (this.cache.get(id) !== undefined) this.poll(request, id);
    else this.responder.respondRefused(request, id, response, 'lookup');
  }

  /**
   * Answers the request that created the job. The job may name one that was cancelled long ago, which this node need not
   * have heard of: then it is cancelled as well, and calling it queued would be too late (`orphaned`, found by a
   * generated history). So the records of its dependencies are validated first, as for a poll.
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

  // ---- batches --------------------------------------------------------------------------------------

  /** Takes the next batch of a lane; polls whose clients have gone are answered without. */
  takeBatch(pending: PendingPolls): ValidationBatch {
    for (const request of pending.takeExpired(this.context.now - POLL_PATIENCE))
      this.responder.respond(request, overloaded());
    if (pending === this.regularLane.pending) this.moveSuspects();
    return this.collector.collect(pending);
  }

  /** Resolves the polls of a batch by the result of its validation. */
  resolve({ polls }: ValidationBatch, result: ValidationResult): void {
    this.metrics.recordValidation(outcomeOf(result));
    if (result.kind === 'overBudget') {
      for (const batched of polls) this.repeat(batched);
      return;
    }
    const ids = polls.map(({ id }) => id);
    this.suspects.recordValidation(ids, polls.length, result.kind === 'compared');
    const missing: JobPolls[] = [];
    for (const batched of polls) {
      if (result.kind === 'unanswered') this.fail(batched.requests);
      else if (result.failed.size === 0) this.respondValidated(batched);
      else if (this.isMissingActiveJob(batched, result.failed)) missing.push(batched);
      else this.resolveAfterConflict(batched, result.failed);
    }
    if (missing.length > 0) this.readMissing(missing);
  }

  /** Answers polls of a job whose end is known. */
  respondFinal({ id, requests }: JobPolls, job: KnownEndedJob): void {
    this.respondToAll(requests, id, job);
  }

  /** A sweep may read the record of a job that is not known yet: its polls wait for that. */
  isHeld(id: string): boolean {
    return this.sweep.isUnderWay && this.cache.get(id) === undefined;
  }

  /** Reads the records of dependencies; the polls of the job wait meanwhile. */
  readDependencies(dependencies: readonly string[], polls: JobPolls): void {
    let outstanding = dependencies.length;
    let allFound = true;
    const onResult = (result: LookupResult): void => {
      allFound &&= result.kind === 'active' || result.kind === 'ended';
      if (--outstanding > 0) return;
      if (allFound) this.putBack(polls, AFTER_LOOKUP_US);
      else this.fail(polls.requests);
    };
    for (const dependency of dependencies) this.lookups.lookup(dependency, onResult);
  }

  private laneOf(id: string): ValidationLane {
    return this.suspects.isSuspect(id) ? this.suspectLane : this.regularLane;
  }

  private enqueue(id: string, poll: PollRequest): void {
    const lane = this.laneOf(id);
    if (lane.isFull) {
      this.responder.respond(poll.request, overloaded());
      return;
    }
    lane.pending.add(id, poll);
    lane.schedule();
  }

  private putBack(polls: JobPolls, delay?: Micros): void {
    const lane = this.laneOf(polls.id);
    lane.pending.putBack(polls);
    lane.schedule(delay);
  }

  /** Jobs may have become suspect after their polls arrived. */
  private moveSuspects(): void {
    if (this.suspects.count === 0) return;
    const { pending } = this.regularLane;
    for (const polls of pending.inOrder()) {
      if (!this.suspects.isSuspect(polls.id)) continue;
      pending.remove(polls.id);
      this.putBack(polls);
    }
  }

  /** The validation was not sent, which says nothing about the records: it is repeated for clients that still wait. */
  private repeat({ id, requests }: JobPolls): void {
    const cutoff = this.context.now - MAX_AGE_TO_REPEAT;
    const young = requests.filter(({ arrivedAt }) => arrivedAt > cutoff);
    for (const { request, arrivedAt } of requests)
      if (arrivedAt <= cutoff) this.responder.respond(request, overloaded());
    if (young.length > 0) this.putBack({ id, requests: young });
  }

  private respondValidated({ id, requests, known }: BatchedPolls): void {
    // Its end may have become known meanwhile.
    const job = this.cache.get(id) ?? known;
    if (job !== undefined) this.respondToAll(requests, id, job);
    else for (const { request } of requests) this.responder.respondRefused(request, id, ABSENT, 'validation');
  }

  /** The job was taken for absent, and has not ended: its record has not been read yet. */
  private isMissingActiveJob({ id, known }: BatchedPolls, failed: ReadonlySet<string>): boolean {
    return known === undefined && failed.has(activeJobKey(id)) && !failed.has(endedJobKey(id));
  }

  private readMissing(missing: readonly JobPolls[]): void {
    if (!this.sweep.isUnderWay && !this.sweep.isWorthwhile(missing.length)) {
      for (const polls of missing) this.readJob(polls);
      return;
    }
    this.waitingForSweep.push(...missing);
    if (this.sweep.isUnderWay) return;
    this.sweep.start((isComplete) => {
      this.resolveAfterSweep(isComplete);
    });
  }

  private resolveAfterSweep(isComplete: boolean): void {
    const waiting = this.waitingForSweep;
    this.waitingForSweep = [];
    for (const polls of waiting) {
      if (this.cache.get(polls.id) !== undefined) this.putBack(polls, AFTER_LOOKUP_US);
      // It ended meanwhile, or its record can't be read.
      else if (isComplete) this.readJob(polls);
      else this.repeat(polls);
    }
  }

  /** Some conditions of the batch failed: what has changed is read, and the other polls are validated anew. */
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
    else this.putBack({ id, requests });
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

  private fail(requests: readonly PollRequest[]): void {
    for (const { request } of requests) this.responder.respond(request, storeUnavailable());
  }
}
