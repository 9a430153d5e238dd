/**
 * Stores which tasks of a job are done and which machines may hold its tasks. Jobs of ordinary size share pages; a job with a
 * very large number of tasks has separate keys.
 */
import type { ActiveJob, Machine } from '../cluster/cluster-model.js';
import { LARGE_PROGRESS_PREFIX, partNumberOfKeyNumber, PROGRESS_PAGES_PREFIX } from '../codecs/keys.js';
import {
  decodeProgress,
  encodeProgress,
  NAME_OVERHEAD_BYTES,
  type ProgressRecord,
} from '../codecs/progress-codec.js';
import { jsonByteLength } from '../codecs/value-size.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';
import { LargeProgress } from './large-progress.js';
import { PackedPages, pageCapacity, readPage } from './packed-pages.js';

const noop = (): void => undefined;

/** Initial space reserved for a machine name, in characters. */
const INITIAL_MAX_NAME_LENGTH = 12;
/** Size of a record besides the job id, the machine names and the bitset. */
const RECORD_ENVELOPE_BYTES = 40;
/** Tasks whose bits are encoded by one base64 group, and the characters in a group. */
const TASKS_PER_BASE64_GROUP = 24;
const BASE64_GROUP_CHARACTERS = 4;
/** Bytes that the previous version left free in the value of a segment. */
const LEGACY_SEGMENT_RESERVE_BYTES = 4096;

/** Applies a stored progress record of a job, or of a part of it. `from`: byte offset of its bits; null if unknown. */
type RecordMerger = (id: string, from: number | null, value: unknown) => void;

/** Loads and writes the progress of all jobs, on shared pages or under separate keys. */
export class ProgressStore {
  private readonly pages: PackedPages;
  private readonly large = new Map<string, LargeProgress>();
  /** Length of the longest machine name so far; determines the space reserved for names. */
  private maxNameLength = INITIAL_MAX_NAME_LENGTH;

  constructor(
    private readonly context: NodeContext,
    private readonly writer: FencedWriter,
    private readonly findJob: (id: string) => ActiveJob | undefined,
    private readonly findMachine: (name: string) => Machine | undefined,
  ) {
    this.pages = new PackedPages(
      writer,
      PROGRESS_PAGES_PREFIX,
      pageCapacity(context.settings.maxValueBytes),
      {
        encode: (id) => this.encodeRecord(id),
        onWritten: (id, value) => {
          this.applyWritten(id, decodeProgress(value));
        },
        move: (id, onMoved) => {
          const job = this.findJob(id);
          if (job === undefined) onMoved(true);
          else this.move(job, onMoved);
        },
      },
    );
  }

  /** Applies the progress that earlier leaders wrote, on pages (`pages`) or under separate keys (`largeItems`), to the jobs. */
  load(
    pages: readonly StoredItem[],
    largeItems: readonly StoredItem[],
    jobs: Iterable<ActiveJob>,
    /** Whether every machine that an earlier leader used is known; otherwise an unknown machine may still exist. */
    allMachinesKnown: boolean,
  ): void {
    const loaded = new Set<ActiveJob>();
    const merge: RecordMerger = (id, from, value) => {
      const job = this.findJob(id);
      if (job === undefined) return;
      loaded.add(job);
      this.merge(job, from, value, allMachinesKnown);
    };
    for (const item of largeItems) this.loadLargeItem(item, merge);
    let allPagesReadable = true;
    for (const item of pages) if (!this.loadPage(item, merge)) allPagesReadable = false;
    // An unreadable page may have contained the progress of any of these jobs.
    if (!allPagesReadable) for (const job of jobs) if (!loaded.has(job)) job.progressUnreadable = true;
    this.moveSmallJobsToPages();
  }

  /** Loads one page; returns false if it is unreadable. */
  private loadPage(item: StoredItem, merge: RecordMerger): boolean {
    const entries = readPage(item.value);
    if (entries === null) this.context.error('progress.record_unreadable', { key: item.key });
    for (const [id, value] of Object.entries(entries ?? {})) merge(id, 0, value);
    this.pages.load(item, (id) => {
      const job = this.findJob(id);
      return job === undefined ? null : this.maxRecordSizeOf(job);
    });
    return entries !== null;
  }

  /** Moves progress from separate keys to a page where it fits: earlier versions had no pages. */
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

  private loadLargeItem(item: StoredItem, merge: RecordMerger): void {
    const [id, suffix] = item.key.slice(LARGE_PROGRESS_PREFIX.length).split('/');
    const job = this.findJob(id!);
    if (job === undefined) {
      this.writer.remove(item.key);
      return;
    }
    this.writer.rememberVersion(item.key, item.version);
    const keyNumber = Number(suffix ?? 0);
    const record = decodeProgress(item.value);
    merge(id!, record?.from ?? this.legacySegmentStart(keyNumber), item.value);
    if (record !== null)
      this.largeOf(job).loadKey(
        item.key,
        partNumberOfKeyNumber(keyNumber),
        record,
        jsonByteLength(item.value),
      );
  }

  /**
   * Returns the byte offset of a segment whose record does not contain it. The previous version derived the offset from the
   * value size limit of its time, which is still in the settings. Null if it is unknown; the segment's bits are then ignored.
   */
  private legacySegmentStart(segment: number): number | null {
    if (segment === 0) return 0;
    const capacity = this.context.settings.formerMaxValueBytes - LEGACY_SEGMENT_RESERVE_BYTES;
    const segmentBytes = Math.floor((capacity * 3) / 4);
    return segmentBytes > 0 && Number.isInteger(segment) ? segment * segmentBytes : null;
  }

  private largeOf(job: ActiveJob): LargeProgress {
    const existing = this.large.get(job.id);
    if (existing !== undefined) return existing;
    const maxPartBytes = pageCapacity(this.context.settings.maxValueBytes);
    const large = new LargeProgress(this.writer, job, maxPartBytes, this.maxNameLength, () =>
      this.machinesOf(job),
    );
    this.large.set(job.id, large);
    return large;
  }

  private merge(job: ActiveJob, from: number | null, value: unknown, allMachinesKnown: boolean): void {
    const record = decodeProgress(value);
    if (record === null) {
      // Not treated as missing: it is unknown where the job's tasks are, so this leader starts none of them.
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
      this.maxNameLength = Math.max(this.maxNameLength, name.length);
      const machine = this.findMachine(name);
      if (machine?.awaitingReconciliation === true) job.unreconciledMachines.add(name);
      if (machine === undefined && !allMachinesKnown) job.progressUnreadable = true;
    }
    if (record.machines.length > 0 || job.done.count > 0) job.startedBefore = true;
  }

  /** Maximum size that the job's record can reach, in characters of JSON including its key. */
  private maxRecordSizeOf(job: ActiveJob): number {
    const { tasks } = job.spec;
    const names = tasks * (this.maxNameLength + NAME_OVERHEAD_BYTES);
    const bits = BASE64_GROUP_CHARACTERS * Math.ceil(tasks / TASKS_PER_BASE64_GROUP);
    return job.id.length + RECORD_ENVELOPE_BYTES + names + bits;
  }

  private isLarge(job: ActiveJob): boolean {
    return !this.pages.has(job.id) && this.maxRecordSizeOf(job) > this.pages.maxRecordSize;
  }

  /** Names of the machines that hold or may hold tasks of the job, without those confirmed to be gone. */
  private machinesOf(job: ActiveJob): string[] {
    const names = new Set<string>();
    for (const attempt of job.liveAttempts.values()) names.add(attempt.machine.name);
    for (const name of job.unreconciledMachines)
      if (this.findMachine(name)?.awaitingReconciliation === true) names.add(name);
    for (const name of job.recordedMachines)
      if ((this.findMachine(name)?.unknownTaskCount ?? 0) > 0) names.add(name);
    return [...names];
  }

  private encodeRecord(id: string): unknown {
    const job = this.findJob(id);
    if (job === undefined) return null;
    job.progressDirty = false;
    const machines = this.machinesOf(job);
    // A machine that is left out counts as not recorded from now on, not only from the confirmation: otherwise a task started
    // there in between would not be recorded, and the next leader would start it again on another machine.
    const included = new Set(machines);
    for (const name of [...job.recordedMachines]) if (!included.has(name)) job.recordedMachines.delete(name);
    return encodeProgress({ machines, bits: job.done.encode(0, job.done.bytes.length), from: null });
  }

  private applyWritten(id: string, record: ProgressRecord | null): void {
    const job = this.findJob(id);
    if (job === undefined || record === null) return;
    for (const name of record.machines) job.recordedMachines.add(name);
    if (job.durablyDone.count < job.done.count) job.durablyDone.merge(0, record.bits);
  }

  /** Writes which machines hold the job's tasks; calls `onRecorded` once confirmed, `onRefused` if the store refuses it. */
  recordPlacement(job: ActiveJob, onRecorded: () => void, onRefused: () => void = noop): void {
    this.write(job, 'now', onRecorded, onRefused);
  }

  private move(job: ActiveJob, onMoved: (ok: boolean) => void): void {
    const onWritten = (): void => {
      onMoved(true);
    };
    const onRefused = (): void => {
      onMoved(false);
    };
    this.write(job, 'later', onWritten, onRefused);
  }

  private write(job: ActiveJob, urgency: WriteUrgency, onRecorded: () => void, onRefused: () => void): void {
    for (const attempt of job.liveAttempts.values())
      this.maxNameLength = Math.max(this.maxNameLength, attempt.machine.name.length);
    if (this.large.has(job.id) || this.isLarge(job)) this.largeOf(job).write(urgency, onRecorded, onRefused);
    else this.writePage(job, urgency, onRecorded, onRefused);
  }

  private writePage(
    job: ActiveJob,
    urgency: WriteUrgency,
    onRecorded: () => void,
    onRefused?: () => void,
  ): void {
    this.pages.put(job.id, this.maxRecordSizeOf(job), urgency, onRecorded, onRefused);
  }

  /** Writes the progress that active jobs have made since the last call. */
  flush(jobs: Iterable<ActiveJob>): void {
    for (const job of jobs)
      if (job.progressDirty && job.phase === 'active') this.write(job, 'later', noop, noop);
  }

  /** Removes the stored progress of a job that has ended. */
  drop(job: ActiveJob): void {
    this.pages.drop(job.id);
    const large = this.large.get(job.id);
    this.large.delete(job.id);
    for (const key of large?.keys() ?? []) this.writer.remove(key);
  }

  /** Rewrites pages that still contain the progress of dropped jobs. */
  rewriteStalePages(): void {
    this.pages.rewriteStalePages();
  }

  /** Empties the next page that is too large or of the previous version, and rewrites one large job in the current layout. */
  compact(jobs: Iterable<ActiveJob>): void {
    this.pages.compact();
    for (const job of jobs) {
      const large = this.large.get(job.id);
      if (large?.needsLayoutChange !== true || job.phase !== 'active') continue;
      large.write('later', noop, noop);
      return;
    }
  }
}
