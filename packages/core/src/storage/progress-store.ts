/**
 * Which tasks are done and where a job's tasks may be, in the state service. Jobs of ordinary size share
 * pages; one with very many tasks has keys of its own.
 */
import type { Machine, ActiveJob } from '../cluster/cluster-model.js';
import type { NodeContext } from '../node/node-context.js';
import { PLACES, PROGRESS, partOf } from '../codecs/keys.js';
import { LargeProgress } from './large-progress.js';
import type { StoredItem } from '../domain/key-value-store.js';
import { pageRoom, PackedPages, readPage } from './packed-pages.js';
import { decodeProgress, encodeProgress, type ProgressRecord } from '../codecs/progress-codec.js';
import { bytesOf } from '../codecs/value-size.js';
import type { WriteUrgency, FencedWriter } from './fenced-writer.js';

const nothing = (): void => undefined;

export class ProgressStore {
  private readonly pages: PackedPages;
  private readonly large = new Map<string, LargeProgress>();
  /** The longest name of a machine so far: room for names is set aside by it. */
  private nameLength = 12;

  constructor(
    private readonly ctx: NodeContext,
    private readonly writer: FencedWriter,
    private readonly job: (id: string) => ActiveJob | undefined,
    private readonly machine: (name: string) => Machine | undefined,
  ) {
    this.pages = new PackedPages(writer, PLACES, pageRoom(ctx.settings.maxValueBytes), {
      describe: (id) => this.describe(id),
      written: (id, value) => {
        this.written(id, decodeProgress(value));
      },
      move: (id, then) => {
        const job = this.job(id);
        if (job === undefined) then(true);
        else
          this.write(
            job,
            'later',
            () => {
              then(true);
            },
            () => {
              then(false);
            },
          );
      },
    });
  }

  /** Takes over what an earlier leader wrote, in pages or in keys of a job's own. */
  load(
    pages: readonly StoredItem[],
    own: readonly StoredItem[],
    jobs: Iterable<ActiveJob>,
    /** Whether every machine that an earlier leader used is known; else unknown names are not gone ones. */
    rosterWhole: boolean,
  ): void {
    const told = new Set<ActiveJob>();
    let whole = true;
    const merge = (id: string, from: number | null, value: unknown): void => {
      const job = this.job(id);
      if (job === undefined) return;
      told.add(job);
      this.merge(job, from, value, rosterWhole);
    };
    for (const it of own) this.loadOwn(it, merge);
    for (const it of pages) {
      const entries = readPage(it.value);
      if (entries === null) {
        this.ctx.error('progress.record_unreadable', { key: it.key });
        whole = false;
      }
      for (const [id, value] of Object.entries(entries ?? {})) merge(id, 0, value);
      this.pages.load(it, (id) => {
        const job = this.job(id);
        return job === undefined ? null : this.roomOf(job);
      });
    }
    // Any job of that time may have been in a page that can't be read.
    if (!whole) for (const job of jobs) if (!told.has(job)) job.progressUnreadable = true;
    // What has keys of its own but would have room on a page goes there: earlier versions had no pages.
    for (const [id, large] of this.large) {
      const job = this.job(id);
      if (job === undefined || this.isLarge(job)) continue;
      this.large.delete(id);
      this.writePage(job, 'later', () => {
        for (const key of large.keys()) this.writer.remove(key);
      });
    }
  }

  private loadOwn(it: StoredItem, merge: (id: string, from: number | null, value: unknown) => void): void {
    const [id, number] = it.key.slice(PROGRESS.length).split('/');
    const job = this.job(id!);
    if (job === undefined) {
      this.writer.remove(it.key);
      return;
    }
    this.writer.rememberVersion(it.key, it.version);
    const part = partOf(Number(number ?? 0));
    const rec = decodeProgress(it.value);
    merge(id!, rec?.from ?? this.placeOf(Number(number ?? 0)), it.value);
    if (rec !== null) this.largeOf(job).adopt(it.key, part, rec, bytesOf(it.value));
  }

  /**
   * Where a segment without a place of its own begins: the version before went by the limit on values of its
   * time, which the settings still name. Null if that can't be told: then its bits say nothing.
   */
  private placeOf(segment: number): number | null {
    if (segment === 0) return 0;
    const size = Math.floor(((this.ctx.settings.formerMaxValueBytes - 4096) * 3) / 4);
    return size > 0 && Number.isInteger(segment) ? segment * size : null;
  }

  private largeOf(job: ActiveJob): LargeProgress {
    let l = this.large.get(job.id);
    if (l === undefined) {
      const limit = pageRoom(this.ctx.settings.maxValueBytes);
      l = new LargeProgress(this.writer, job, limit, this.nameLength, () => this.names(job));
      this.large.set(job.id, l);
    }
    return l;
  }

  private merge(job: ActiveJob, from: number | null, value: unknown, rosterWhole: boolean): void {
    const rec = decodeProgress(value);
    if (rec === null) {
      // Never taken for absence: where its tasks are can't be known, so none is started by this leader.
      this.ctx.error('progress.record_unreadable', { job: job.id });
      job.progressUnreadable = true;
      return;
    }
    if (from !== null) {
      job.done.merge(from, rec.bits);
      job.durablyDone.merge(from, rec.bits);
    }
    for (const name of rec.machines) {
      job.recordedMachines.add(name);
      this.nameLength = Math.max(this.nameLength, name.length);
      const m = this.machine(name);
      if (m?.awaitingReconciliation === true) job.unreconciledMachines.add(name);
      if (m === undefined && !rosterWhole) job.progressUnreadable = true;
    }
    if (rec.machines.length > 0 || job.done.count > 0) job.startedBefore = true;
  }

  /** The largest that the job's record can become. */
  private roomOf(job: ActiveJob): number {
    return job.id.length + 40 + job.spec.tasks * (this.nameLength + 3) + 4 * Math.ceil(job.spec.tasks / 24);
  }

  private isLarge(job: ActiveJob): boolean {
    return !this.pages.has(job.id) && this.roomOf(job) > this.pages.largest;
  }

  /** Machines that hold or may hold tasks of the job. What was proven gone need not be named any more. */
  private names(job: ActiveJob): string[] {
    const names = new Set<string>();
    for (const a of job.liveAttempts.values()) names.add(a.machine.name);
    for (const n of job.unreconciledMachines)
      if (this.machine(n)?.awaitingReconciliation === true) names.add(n);
    for (const n of job.recordedMachines) if ((this.machine(n)?.unknownTaskCount ?? 0) > 0) names.add(n);
    return [...names];
  }

  private describe(id: string): unknown {
    const job = this.job(id);
    if (job === undefined) return null;
    job.progressDirty = false;
    const machines = this.names(job);
    // Whoever is left out counts as not on record from now on, not from the confirmation: a start there in
    // between would else be on no record, and be started again elsewhere by the next leader.
    const named = new Set(machines);
    for (const n of [...job.recordedMachines]) if (!named.has(n)) job.recordedMachines.delete(n);
    return encodeProgress({ machines, bits: job.done.encode(0, job.done.bytes.length), from: null });
  }

  private written(id: string, rec: ProgressRecord | null): void {
    const job = this.job(id);
    if (job === undefined || rec === null) return;
    for (const n of rec.machines) job.recordedMachines.add(n);
    if (job.durablyDone.count < job.done.count) job.durablyDone.merge(0, rec.bits);
  }

  /** Writes where the job's tasks are, and calls back once that is on record, or can't be. */
  recordPlacement(job: ActiveJob, then: () => void, refused: () => void = nothing): void {
    this.write(job, 'now', then, refused);
  }

  private write(job: ActiveJob, urgent: WriteUrgency, then: () => void, refused: () => void): void {
    for (const a of job.liveAttempts.values())
      this.nameLength = Math.max(this.nameLength, a.machine.name.length);
    if (this.large.has(job.id) || this.isLarge(job)) this.largeOf(job).write(urgent, then, refused);
    else this.writePage(job, urgent, then, refused);
  }

  private writePage(job: ActiveJob, urgent: WriteUrgency, then: () => void, refused?: () => void): void {
    this.pages.put(job.id, this.roomOf(job), urgent, then, refused);
  }

  /** Writes what was counted since the last time. */
  flush(jobs: Iterable<ActiveJob>): void {
    for (const job of jobs)
      if (job.progressDirty && job.phase === 'active') this.write(job, 'later', nothing, nothing);
  }

  drop(job: ActiveJob): void {
    this.pages.drop(job.id);
    const large = this.large.get(job.id);
    this.large.delete(job.id);
    for (const key of large?.keys() ?? []) this.writer.remove(key);
  }

  rewriteStalePages(): void {
    this.pages.rewriteStalePages();
  }

  /** Moves on with taking apart what is too large or of the version before. */
  compact(jobs: Iterable<ActiveJob>): void {
    this.pages.compact();
    for (const job of jobs) {
      const large = this.large.get(job.id);
      if (large?.unsettled !== true || job.phase !== 'active') continue;
      large.write('later', nothing, nothing);
      return;
    }
  }
}
