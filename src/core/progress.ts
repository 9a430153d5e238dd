/**
 * Which tasks are done and where a job's tasks may be, in the state service. Jobs of ordinary size share
 * pages; one with very many tasks has keys of its own.
 */
import type { Machine } from './cluster.js';
import type { Context } from './context.js';
import type { ActiveJob } from './jobs.js';
import { PLACES, PROGRESS, progressKey } from './keys.js';
import type { Item } from './model.js';
import { Pages, readPage } from './pages.js';
import { readProgress, type ProgressRecord } from './records.js';
import type { Writer } from './writer.js';

/** Set aside for the names of machines in the first segment of a job with keys of its own. */
const NAMES_ROOM = 3_600;

export class ProgressBook {
  private readonly pages: Pages;
  /** The longest name of a machine so far: room for names is set aside by it. */
  private nameLength = 12;

  constructor(
    private readonly ctx: Context,
    private readonly writer: Writer,
    private readonly job: (id: string) => ActiveJob | undefined,
    private readonly machine: (name: string) => Machine | undefined,
  ) {
    this.pages = new Pages(
      writer,
      PLACES,
      ctx.settings.valueBytes - 512,
      (id) => this.describe(id),
      (id, value) => {
        this.written(id, readProgress(value));
      },
    );
  }

  /** Takes over what an earlier leader wrote, in pages or, by an earlier version, a key a job. */
  load(
    pages: readonly Item[],
    own: readonly Item[],
    jobs: Iterable<ActiveJob>,
    /** Whether every machine that an earlier leader used is known; else unknown names are not gone ones. */
    rosterWhole: boolean,
  ): void {
    const told = new Set<ActiveJob>();
    let whole = true;
    const merge = (id: string, from: number, value: unknown): void => {
      const job = this.job(id);
      if (job === undefined) return;
      told.add(job);
      this.merge(job, from, value, rosterWhole);
    };
    for (const it of pages) {
      if (readPage(it.value) === null) {
        this.ctx.error('progress.unreadable', { key: it.key });
        whole = false;
      }
      this.pages.load(it, (id) => {
        const job = this.job(id);
        return job === undefined || this.isLarge(job) ? null : this.roomOf(job);
      });
      for (const [id, value] of Object.entries(readPage(it.value) ?? {})) merge(id, 0, value);
    }
    for (const it of own) {
      const [id, segment] = it.key.slice(PROGRESS.length).split('/');
      const job = this.job(id!);
      if (job === undefined) {
        this.writer.remove(it.key);
        continue;
      }
      this.writer.know(it.key, it.version);
      merge(id!, Number(segment ?? 0) * this.segmentBytes(), it.value);
      if (this.isLarge(job)) job.ownKeys = true;
      else
        this.pages.put(job.id, this.roomOf(job), () => {
          this.writer.remove(it.key);
        });
    }
    // Any job of that time may have been in a page that can't be read.
    if (!whole) for (const job of jobs) if (!told.has(job)) job.unreadable = true;
  }

  private merge(job: ActiveJob, from: number, value: unknown, rosterWhole: boolean): void {
    const rec = readProgress(value);
    if (rec === null) {
      // Never taken for absence: where its tasks are can't be known, so none is started by this leader.
      this.ctx.error('progress.unreadable', { job: job.id });
      job.unreadable = true;
      return;
    }
    job.done.merge(from, rec.bits);
    job.durable.merge(from, rec.bits);
    for (const name of rec.machines) {
      job.placedOn.add(name);
      const m = this.machine(name);
      if (m?.unresolved === true) job.unresolved.add(name);
      if (m === undefined && !rosterWhole) job.unreadable = true;
    }
    if (rec.machines.length > 0 || job.done.count > 0) job.startedOnce = true;
  }

  private segmentBytes(): number {
    return Math.floor(((this.ctx.settings.valueBytes - 4096) * 3) / 4);
  }

  /** The largest that the job's record can become. */
  private roomOf(job: ActiveJob): number {
    return job.id.length + 40 + job.spec.tasks * (this.nameLength + 3) + 4 * Math.ceil(job.spec.tasks / 24);
  }

  private isLarge(job: ActiveJob): boolean {
    return job.ownKeys || this.roomOf(job) > this.pages.largest;
  }

  /** How many more machines the record of the job can name. */
  placesLeft(job: ActiveJob): number {
    if (this.pages.has(job.id) || !this.isLarge(job)) return Infinity;
    return Math.floor(NAMES_ROOM / (this.nameLength + 3)) - this.names(job).length;
  }

  /** Machines that hold or may hold tasks of the job. What was proven gone need not be named any more. */
  private names(job: ActiveJob): string[] {
    const names = new Set<string>();
    for (const a of job.live.values()) names.add(a.machine.name);
    for (const n of job.unresolved) if (this.machine(n)?.unresolved === true) names.add(n);
    for (const n of job.placedOn) if ((this.machine(n)?.strangers ?? 0) > 0) names.add(n);
    return [...names];
  }

  private describe(id: string): ProgressRecord | null {
    const job = this.job(id);
    if (job === undefined) return null;
    job.dirty = false;
    return { machines: this.names(job), bits: job.done.encode(0, job.done.bytes.length) };
  }

  private written(id: string, rec: ProgressRecord | null): void {
    const job = this.job(id);
    if (job === undefined || rec === null) return;
    job.placedOn = new Set(rec.machines);
    if (job.durable.count < job.done.count) job.durable.merge(0, rec.bits);
  }

  /** Writes where the job's tasks are, and calls back once that is on record. */
  place(job: ActiveJob, then: () => void): void {
    for (const a of job.live.values()) this.nameLength = Math.max(this.nameLength, a.machine.name.length);
    if (!this.pages.has(job.id) && this.isLarge(job)) this.writeOwn(job, then);
    else this.pages.put(job.id, this.roomOf(job), then);
  }

  private writeOwn(job: ActiveJob, then: () => void): void {
    job.ownKeys = true;
    const size = this.segmentBytes();
    const segments = Math.max(1, Math.ceil(job.done.bytes.length / size));
    for (let s = 0; s < segments; s++) {
      if (s > 0 && job.done.encode(s * size, (s + 1) * size) === '') continue;
      this.writer.put(
        progressKey(job.id, s),
        (): ProgressRecord => {
          if (s === 0) job.dirty = false;
          return {
            machines: s === 0 ? this.names(job) : [],
            bits: job.done.encode(s * size, (s + 1) * size),
          };
        },
        (value) => {
          const rec = readProgress(value);
          if (rec === null) return;
          job.durable.merge(s * size, rec.bits);
          if (s !== 0) return;
          job.placedOn = new Set(rec.machines);
          then();
        },
      );
    }
  }

  /** Writes what was counted since the last time. */
  flush(jobs: Iterable<ActiveJob>): void {
    for (const job of jobs) if (job.dirty && job.phase === 'active') this.place(job, () => undefined);
  }

  drop(job: ActiveJob): void {
    this.pages.drop(job.id);
    if (!job.ownKeys) return;
    const segments = Math.max(1, Math.ceil(job.done.bytes.length / this.segmentBytes()));
    for (let s = 0; s < segments; s++) this.writer.remove(progressKey(job.id, s));
  }

  tidy(): void {
    this.pages.tidy();
  }
}
