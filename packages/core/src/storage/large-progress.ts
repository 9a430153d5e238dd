/**
 * Progress of one job that is too large for a page, in keys of its own: each part has a share of the done bits, from a byte
 * that it names, and a share of the machines. What holds is what all parts together contain.
 *
 * The version before reads them too: it takes the bits of part 0 and the machines of all parts. The bits of other parts it
 * finds at places where no task is, so tasks may be started again, but none counts as done that is not.
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

/** `{"machines":[],"bits":"","from":...}` and some reserve. */
const PART_FRAME_BYTES = 160;
const MIN_PART_ROOM = 16;
const MIN_BITS_PER_PART_BYTES = 3;
/** Part of a part's room that bits may take; the rest is for names. */
const BITS_FRACTION = 1 / 2;
/** Bytes that a character of base64 holds. */
const BYTES_PER_BASE64_CHARACTER = 0.75;

/** Characters of base64 that so many bytes take. */
const base64Length = (bytes: number): number => Math.ceil(bytes / 3) * 4;

/** What the progress of a large job needs of the job. */
export interface LargeJob {
  readonly id: string;
  /** Tasks that are done. */
  readonly done: TaskBitset;
  /** Of these, the tasks that are on record as done. */
  readonly durablyDone: TaskBitset;
  /** Machines that are on record as holding tasks of the job. */
  recordedMachines: Set<string>;
  /** There is progress that was not written. */
  progressDirty: boolean;
}

interface Part {
  /** Machines that are on record here, or are being written. */
  readonly machines: Set<string>;
  bits: string;
}

/** The parts of one large job's progress. */
export class LargeProgress {
  /** Bytes of done bits in a part. */
  private readonly bitsPerPart: number;
  private parts: Part[] = [];
  /** Parts from the second on are numbered from here: a new layout never overwrites the keys of another. */
  private firstNumber: number | null = null;
  /** Parts that differ from what was last sent. */
  private readonly changed = new Set<number>();
  /** Keys in another layout, and their numbers; to be removed once everything is written in this layout. */
  private readonly otherLayout = new Map<string, number>();
  /** Writes that wait for the change of layout under way; null while there is none. */
  private waitingForLayout: (() => void)[] | null = null;

  /**
   * `roomLimit`: bytes that a part may have. `nameLength`: length of the longest machine name. `currentMachines`: names of
   * the machines that hold or may hold tasks of the job now.
   */
  constructor(
    private readonly writer: FencedWriter,
    private readonly job: LargeJob,
    private readonly roomLimit: number,
    private readonly nameLength: number,
    private readonly currentMachines: () => readonly string[],
  ) {
    const room = Math.max(roomLimit - PART_FRAME_BYTES, MIN_PART_ROOM);
    this.bitsPerPart = Math.max(
      MIN_BITS_PER_PART_BYTES,
      Math.floor(room * BITS_FRACTION * BYTES_PER_BASE64_CHARACTER),
    );
  }

  private get namesPerPart(): number {
    const bits = base64Length(Math.min(this.bitsPerPart, this.job.done.bytes.length));
    const room = this.roomLimit - PART_FRAME_BYTES - bits;
    return Math.max(1, Math.floor(room / (this.nameLength + NAME_OVERHEAD_BYTES)));
  }

  private part(index: number): Part {
    for (let i = this.parts.length; i <= index; i++) this.parts.push({ machines: new Set(), bits: '' });
    return this.parts[index]!;
  }

  private keyOf(index: number): string {
    return progressKey(this.job.id, index === 0 ? 0 : (this.firstNumber ?? 0) + index);
  }

  /** A key as it was read; `size` in bytes. `number` is null for a segment of the version before. */
  adopt(key: string, number: number | null, record: ProgressRecord, size: number): void {
    const from = number === 0 ? 0 : record.from;
    const index = from === null ? -1 : from / this.bitsPerPart;
    const fits = size <= this.roomLimit && Buffer.from(record.bits, 'base64').length <= this.bitsPerPart;
    const firstNumber = number === null || number === 0 ? this.firstNumber : number - index;
    const isPart = number !== null && Number.isInteger(index) && index >= 0;
    if (!isPart || !fits || (this.firstNumber ?? firstNumber) !== firstNumber) {
      this.otherLayout.set(key, number ?? 0);
      return;
    }
    this.firstNumber = firstNumber;
    const part = this.part(index);
    for (const name of record.machines) part.machines.add(name);
    part.bits = record.bits;
  }

  /** Whether keys are in a layout that has to be written anew. */
  get needsLayoutChange(): boolean {
    return this.otherLayout.size > 0;
  }

  private bitsOf(index: number): string {
    return this.job.done.encode(index * this.bitsPerPart, (index + 1) * this.bitsPerPart);
  }

  /** Assigns every machine to a part, those that have one to the same, and notes which parts must be written. */
  private assignMachines(): void {
    const current = new Set(this.currentMachines());
    const partCount = Math.ceil(this.job.done.bytes.length / this.bitsPerPart);
    this.part(Math.max(this.parts.length, partCount, 1) - 1);
    const assigned = this.keepAssigned(current);
    const capacity = this.namesPerPart;
    let index = 0;
    for (const name of current) {
      if (assigned.has(name)) continue;
      while (this.part(index).machines.size >= capacity) index++;
      this.part(index).machines.add(name);
      this.changed.add(index);
    }
  }

  /** Removes machines that hold no tasks any more, or stand twice; returns those that keep their part. */
  private keepAssigned(current: ReadonlySet<string>): ReadonlySet<string> {
    const assigned = new Set<string>();
    this.parts.forEach((part, index) => {
      for (const name of [...part.machines]) {
        if (current.has(name) && !assigned.has(name)) assigned.add(name);
        else {
          part.machines.delete(name);
          this.changed.add(index);
        }
      }
      if (this.bitsOf(index) !== part.bits) this.changed.add(index);
    });
    return assigned;
  }

  /** Writes what changed, and calls `then` once all of it is on record, or `refused` if the store won't take it. */
  write(urgent: WriteUrgency, then: () => void, refused: () => void): void {
    if (this.waitingForLayout !== null) {
      this.waitingForLayout.push(() => {
        this.write(urgent, then, refused);
      });
      return;
    }
    if (this.otherLayout.size > 0) {
      this.changeLayout(urgent, then, refused);
      return;
    }
    this.assignMachines();
    const indices = new Set(this.changed);
    // Sent already but not confirmed: the caller waits for that too.
    this.parts.forEach((part, index) => {
      for (const name of part.machines) if (!this.job.recordedMachines.has(name)) indices.add(index);
    });
    this.putParts([...indices], urgent, then, refused);
  }

  private putParts(
    indices: readonly number[],
    urgent: WriteUrgency,
    then: () => void,
    refused: () => void,
  ): void {
    let remaining = indices.length;
    let failed = false;
    if (remaining === 0) then();
    for (const index of indices) {
      const onWritten = (value: unknown): void => {
        this.applyWritten(decodeProgress(value));
        if (--remaining === 0 && !failed) then();
      };
      const onRefused = (): void => {
        this.changed.add(index);
        if (!failed) refused();
        failed = true;
      };
      const options = { urgency: urgent, onRefused };
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
    const part = this.part(index);
    // Whoever is left out counts as not on record from now on: the write may be executed at any moment.
    const named = new Set(this.parts.flatMap((other) => [...other.machines]));
    for (const name of [...this.job.recordedMachines])
      if (!named.has(name)) this.job.recordedMachines.delete(name);
    part.bits = this.bitsOf(index);
    this.changed.delete(index);
    return encodeProgress({
      machines: [...part.machines],
      bits: part.bits,
      from: index * this.bitsPerPart,
    });
  }

  /**
   * From another layout into this one, in keys that none had before: all further parts are written first, then part 0,
   * which may hold less from then on; what is left over is removed last. A crash in between leaves everything on record
   * somewhere.
   */
  private changeLayout(urgent: WriteUrgency, then: () => void, refused: () => void): void {
    this.waitingForLayout = [];
    const oldKeys = this.beginLayout();
    const onFailed = (): void => {
      for (const [key, number] of oldKeys) this.otherLayout.set(key, number);
      this.endLayoutChange(refused);
    };
    const onAllWritten = (): void => {
      this.otherLayout.clear();
      for (const key of oldKeys.keys()) if (key !== this.keyOf(0)) this.writer.remove(key);
      this.endLayoutChange(then);
    };
    const putFirst = (): void => {
      this.putParts([0], urgent, onAllWritten, onFailed);
    };
    const further = this.parts.map((_, index) => index).filter((index) => index > 0);
    if (further.length === 0) putFirst();
    else this.putParts(further, urgent, putFirst, onFailed);
  }

  /** Begins a layout in new keys; returns all keys of the old ones with their numbers. */
  private beginLayout(): ReadonlyMap<string, number> {
    const oldKeys = new Map(this.otherLayout);
    this.parts.forEach((_, index) => {
      if (index > 0) oldKeys.set(this.keyOf(index), (this.firstNumber ?? 0) + index);
    });
    this.firstNumber = Math.max(0, ...oldKeys.values());
    this.parts = [];
    this.changed.clear();
    this.assignMachines();
    return oldKeys;
  }

  private endLayoutChange(report: () => void): void {
    const waiting = this.waitingForLayout ?? [];
    this.waitingForLayout = null;
    report();
    for (const write of waiting) write();
  }

  /** All keys of the job's progress, to be removed with it. */
  keys(): string[] {
    const count = Math.max(this.parts.length, 1);
    const ownKeys = Array.from({ length: count }, (_, index) => this.keyOf(index));
    return [...new Set([...ownKeys, ...this.otherLayout.keys()])];
  }
}
