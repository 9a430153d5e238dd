/**
 * Progress of one job that is too large for a page, in keys of its own: each part has a share of the done
 * bits, from a byte that it names, and a share of the machines. What holds is what all parts say together.
 *
 * The version before reads them too: it takes the bits of part 0 and the machines of all parts. TaskBitset of the
 * other parts it finds at places where no task is, so tasks may be started again, but none counts as done
 * that is not.
 */
import { progressKey } from '../codecs/keys.js';
import { decodeProgress, encodeProgress, type ProgressRecord } from '../codecs/progress-codec.js';
import type { TaskBitset } from '../domain/task-bitset.js';
import type { WriteUrgency, FencedWriter } from './fenced-writer.js';

/** `{"machines":[],"bits":"","from":...}` and some reserve. */
const FRAME = 160;

export interface LargeJob {
  readonly id: string;
  readonly done: TaskBitset;
  readonly durablyDone: TaskBitset;
  recordedMachines: Set<string>;
  progressDirty: boolean;
}

interface Part {
  /** Machines that are on record here, or are being written. */
  readonly names: Set<string>;
  bits: string;
}

export class LargeProgress {
  /** Bytes of done bits in a part. */
  private readonly share: number;
  private parts: Part[] = [];
  /** Parts from the second on are numbered from here: a new layout never overwrites the keys of another. */
  private base: number | null = null;
  /** Parts that differ from what was last sent. */
  private readonly changed = new Set<number>();
  /** Keys in another layout, to be removed once everything stands in this one. */
  private readonly foreign = new Map<string, number>();
  private reshaping: (() => void)[] | null = null;

  constructor(
    private readonly writer: FencedWriter,
    private readonly job: LargeJob,
    private readonly limit: number,
    private readonly nameLength: number,
    /** Machines that hold or may hold tasks of the job now. */
    private readonly names: () => readonly string[],
  ) {
    // Half of a part at most is for bits, and the rest for names.
    this.share = Math.max(3, Math.floor((Math.max(limit - FRAME, 16) / 2) * 0.75));
  }

  private get namesAPart(): number {
    const bits = Math.ceil(Math.min(this.share, this.job.done.bytes.length) / 3) * 4;
    return Math.max(1, Math.floor((this.limit - FRAME - bits) / (this.nameLength + 3)));
  }

  private part(k: number): Part {
    for (let i = this.parts.length; i <= k; i++) this.parts.push({ names: new Set(), bits: '' });
    return this.parts[k]!;
  }

  private keyOf(k: number): string {
    return progressKey(this.job.id, k === 0 ? 0 : (this.base ?? 0) + k);
  }

  /** A key as it was read. `number` is null for a segment of the version before. */
  adopt(key: string, number: number | null, rec: ProgressRecord, size: number): void {
    const from = number === 0 ? 0 : rec.from;
    const k = from === null ? -1 : from / this.share;
    const fits = size <= this.limit && Buffer.from(rec.bits, 'base64').length <= this.share;
    const base = number === null || number === 0 ? this.base : number - k;
    if (number === null || !Number.isInteger(k) || k < 0 || !fits || (this.base ?? base) !== base) {
      this.foreign.set(key, number ?? 0);
      return;
    }
    this.base = base;
    const p = this.part(k);
    for (const n of rec.machines) p.names.add(n);
    p.bits = rec.bits;
  }

  /** Whether keys stand in a form that has to be written anew. */
  get unsettled(): boolean {
    return this.foreign.size > 0;
  }

  private bitsOf(k: number): string {
    return this.job.done.encode(k * this.share, (k + 1) * this.share);
  }

  /** Gives every machine a part, those that have one the same, and notes which parts must be written. */
  private assign(): void {
    const now = new Set(this.names());
    const room = this.namesAPart;
    this.part(Math.max(this.parts.length, Math.ceil(this.job.done.bytes.length / this.share), 1) - 1);
    const at = new Set<string>();
    this.parts.forEach((p, k) => {
      for (const n of [...p.names]) {
        if (now.has(n) && !at.has(n)) at.add(n);
        else {
          p.names.delete(n);
          this.changed.add(k);
        }
      }
      if (this.bitsOf(k) !== p.bits) this.changed.add(k);
    });
    let k = 0;
    for (const n of now) {
      if (at.has(n)) continue;
      while (this.part(k).names.size >= room) k++;
      this.part(k).names.add(n);
      this.changed.add(k);
    }
  }

  /** Writes what changed, and calls back once all of it is on record. */
  write(urgent: WriteUrgency, then: () => void, refused: () => void): void {
    if (this.reshaping !== null) {
      this.reshaping.push(() => {
        this.write(urgent, then, refused);
      });
      return;
    }
    if (this.foreign.size > 0) {
      this.reshape(urgent, then, refused);
      return;
    }
    this.assign();
    const parts = new Set(this.changed);
    // Sent already but not confirmed: the caller waits for that too.
    this.parts.forEach((p, k) => {
      for (const n of p.names) if (!this.job.recordedMachines.has(n)) parts.add(k);
    });
    this.put([...parts], urgent, then, refused);
  }

  private put(parts: readonly number[], urgent: WriteUrgency, then: () => void, refused: () => void): void {
    let left = parts.length;
    let failed = false;
    if (left === 0) then();
    for (const k of parts) {
      this.writer.put(
        this.keyOf(k),
        () => this.make(k),
        (value) => {
          const rec = decodeProgress(value);
          if (rec !== null) {
            this.job.durablyDone.merge(rec.from ?? 0, rec.bits);
            for (const n of rec.machines) this.job.recordedMachines.add(n);
          }
          if (--left === 0 && !failed) then();
        },
        {
          urgent,
          refused: () => {
            this.changed.add(k);
            if (!failed) refused();
            failed = true;
          },
        },
      );
    }
  }

  private make(k: number): unknown {
    this.job.progressDirty = false;
    this.assign();
    const p = this.part(k);
    // Whoever is left out counts as not on record from now on: the write may be executed at any moment.
    const all = new Set(this.parts.flatMap((x) => [...x.names]));
    for (const n of [...this.job.recordedMachines]) if (!all.has(n)) this.job.recordedMachines.delete(n);
    p.bits = this.bitsOf(k);
    this.changed.delete(k);
    return encodeProgress({ machines: [...p.names], bits: p.bits, from: k * this.share });
  }

  /**
   * From another layout into this one, in keys that none had before: all further parts are written first,
   * then part 0, which may hold less from then on; what is left over goes last. A crash in between leaves
   * everything on record somewhere.
   */
  private reshape(urgent: WriteUrgency, then: () => void, refused: () => void): void {
    this.reshaping = [];
    const old = new Map(this.foreign);
    this.parts.forEach((_, k) => {
      if (k > 0) old.set(this.keyOf(k), (this.base ?? 0) + k);
    });
    this.base = Math.max(0, ...old.values());
    this.parts = [];
    this.changed.clear();
    this.assign();
    const over = (run: () => void): void => {
      const waiting = this.reshaping ?? [];
      this.reshaping = null;
      run();
      for (const w of waiting) w();
    };
    const failed = (): void => {
      for (const [key, n] of old) this.foreign.set(key, n);
      over(refused);
    };
    const last = (): void => {
      this.put(
        [0],
        urgent,
        () => {
          this.foreign.clear();
          for (const key of old.keys()) if (key !== this.keyOf(0)) this.writer.remove(key);
          over(then);
        },
        failed,
      );
    };
    const further = this.parts.map((_, k) => k).filter((k) => k > 0);
    if (further.length === 0) last();
    else this.put(further, urgent, last, failed);
  }

  /** All keys of the job, to be removed with it. */
  keys(): string[] {
    const count = Math.max(this.parts.length, 1);
    const own = Array.from({ length: count }, (_, k) => this.keyOf(k));
    return [...new Set([...own, ...this.foreign.keys()])];
  }
}
