/**
 * The leader's work on objects: stored status, deadlines, interrupted deletions, and garbage collection of orphaned
 * manifest chunks. Everything is derived from the stored records, so that a new leader continues where the previous one
 * stopped.
 */
import type { AdmissionHold } from '@shaleyoke/core/cluster/admission-hold';
import type { ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import { decodeEndedJob } from '@shaleyoke/core/codecs/job-codec';
import { endedJobKey, LEADER_KEY } from '@shaleyoke/core/codecs/keys';
import type { StoreWrite } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { FeatureTerm, NodeServices } from '@shaleyoke/core/feature-api';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';
import { RedBlackTree } from 'effect';

import type { CacheSync } from './cache-sync.js';
import { Deletion } from './deletion.js';
import type { KubeObject } from './object-cache.js';
import { guardKey, manifestKey } from './records.js';
import { type Action, nextAction, type ObservedJob, type TimeLimits } from './status.js';

const RECONCILE_INTERVAL: Micros = SECOND;
/** Orphaned chunks are kept this long, because their object may be about to be created. */
const ORPHAN_GRACE: Micros = 120 * SECOND;
/** Maximum number of concurrent reads of final job records. */
const MAX_CONCURRENT_READS = 8;

/** Reconciles all objects periodically during a leader's term. */
export class JobController implements FeatureTerm {
  private active = false;
  /** Whether a cache refresh is under way. */
  private syncing = false;
  private nextReconcileAt: Micros = 0;
  /** Token bucket: store changes that may be made now. */
  private allowance = 0;
  private allowanceUpdatedAt: Micros;
  /** Keys of objects with an unfinished action. */
  private readonly inProgress = new Set<string>();
  private pendingReads = 0;
  /** Outcomes of ended jobs from their final records, by job id. */
  private readonly outcomes = new Map<string, ObservedJob>();
  /** When each uid's chunks were first seen without their object. */
  private readonly orphanedSince = new Map<string, Micros>();
  private readonly deletion: Deletion;

  constructor(
    private readonly term: LeaderTerm,
    private readonly services: NodeServices,
    private readonly cacheSync: CacheSync,
    /** Average number of store changes a second. */
    private readonly changesPerS: number,
  ) {
    this.deletion = new Deletion(services);
    this.allowanceUpdatedAt = term.context.now;
  }

  /** Enables reconciliation: the leader has restored the cluster state. */
  stateRestored(): void {
    this.active = true;
  }

  /** Stops reconciliation. */
  termEnded(): void {
    this.active = false;
  }

  /** Needs no action of its own. */
  taskRunning(): void {
    // The next reconciliation sees the change.
  }
  /** Needs no action of its own. */
  attemptEnded(): void {
    // The next reconciliation sees the change.
  }
  /** Needs no action of its own. */
  unknownAttemptExited(): void {
    // The next reconciliation sees the change.
  }
  /** Needs no action of its own. */
  machineRemoved(): void {
    // The next reconciliation sees the change.
  }
  /** Drops the cached outcome of a closed job. */
  jobClosed(job: ActiveJob): void {
    this.outcomes.delete(job.id);
  }
  /** Workers don't have to keep results: statuses come from the job records. */
  retainsResult(): boolean {
    return false;
  }
  /** Objects never hold back a job's admission. */
  admissionHold(): AdmissionHold | null {
    return null;
  }

  /** Reconciles once per interval while commands may be sent. */
  maintain(canAct: boolean): void {
    const { context: ctx } = this.term;
    if (!this.active || !canAct || this.syncing || ctx.now < this.nextReconcileAt) return;
    this.nextReconcileAt = ctx.now + RECONCILE_INTERVAL;
    this.syncing = true;
    this.cacheSync.sync((ok) => {
      this.syncing = false;
      if (ok && this.active && !this.term.hasEnded) this.reconcile();
    });
  }

  private reconcile(): void {
    const { context: ctx } = this.term;
    const gained = ((ctx.now - this.allowanceUpdatedAt) / SECOND) * this.changesPerS;
    this.allowance = Math.min(Math.max(2, this.changesPerS * 2), this.allowance + gained);
    this.allowanceUpdatedAt = ctx.now;
    const actions: { object: KubeObject; action: Action }[] = [];
    for (const object of RedBlackTree.values(this.cacheSync.cache.objects)) {
      if (this.inProgress.has(object.key)) continue;
      const action = nextAction(object.record, this.observe(object), timeLimitsOf(object), ctx.wallNow);
      if (action !== null) actions.push({ object, action });
    }
    // Updates of counts come last: they wait while the allowance is short.
    actions.sort(
      (a, b) => priorityOf(a.action) - priorityOf(b.action) || a.object.version - b.object.version,
    );
    for (const { object, action } of actions) {
      if (this.allowance < 1) break;
      this.allowance--;
      this.execute(object, action);
    }
    this.sweepOrphans();
  }

  private observe(object: KubeObject): ObservedJob {
    const { id, status } = object.record;
    if (status.result !== null) return { kind: 'unknown' };
    const job = this.term.cluster.jobs.get(id);
    if (job !== undefined && job.phase !== 'ended')
      return { kind: 'open', running: job.runningCount(), done: job.done.count };
    const outcome = this.outcomes.get(id);
    if (outcome === undefined) this.readOutcome(id);
    return outcome ?? { kind: 'unknown' };
  }

  /** Reads the final record of a job that is not in this leader's cluster state. */
  private readOutcome(id: string): void {
    if (this.pendingReads >= MAX_CONCURRENT_READS) return;
    this.pendingReads++;
    this.term.context.requestStore({ kind: 'get', key: endedJobKey(id) }, 2, (response) => {
      this.pendingReads--;
      const outcome = response.kind === 'item' ? decodeEndedJob(response.item.value) : null;
      if (outcome === null) return;
      this.outcomes.set(id, { kind: outcome.stage === 'done' ? 'done' : 'withdrawn', done: outcome.done });
    });
  }

  private execute(object: KubeObject, action: Action): void {
    this.inProgress.add(object.key);
    const done = (): void => {
      this.inProgress.delete(object.key);
    };
    switch (action.kind) {
      case 'record':
        this.writeObject(object, { ...object.record, status: action.status }, () => {
          if (action.final) this.outcomes.delete(object.record.id);
          done();
        });
        return;
      case 'withdraw':
        this.services.submitRequest({ kind: 'cancel', id: object.record.id }, done);
        return;
      case 'expire':
        this.deletion.begin(object, (marked) => {
          if (typeof marked === 'string') done();
          else this.deletion.finish(marked, done);
        });
        return;
      case 'finish':
        this.deletion.finish(object, done);
    }
  }

  /** Writes an object on condition that this node still leads and the object is unchanged since it was read. */
  private writeObject(object: KubeObject, record: KubeObject['record'], then: () => void): void {
    const { context: ctx, lease, election } = this.term;
    const conditions = [
      { key: LEADER_KEY, version: lease.keyVersion },
      { key: object.key, version: object.version },
    ];
    ctx.requestStore(
      { kind: 'txn', conditions, writes: [{ kind: 'put', key: object.key, value: record }] },
      2,
      (result) => {
        if (result.kind === 'conflict' && result.failed.includes(LEADER_KEY) && !this.term.hasEnded)
          election.stepDown('fenced');
        then();
      },
    );
  }

  private sweepOrphans(): void {
    const { context: ctx } = this.term;
    const orphans = this.cacheSync.cache.orphanedManifests();
    for (const uid of this.orphanedSince.keys()) if (!orphans.has(uid)) this.orphanedSince.delete(uid);
    for (const [uid, indexes] of orphans) {
      const since = this.orphanedSince.get(uid);
      if (since === undefined) this.orphanedSince.set(uid, ctx.now);
      else if (ctx.now > since + ORPHAN_GRACE && this.allowance >= 1) {
        const guard = { key: guardKey(uid), version: this.cacheSync.cache.guards.get(uid) ?? 0 };
        const batch = indexes.slice(0, ctx.settings.maxTransactionOperations - 1);
        const writes = batch.map((n): StoreWrite => ({ kind: 'delete', key: manifestKey(uid, n) }));
        // The guard is deleted last: as long as it exists the object can still be created, which fails the remaining
        // deletions.
        if (guard.version > 0 && batch.length === indexes.length)
          writes.push({ kind: 'delete', key: guard.key });
        this.allowance -= writes.length;
        const conditions = [{ key: LEADER_KEY, version: this.term.lease.keyVersion }, guard];
        ctx.requestStore({ kind: 'txn', conditions, writes }, 2, () => undefined);
      }
    }
  }
}

const priorityOf = (action: Action): number => (action.kind === 'record' && !action.final ? 1 : 0);

/** Time limits from the manifest, which was validated at creation. */
const timeLimitsOf = (object: KubeObject): TimeLimits => {
  const spec = object.manifest['spec'] as {
    activeDeadlineSeconds?: number;
    ttlSecondsAfterFinished?: number;
  };
  const toMicros = (seconds: number | undefined): Micros | null =>
    seconds === undefined ? null : seconds * SECOND;
  return {
    activeDeadlineUs: toMicros(spec.activeDeadlineSeconds),
    ttlUs: toMicros(spec.ttlSecondsAfterFinished),
  };
};
