/**
 * Answers polls from cached records, validated in the state service: an answer that is not final must be no older than
 * what any other node has answered. Polls that arrive within a short time share one transaction.
 */
import { activeJobKey, endedJobKey, jobIdOfActiveKey } from '../codecs/keys.js';
import type { ClientResponse } from '../domain/client-api.js';
import type { VersionCondition } from '../domain/key-value-store.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { type ClientResponder, storeUnavailable } from './client-responder.js';
import type { JobCache, KnownActiveJob, KnownJob } from './job-cache.js';
import type { JobLookup, LookupResult } from './job-lookup.js';
import { SuspectJobs } from './suspect-jobs.js';
import { validationBasisOf } from './validation-basis.js';
import { type FailedKeys, VersionValidator } from './version-validator.js';

/** Polls that arrive within this time share one transaction; the time is longer where requests are scarce. */
const MIN_GATHER_US: Micros = 30 * MILLI;
/** Share of all requests to the state service that the validations of one node may take. */
const REQUEST_SHARE = 0.06;
/** How soon polls are validated once the records of the dependencies have been read. */
const AFTER_LOOKUP_US: Micros = MILLI;

/** Polls of one job that are validated together with others. */
interface BatchedPolls {
  /** Numbers of the requests. */
  readonly requests: readonly number[];
  /** Keys of all records that the answer rests on. */
  readonly keys: readonly string[];
  /** What was known of the job when its validation began. */
  readonly known: KnownJob | undefined;
}

/** What one validation compares, and for whom. */
interface ValidationBatch {
  /** By key: many jobs may share a dependency. */
  readonly conditions: Map<string, VersionCondition>;
  /** By id of the polled job. */
  readonly polls: Map<string, BatchedPolls>;
}

const ABSENT: ClientResponse = { kind: 'absent' };

/** Reads of jobs that are linearizable across all nodes. */
export class LinearizableReads {
  /** Numbers of the requests that wait for the next validation, by id of the polled job. */
  private readonly pending = new Map<string, number[]>();
  /** Whether a validation is scheduled or under way. */
  private validationScheduled = false;
  private readonly suspects = new SuspectJobs();
  private readonly validator: VersionValidator;
  private readonly gatherUs: Micros;

  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
    private readonly lookups: JobLookup,
    private readonly responder: ClientResponder,
  ) {
    const requestsPerSecond = REQUEST_SHARE * context.settings.storeRequestsPerS;
    this.gatherUs = Math.max(MIN_GATHER_US, Math.round(SECOND / requestsPerSecond));
    this.validator = new VersionValidator(context);
  }

  /** Answers with the job's state, at once if its end is known, else after a validation. */
  poll(request: number, id: string): void {
    const known = this.cache.get(id);
    if (known?.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, [request]);
    this.scheduleValidation();
  }

  /** Answers all polls that wait for the next validation: clients give a poll up after two seconds. */
  failPending(): void {
    for (const requests of this.pending.values()) this.fail(requests);
    this.pending.clear();
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
    else if (result.kind === 'absent') this.responder.respond(request, ifAbsent);
    // Whether it still waits depends on the records of its dependencies as well.
    else if (result.kind === 'active' && result.spec.dependsOn.length > 0) this.poll(request, id);
    else this.responder.respondWithJob(request, id, result);
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
      this.validator.validate(basis.conditions, (failed) => {
        if (failed?.size === 0) respond();
        else this.poll(request, id);
      });
    }
  }

  private enqueue(id: string, requests: readonly number[]): void {
    const waiting = this.pending.get(id);
    if (waiting === undefined) this.pending.set(id, [...requests]);
    else waiting.push(...requests);
  }

  private scheduleValidation(delay = this.gatherUs): void {
    if (this.validationScheduled) return;
    this.validationScheduled = true;
    this.context.after(delay, () => {
      this.validate();
    });
  }

  private validate(): void {
    const limit = this.validator.conditionLimit;
    const { conditions, polls } = this.takeBatch(limit);
    if (conditions.size === 0) {
      this.finishValidation();
      return;
    }
    this.validator.validate(
      [...conditions.values()],
      (failed) => {
        this.suspects.recordValidation(polls.keys(), polls.size, failed !== null);
        this.resolve(polls, failed);
        this.finishValidation();
      },
      limit,
    );
  }

  private finishValidation(): void {
    this.validationScheduled = false;
    if (this.pending.size > 0) this.scheduleValidation();
  }

  /**
   * Takes pending polls for one transaction, and answers those that need none. Only jobs with the same batch limit are
   * taken, the largest limit first: jobs that validate well are not compared together with suspect ones.
   */
  private takeBatch(limit: number): ValidationBatch {
    const batchLimit = this.suspects.largestBatchLimit(this.pending.keys());
    const conditions = new Map<string, VersionCondition>();
    const polls = new Map<string, BatchedPolls>();
    for (const [id, requests] of [...this.pending]) {
      const basis = validationBasisOf(id, this.cache);
      if (basis.kind === 'final') {
        this.respondToAll(requests, id, basis.job);
        this.pending.delete(id);
      } else if (basis.kind === 'unread') {
        this.pending.delete(id);
        this.readDependencies(basis.ids, id, requests);
      } else {
        const added = basis.conditions.filter((condition) => !conditions.has(condition.key));
        // A job with more conditions than the limit is validated alone, in several transactions.
        if (conditions.size > 0 && conditions.size + added.length > limit) continue;
        if (this.suspects.batchLimitOf(id) !== batchLimit || polls.size >= Math.max(1, batchLimit)) continue;
        for (const condition of added) conditions.set(condition.key, condition);
        const keys = basis.conditions.map((condition) => condition.key);
        polls.set(id, { requests, keys, known: this.cache.get(id) });
        this.pending.delete(id);
      }
    }
    return { conditions, polls };
  }

  private resolve(polls: ReadonlyMap<string, BatchedPolls>, failed: FailedKeys): void {
    for (const [id, batched] of polls) {
      if (failed === null) this.fail(batched.requests);
      else if (failed.size === 0) this.respondValidated(id, batched);
      else this.resolveAfterConflict(id, batched, failed);
    }
  }

  private respondValidated(id: string, { requests, known }: BatchedPolls): void {
    // Its end may have become known meanwhile.
    const job = this.cache.get(id) ?? known;
    if (job !== undefined) this.respondToAll(requests, id, job);
    else for (const request of requests) this.responder.respond(request, ABSENT);
  }

  /** Some conditions of the batch failed: what has changed is read, and the other polls are validated anew. */
  private resolveAfterConflict(
    id: string,
    { requests, keys }: BatchedPolls,
    failed: ReadonlySet<string>,
  ): void {
    if (failed.has(activeJobKey(id)) || failed.has(endedJobKey(id))) {
      this.readJob(id, requests);
      return;
    }
    const changedDependencies = keys.filter((key) => failed.has(key)).map(jobIdOfActiveKey);
    if (changedDependencies.length > 0) this.readDependencies(changedDependencies, id, requests);
    else this.enqueue(id, requests);
  }

  private readJob(id: string, requests: readonly number[]): void {
    this.lookups.lookup(id, (result) => {
      for (const request of requests) this.respondWithLookup(request, id, result);
    });
  }

  /** Reads the records of dependencies; the polls of the job wait meanwhile. */
  private readDependencies(dependencies: readonly string[], id: string, requests: readonly number[]): void {
    let outstanding = dependencies.length;
    let allFound = true;
    const onResult = (result: LookupResult): void => {
      allFound &&= result.kind === 'active' || result.kind === 'ended';
      if (--outstanding > 0) return;
      if (!allFound) {
        this.fail(requests);
        return;
      }
      this.enqueue(id, requests);
      this.scheduleValidation(AFTER_LOOKUP_US);
    };
    for (const dependency of dependencies) this.lookups.lookup(dependency, onResult);
  }

  private respondToAll(requests: readonly number[], id: string, job: KnownJob): void {
    for (const request of requests) this.responder.respondWithJob(request, id, job);
  }

  private fail(requests: readonly number[]): void {
    for (const request of requests) this.responder.respond(request, storeUnavailable());
  }
}
