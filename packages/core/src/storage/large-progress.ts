/**
 * Progress of a single job that is too large for a page, split into parts with separate keys. Each part contains a range of the
 * bitset of done tasks, with its byte offset, and a subset of the machines; the progress is the union of all parts.
 *
 * The previous version can read the parts too: it uses the bits of part 0 and the machines of all parts. It takes the bits of
 * the other parts for offsets beyond the job's tasks, so it may start done tasks again but never counts an unfinished task as
 * done.
 */
import { progressKey } from '../codecs/keys.js';
import {
  decodeProgress,
  encodeProgress,
  NAME_OVERHEAD_BYTES,
  type ProgressRecord,
} from '../codecs/progress-codec.js';
import type { TaskBitset } from '../domain/task-bitset.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';

/** The envelope `{"machines":[],"bits":"","from":...}` plus a reserve. */
const PART_ENVELOPE_BYTES = 160;
const MIN_PART_CAPACITY_BYTES = 16;
const MIN_BITSET_BYTES_PER_PART = 3;
/** Fraction of a part's capacity for the bitset; the rest is for machine names. */
const BITSET_CAPACITY_FRACTION = 1 / 2;
/** More parts than the largest job has on as many machines as tasks, at values of 1 KiB. */
const MAX_PARTS = 20_000;
/** Bytes encoded by one base64 character. */
const BYTES_PER_BASE64_CHARACTER = 0.75;

/** Length of the base64 encoding of so many bytes. */
const base64Length = (bytes: number): number => Math.ceil(bytes / 3) * 4;

/** The fields of a job that its progress is written from. */
export interface LargeJob {
  /** The job's id, part of the keys. */
  readonly id: string;
  /** Tasks that are done, whether or not that has been written. */
  readonly done: TaskBitset;
  /** Tasks that are recorded as done in the store. */
  readonly durablyDone: TaskBitset;
  /** Machines that are recorded in the store as holding tasks of the job. */
  recordedMachines: Set<string>;
  /** Whether there is progress that has not been written. */
  progressDirty: boolean;
}

interface Part {
  /** Machines that are recorded in this part or are being written to it. */
  readonly machines: Set<string>;
  /** The part's range of the bitset as last read or sent, in base64. */
  bits: string;
}

/** Reads and writes the progress parts of one large job. */
export class LargeProgress {
  /** Bytes of the bitset of done tasks per part. */
  private readonly bitsetBytesPerPart: number;
  /** Parts that are stored or used, by index. A stored index may be far beyond the others. */
  private readonly parts = new Map<number, Part>();
  /** Offset of the key numbers of parts 1 and up, changed with each layout so that none overwrites the keys of another. */
  private partNumberBase: number | null = null;
  /** Indices of parts that differ from what was last sent. */
  private readonly changedParts = new Set<number>();
  /** Keys in another layout with their part numbers; removed once everything has been written in the current layout. */
  private readonly obsoleteKeys = new Map<string, number>();
  /** Writes that wait for the layout change in progress; null if there is none. */
  private writesAwaitingLayout: (() => void)[] | null = null;

  /**
   * `maxPartBytes`: maximum size of a part. `maxNameLength`: length of the longest machine name. `currentMachines`: returns the
   * names of the machines that hold or may hold tasks of the job now.
   */
  constructor(
    private readonly writer: FencedWriter,
    private readonly job: LargeJob,
    private readonly maxPartBytes: number,
    private readonly maxNameLength: number,
    private readonly currentMachines: () => readonly string[],
  ) {
    const capacity = Math.max(maxPartBytes - PART_ENVELOPE_BYTES, MIN_PART_CAPACITY_BYTES);
    this.bitsetBytesPerPart = Math.max(
      MIN_BITSET_BYTES_PER_PART,
      Math.floor(capacity * BITSET_CAPACITY_FRACTION * BYTES_PER_BASE64_CHARACTER),
    );
  }

  private get namesPerPart(): number {
    const bitsetLength = base64Length(Math.min(this.bitsetBytesPerPart, this.job.done.bytes.length));
    const nameCapacity = this.maxPartBytes - PART_ENVELOPE_BYTES - bitsetLength;
    return Math.max(1, Math.floor(nameCapacity / (this.maxNameLength + NAME_OVERHEAD_BYTES)));
  }

  private partAt(index: number): Part {
    let part = this.parts.get(index);
    if (part === undefined) {
      part = { machines: new Set(), bits: '' };
      this.parts.set(index, part);
    }
    return part;
  }

  private keyOf(index: number): string {
    return progressKey(this.job.id, index === 0 ? 0 : (this.partNumberBase ?? 0) + index);
  }

  /** Loads a stored key. `partNumber` is null for a segment that was written by the previous version. */
  loadKey(key: string, partNumber: number | null, record: ProgressRecord, valueBytes: number): void {
    const from = partNumber === 0 ? 0 : record.from;
    const index = from === null ? -1 : from / this.bitsetBytesPerPart;
    const fits =
      valueBytes <= this.maxPartBytes && Buffer.from(record.bits, 'base64').length <= this.bitsetBytesPerPart;
    const numberBase = partNumber === null || partNumber === 0 ? this.partNumberBase : partNumber - index;
    // A part beyond the last possible one is rewritten like one of another layout.
    const isPart = partNumber !== null && Number.isInteger(index) && index >= 0 && index < MAX_PARTS;
    if (!isPart || !fits || (this.partNumberBase ?? numberBase) !== numberBase) {
      this.obsoleteKeys.set(key, partNumber ?? 0);
      return;
    }
    this.partNumberBase = numberBase;
    const part = this.partAt(index);
    for (const name of record.machines) part.machines.add(name);
    part.bits = record.bits;
  }

  /** Whether some stored keys are in another layout and have to be rewritten. */
  get needsLayoutChange(): boolean {
    return this.obsoleteKeys.size > 0;
  }

  private bitsOf(index: number): string {
    return this.job.done.encode(index * this.bitsetBytesPerPart, (index + 1) * this.bitsetBytesPerPart);
  }

  /** Assigns every machine to a part, keeping existing assignments, and marks the parts that have to be written. */
  private assignMachines(): void {
    const current = new Set(this.currentMachines());
    const partCount = Math.ceil(this.job.done.bytes.length / this.bitsetBytesPerPart);
    for (let index = 0; index < Math.max(partCount, 1); index++) this.partAt(index);
    const assigned = this.pruneAssignments(current);
    const capacity = this.namesPerPart;
    let index = 0;
    for (const name of current) {
      if (assigned.has(name)) continue;
      while (this.partAt(index).machines.size >= capacity) index++;
      this.partAt(index).machines.add(name);
      this.changedParts.add(index);
    }
  }

  /** Removes machines that no longer hold tasks and duplicate assignments; returns the machines that keep their part. */
  private pruneAssignments(current: ReadonlySet<string>): ReadonlySet<string> {
    const assigned = new Set<string>();
    for (const [index, part] of this.parts) {
      for (const name of [...part.machines]) {
        if (current.has(name) && !assigned.has(name)) assigned.add(name);
        else {
          part.machines.delete(name);
          this.changedParts.add(index);
        }
      }
      if (this.bitsOf(index) !== part.bits) this.changedParts.add(index);
    }
    return assigned;
  }

  /** Writes the changed parts; calls `onRecorded` once all of them are confirmed, or `onRefused` if the store refuses one. */
  write(urgency: WriteUrgency, onRecorded: () => void, onRefused: () => void): void {
    if (this.writesAwaitingLayout !== null) {
      this.writesAwaitingLayout.push(() => {
        this.write(urgency, onRecorded, onRefused);
      });
      return;
    }
    if (this.obsoleteKeys.size > 0) {
      this.changeLayout(urgency, onRecorded, onRefused);
      return;
    }
    this.assignMachines();
    const indices = new Set(this.changedParts);
    // Also include parts that were sent but not confirmed: the caller has to wait for them too.
    for (const [index, part] of this.parts)
      for (const name of part.machines) if (!this.job.recordedMachines.has(name)) indices.add(index);
    this.putParts([...indices], urgency, onRecorded, onRefused);
  }

  private putParts(
    indices: readonly number[],
    urgency: WriteUrgency,
    onRecorded: () => void,
    onRefused: () => void,
  ): void {
    let remaining = indices.length;
    let failed = false;
    if (remaining === 0) onRecorded();
    for (const index of indices) {
      const onWritten = (value: unknown): void => {
        this.applyWritten(decodeProgress(value));
        if (--remaining === 0 && !failed) onRecorded();
      };
      const onPartRefused = (): void => {
        this.changedParts.add(index);
        if (!failed) onRefused();
        failed = true;
      };
      const options = { urgency, onRefused: onPartRefused };
      this.writer.put(this.keyOf(index), () => this.encodePart(index), onWritten, options);
    }
  }

  private applyWritten(record: ProgressRecord | null): void {
    if (record === null) return;
    this.job.durablyDone.merge(record.from ?? 0, record.bits);
    for (const name of record.machines) this.job.recordedMachines.add(name);
  }

  private encodePart(index: number): unknown {
    this.job.progressDirty = false;
    this.assignMachines();
    const part = this.partAt(index);
    // A machine that is left out counts as not recorded from now on, because the write may be executed at any moment.
    const assigned = new Set([...this.parts.values()].flatMap((other) => [...other.machines]));
    for (const name of [...this.job.recordedMachines])
      if (!assigned.has(name)) this.job.recordedMachines.delete(name);
    part.bits = this.bitsOf(index);
    this.changedParts.delete(index);
    return encodeProgress({
      machines: [...part.machines],
      bits: part.bits,
      from: index * this.bitsetBytesPerPart,
    });
  }

  /**
   * Rewrites the progress from another layout into the current one, under keys that were not used before. Parts 1 and up are
   * written first, then part 0, which may contain less than before, and obsolete keys are removed last. After a crash at any
   * point, all progress is still stored under some key.
   */
  private changeLayout(urgency: WriteUrgency, onRecorded: () => void, onRefused: () => void): void {
    this.writesAwaitingLayout = [];
    const oldKeys = this.beginLayout();
    const onFailed = (): void => {
      for (const [key, partNumber] of oldKeys) this.obsoleteKeys.set(key, partNumber);
      this.endLayoutChange(onRefused);
    };
    const onAllWritten = (): void => {
      this.obsoleteKeys.clear();
      for (const key of oldKeys.keys()) if (key !== this.keyOf(0)) this.writer.remove(key);
      this.endLayoutChange(onRecorded);
    };
    const putFirstPart = (): void => {
      this.putParts([0], urgency, onAllWritten, onFailed);
    };
    const furtherParts = [...this.parts.keys()].filter((index) => index > 0);
    if (furtherParts.length === 0) putFirstPart();
    else this.putParts(furtherParts, urgency, putFirstPart, onFailed);
  }

  /** Starts a layout under new keys; returns all keys of the old layouts with their part numbers. */
  private beginLayout(): ReadonlyMap<string, number> {
    const oldKeys = new Map(this.obsoleteKeys);
    for (const index of this.parts.keys())
      if (index > 0) oldKeys.set(this.keyOf(index), (this.partNumberBase ?? 0) + index);
    this.partNumberBase = Math.max(0, ...oldKeys.values());
    this.parts.clear();
    this.changedParts.clear();
    this.assignMachines();
    return oldKeys;
  }

  /** Ends the layout change, and starts the writes that waited for it after `callback`. */
  private endLayoutChange(callback: () => void): void {
    const waitingWrites = this.writesAwaitingLayout ?? [];
    this.writesAwaitingLayout = null;
    callback();
    for (const write of waitingWrites) write();
  }

  /** Returns all keys of the job's progress, to be removed when the job ends. */
  keys(): string[] {
    const ownKeys = [...this.parts.keys()].map((index) => this.keyOf(index));
    return [...new Set([this.keyOf(0), ...ownKeys, ...this.obsoleteKeys.keys()])];
  }
}
