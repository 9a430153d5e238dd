/**
 * What of the objects is the leader's: their status on record, deadlines, deletions that were cut short, and pieces of
 * manifests that nobody names. Everything is found anew from the records, so that any leader goes on where the one
 * before stopped.
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

import { Deletion } from './deletion.js';
import type { Follow } from './follow.js';
import { guardKey, manifestKey } from './records.js';
import { type Duty, dutyOf, type Seen, type Times } from './status.js';
import type { KubeObject } from './view.js';

const LOOK_EVERY: Micros = SECOND;
/** Pieces that nobody names are left alone for so long: their object may be about to be put. */
const SWEEP_AFTER: Micros = 120 * SECOND;
/** Endings that are read at the same time. */
const MOST_READS = 8;

export class Keeper implements FeatureTerm {
  private on = false;
  private syncing = false;
  private lookAt: Micros = 0;
  /** Changes that may be made now. */
  private allowance = 0;
  private allowanceAt: Micros;
  /** Objects with something under way, by key. */
  private readonly busy = new Set<string>();
  private reads = 0;
  /** Jobs that have ended, as their records say. */
  private readonly ends = new Map<string, Seen>();
  /** Uids of pieces that nobody names, and since when. */
  private readonly loose = new Map<string, Micros>();
  private readonly deletion: Deletion;

  constructor(
    private readonly term: LeaderTerm,
    private readonly links: NodeServices,
    private readonly follow: Follow,
    /** Changes a second that status may take, on average. */
    private readonly changesPerS: number,
  ) {
    this.deletion = new Deletion(links);
    this.allowanceAt = term.context.now;
  }

  stateRestored(): void {
    this.on = true;
  }

  termEnded(): void {
    this.on = false;
  }

  taskRunning(): void {
    // Seen at the next look.
  }
  attemptEnded(): void {
    // Seen at the next look.
  }
  unknownAttemptExited(): void {
    // Seen at the next look.
  }
  machineRemoved(): void {
    // Seen at the next look.
  }
  jobClosed(job: ActiveJob): void {
    this.ends.delete(job.id);
  }
  retainsResult(): boolean {
    return false;
  }
  admissionHold(): AdmissionHold | null {
    return null;
  }

  maintain(entitled: boolean): void {
    const { context: ctx } = this.term;
    if (!this.on || !entitled || this.syncing || ctx.now < this.lookAt) return;
    this.lookAt = ctx.now + LOOK_EVERY;
    this.syncing = true;
    this.follow.sync((ok) => {
      this.syncing = false;
      if (ok && this.on && !this.term.hasEnded) this.look();
    });
  }

  private look(): void {
    const { context: ctx } = this.term;
    const gained = ((ctx.now - this.allowanceAt) / SECOND) * this.changesPerS;
    this.allowance = Math.min(Math.max(2, this.changesPerS * 2), this.allowance + gained);
    this.allowanceAt = ctx.now;
    const duties: { o: KubeObject; duty: Duty }[] = [];
    for (const o of RedBlackTree.values(this.follow.view.objects)) {
      if (this.busy.has(o.key)) continue;
      const duty = dutyOf(o.record, this.seen(o), timesOf(o), ctx.wallNow);
      if (duty !== null) duties.push({ o, duty });
    }
    // The last word first; counts are shed while changes are scarce.
    duties.sort((a, b) => rankOf(a.duty) - rankOf(b.duty) || a.o.version - b.o.version);
    for (const { o, duty } of duties) {
      if (this.allowance < 1) break;
      this.allowance--;
      this.carryOut(o, duty);
    }
    this.sweepLoose();
  }

  private seen(o: KubeObject): Seen {
    const { id, status } = o.record;
    if (status.result !== null) return { kind: 'unknown' };
    const job = this.term.cluster.jobs.get(id);
    if (job !== undefined && job.phase !== 'ended')
      return { kind: 'open', running: job.runningCount(), done: job.done.count };
    const known = this.ends.get(id);
    if (known === undefined) this.readEnd(id);
    return known ?? { kind: 'unknown' };
  }

  /** A job that this leader does not have: its final record says how it ended. */
  private readEnd(id: string): void {
    if (this.reads >= MOST_READS) return;
    this.reads++;
    this.term.context.requestStore({ kind: 'get', key: endedJobKey(id) }, 2, (r) => {
      this.reads--;
      const end = r.kind === 'item' ? decodeEndedJob(r.item.value) : null;
      if (end === null) return;
      this.ends.set(id, { kind: end.stage === 'done' ? 'done' : 'withdrawn', done: end.done });
    });
  }

  private carryOut(o: KubeObject, duty: Duty): void {
    this.busy.add(o.key);
    const done = (): void => {
      this.busy.delete(o.key);
    };
    switch (duty.kind) {
      case 'record':
        this.put(o, { ...o.record, status: duty.status }, () => {
          if (duty.final) this.ends.delete(o.record.id);
          done();
        });
        return;
      case 'withdraw':
        this.links.submitRequest({ kind: 'cancel', id: o.record.id }, done);
        return;
      case 'expire':
        this.deletion.begin(o, (marked) => {
          if (typeof marked === 'string') done();
          else this.deletion.finish(marked, done);
        });
        return;
      case 'finish':
        this.deletion.finish(o, done);
    }
  }

  /** Only by the leader, and only over what it has seen. */
  private put(o: KubeObject, record: KubeObject['record'], then: () => void): void {
    const { context: ctx, lease: office, election: leadership } = this.term;
    const conditions = [
      { key: LEADER_KEY, version: office.keyVersion },
      { key: o.key, version: o.version },
    ];
    ctx.requestStore(
      { kind: 'txn', conditions, writes: [{ kind: 'put', key: o.key, value: record }] },
      2,
      (r) => {
        if (r.kind === 'conflict' && r.failed.includes(LEADER_KEY) && !this.term.hasEnded)
          leadership.stepDown('fenced');
        then();
      },
    );
  }

  private sweepLoose(): void {
    const { context: ctx } = this.term;
    const unnamed = this.follow.view.unnamed();
    for (const uid of this.loose.keys()) if (!unnamed.has(uid)) this.loose.delete(uid);
    for (const [uid, pieces] of unnamed) {
      const since = this.loose.get(uid);
      if (since === undefined) this.loose.set(uid, ctx.now);
      else if (ctx.now > since + SWEEP_AFTER && this.allowance >= 1) {
        const guard = { key: guardKey(uid), version: this.follow.view.guards.get(uid) ?? 0 };
        const some = pieces.slice(0, ctx.settings.maxTransactionOperations - 1);
        const writes = some.map((n): StoreWrite => ({ kind: 'delete', key: manifestKey(uid, n) }));
        // The guard goes last: until then its object can be put, and then what is left of the sweep fails.
        if (guard.version > 0 && some.length === pieces.length)
          writes.push({ kind: 'delete', key: guard.key });
        this.allowance -= writes.length;
        const conditions = [{ key: LEADER_KEY, version: this.term.lease.keyVersion }, guard];
        ctx.requestStore({ kind: 'txn', conditions, writes }, 2, () => undefined);
      }
    }
  }
}

const rankOf = (d: Duty): number => (d.kind === 'record' && !d.final ? 1 : 0);

/** From the manifest as it was sent, which was checked then. */
const timesOf = (o: KubeObject): Times => {
  const spec = o.manifest['spec'] as { activeDeadlineSeconds?: number; ttlSecondsAfterFinished?: number };
  const us = (s: number | undefined): Micros | null => (s === undefined ? null : s * SECOND);
  return { activeDeadlineUs: us(spec.activeDeadlineSeconds), ttlUs: us(spec.ttlSecondsAfterFinished) };
};
