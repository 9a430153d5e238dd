/**
 * Which tasks are done and which machines may hold a job's tasks, in the state service. Jobs of ordinary size share pages;
 * one with very many tasks has keys of its own.
 */
import type { ActiveJob, Machine } from '../cluster/cluster-model.js';
import { LARGE_PROGRESS_PREFIX, partOfKeyNumber, PROGRESS_PAGES_PREFIX } from '../codecs/keys.js';
import {
  decodeProgress,
  encodeProgress,
  NAME_OVERHEAD_BYTES,
  type ProgressRecord,
} from '../codecs/progress-codec.js';
import { bytesOf } from '../codecs/value-size.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';
import { LargeProgress } from './large-progress.js';
import { PackedPages, pageRoom, readPage } from './packed-pages.js';

const ignore = (): void => undefined;

/** Room that is set aside for a machine's name at first. */
const MIN_NAME_LENGTH = 12;
/** What a record takes besides its job's id, names and bits. */
const RECORD_FRAME_BYTES = 40;
/** Tasks whose bits take one group of base64, and the characters of a group. */
const TASKS_PER_BASE64_GROUP = 24;
const BASE64_GROUP_CHARACTERS = 4;
/** What the version before left free in the value of a segment. */
const FORMER_SEGMENT_RESERVE_BYTES = 4096;

/** Applies a record of a job's progress, or of a part of it; `from`: the byte at which its bits begin, if known. */
type RecordMerger = (id: string, from: number | null, value: unknown) => void;

/** The progress of all jobs, on pages or in keys of their own. */
export class ProgressStore {
  private readonly pages: PackedPages;
  private readonly large = new Map<string, LargeProgress>();
  /** The longest name of a machine so far: room for names is set aside by it. */
  private nameLength = MIN_NAME_LENGTH;

  constructor(
    private readonly context: NodeContext,
    private readonly writer: FencedWriter,
    private readonly findJob: (id: string) => ActiveJob | undefined,
    private readonly findMachine: (name: string) => Machine | undefined,
  ) {
    this.pages = new PackedPages(writer, PROGRESS_PAGES_PREFIX, pageRoom(context.settings.maxValueBytes), {
      describe: (id) => this.describe(id),
      written: (id, value) => {
        this.applyWritten(id, decodeProgress(value));
      },
      move: (id, then) => {
        const job = this.findJob(id);
        if (job === undefined) then(true);
        else this.move(job, then);
      },
    });
  }

  /** Applies what an earlier leader wrote, in pages or in keys of a job's own, to the jobs. */
  load(
    pages: readonly StoredItem[],
    ownKeys: readonly StoredItem[],
    jobs: Iterable<ActiveJob>,
    /** Whether every machine that an earlier leader used is known; else a machine that is not known may exist. */
    allMachinesKnown: boolean,
  ): void {
    const loaded = new Set<ActiveJob>();
    const merge: RecordMerger = (id, from, value) => {
      const job = this.findJob(id);
      if (job === undefined) return;
      loaded.add(job);
      this.merge(job, from, value, allMachinesKnown);
    };
    for (const item of ownKeys) this.loadOwnKey(item, merge);
    let allPagesReadable = true;
    for (const item of pages) if (!this.loadPage(item, merge)) allPagesReadable = false;
    // Any job of that time may have been in a page that can't be read.
    if (!allPagesReadable) for (const job of jobs) if (!loaded.has(job)) job.progressUnreadable = true;
    this.moveSmallJobsToPages();
  }

  /** Returns whether the page could be read. */
  private loadPage(item: StoredItem, merge: RecordMerger): boolean {
    const entries = readPage(item.value);
    if (entries === null) this.context.error('progress.record_unreadable', { key: item.key });
    for (const [id, value] of Object.entries(entries ?? {})) merge(id, 0, value);
    this.pages.load(item, (id) => {
      const job = this.findJob(id);
      return job === undefined ? null : this.roomOf(job);
    });
    return entries !== null;
  }

  /** What has keys of its own but would have room on a page moves there: earlier versions had no pages. */
  private moveSmallJobsToPages(): void {
    for (const [id, large] of this.large) {
      const job = this.findJob(id);
      if (job === undefined || this.isLarge(job)) continue;
      this.large.delete(id);
      this.writePage(job, 'later', () => {
        for (const key of large.keys()) this.writer.remove(key);
      });
    }
  }

  private loadOwnKey(item: StoredItem, merge: RecordMerger): void {
    const [id, suffix] = item.key.slice(LARGE_PROGRESS_PREFIX.length).split('/');
    const job = this.findJob(id!);
    if (job === undefined) {
      this.writer.remove(item.key);
      return;
    }
    this.writer.rememberVersion(item.key, item.version);
    const keyNumber = Number(suffix ?? 0);
    const record = decodeProgress(item.value);
    merge(id!, record?.from ?? this.formerSegmentStart(keyNumber), item.value);
    if (record !== null)
      this.largeOf(job).adopt(item.key, partOfKeyNumber(keyNumber), record, bytesOf(item.value));
  }

  /**
   * The byte at which a segment begins that does not name it: the version before went by the limit on values of its time,
   * which the settings still name. Null if that is not known: then its bits are not used.
   */
  private formerSegmentStart(segment: number): number | null {
    if (segment === 0) return 0;
    const room = this.context.settings.formerMaxValueBytes - FORMER_SEGMENT_RESERVE_BYTES;
    const segmentBytes = Math.floor((room * 3) / 4);
    return segmentBytes > 0 && Number.isInteger(segment) ? segment * segmentBytes : null;
  }

  private largeOf(job: ActiveJob): LargeProgress {
    const existing = this.large.get(job.id);
    if (existing !== undefined) return existing;
    const room = pageRoom(this.context.settings.maxValueBytes);
    const large = new LargeProgress(this.writer, job, room, this.nameLength, () => this.machinesOf(job));
    this.large.set(job.id, large);
    return large;
  }

  private merge(job: ActiveJob, from: number | null, value: unknown, allMachinesKnown: boolean): void {
    const record = decodeProgress(value);
    if (record === null) {
      // Never taken for absence: where its tasks are can't be known, so none is started by this leader.
      this.context.error('progress.record_unreadable', { job: job.id });
      job.progressUnreadable = true;
      return;
    }
    if (from !== null) {
      job.done.merge(from, record.bits);
      job.durablyDone.merge(from, record.bits);
    }
    for (const name of record.machines) {
      job.recordedMachines.add(name);
      this.nameLength = Math.max(this.nameLength, name.length);
      const machine = this.findMachine(name);
      if (machine?.awaitingReconciliation === true) job.unreconciledMachines.add(name);
      if (machine === undefined && !allMachinesKnown) job.progressUnreadable = true;
    }
    if (record.machines.length > 0 || job.done.count > 0) job.startedBefore = true;
  }

  /** The largest that the job's record can become, in characters of JSON with its key. */
  private roomOf(job: ActiveJob): number {
    const { tasks } = job.spec;
    const names = tasks * (this.nameLength + NAME_OVERHEAD_BYTES);
    const bits = BASE64_GROUP_CHARACTERS * Math.ceil(tasks / TASKS_PER_BASE64_GROUP);
    return job.id.length + RECORD_FRAME_BYTES + names + bits;
  }

  private isLarge(job: ActiveJob): boolean {
    return !this.pages.has(job.id) && this.roomOf(job) > this.pages.largestRecord;
  }

  /** Names of machines that hold or may hold tasks of the job; one that is confirmed to be gone is left out. */
  private machinesOf(job: ActiveJob): string[] {
    const names = new Set<string>();
    for (const attempt of job.liveAttempts.values()) names.add(attempt.machine.name);
    for (const name of job.unreconciledMachines)
      if (this.findMachine(name)?.awaitingReconciliation === true) names.add(name);
    for (const name of job.recordedMachines)
      if ((this.findMachine(name)?.unknownTaskCount ?? 0) > 0) names.add(name);
    return [...names];
  }

  private describe(id: string): unknown {
    const job = this.findJob(id);
    if (job === undefined) return null;
    job.progressDirty = false;
    const machines = this.machinesOf(job);
    // Whoever is left out counts as not on record from now on, not from the confirmation: a start there in between would
    // else be on no record, and be started again elsewhere by the next leader.
    const named = new Set(machines);
    for (const name of [...job.recordedMachines]) if (!named.has(name)) job.recordedMachines.delete(name);
    return encodeProgress({ machines, bits: job.done.encode(0, job.done.bytes.length), from: null });
  }

  private applyWritten(id: string, record: ProgressRecord | null): void {
    const job = this.findJob(id);
    if (job === undefined || record === null) return;
    for (const name of record.machines) job.recordedMachines.add(name);
    if (job.durablyDone.count < job.done.count) job.durablyDone.merge(0, record.bits);
  }

  /** Writes which machines hold the job's tasks; calls `then` once that is on record, `refused` if it can't be. */
  recordPlacement(job: ActiveJob, then: () => void, refused: () => void = ignore): void {
    this.write(job, 'now', then, refused);
  }

  private move(job: ActiveJob, then: (ok: boolean) => void): void {
    const onWritten = (): void => {
      then(true);
    };
    const onRefused = (): void => {
      then(false);
    };
    this.write(job, 'later', onWritten, onRefused);
  }

  private write(job: ActiveJob, urgent: WriteUrgency, then: () => void, refused: () => void): void {
    for (const attempt of job.liveAttempts.values())
      this.nameLength = Math.max(this.nameLength, attempt.machine.name.length);
    if (this.large.has(job.id) || this.isLarge(job)) this.largeOf(job).write(urgent, then, refused);
    else this.writePage(job, urgent, then, refused);
  }

  private writePage(job: ActiveJob, urgent: WriteUrgency, then: () => void, refused?: () => void): void {
    this.pages.put(job.id, this.roomOf(job), urgent, then, refused);
  }

  /** Writes the progress that was made since the last time. */
  flush(jobs: Iterable<ActiveJob>): void {
    for (const job of jobs)
      if (job.progressDirty && job.phase === 'active') this.write(job, 'later', ignore, ignore);
  }

  /** The job has ended: removes its progress. */
  drop(job: ActiveJob): void {
    this.pages.drop(job.id);
    const large = this.large.get(job.id);
    this.large.delete(job.id);
    for (const key of large?.keys() ?? []) this.writer.remove(key);
  }

  /** Writes pages that still hold jobs that were dropped. */
  rewriteStalePages(): void {
    this.pages.rewriteStalePages();
  }

  /** Empties the next page that is too large or of the version before, and writes one large job in the layout of today. */
  compact(jobs: Iterable<ActiveJob>): void {
    this.pages.compact();
    for (const job of jobs) {
      const large = this.large.get(job.id);
      if (large?.needsLayoutChange !== true || job.phase !== 'active') continue;
      large.write('later', ignore, ignore);
      return;
    }
  }
}
