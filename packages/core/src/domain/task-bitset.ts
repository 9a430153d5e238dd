/** Compact sets of task indices, for example the done tasks of a job. */

const BITS_PER_BYTE = 8;

/** A set of task indices below a fixed size, stored as one bit per task. */
export class TaskBitset {
  /** The bits; task 0 is the least significant bit of the first byte. */
  readonly bytes: Uint8Array;
  /** Number of tasks in the set. */
  count = 0;

  /** `size`: number of tasks, and one more than the highest index that can be added. */
  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / BITS_PER_BYTE));
  }

  /** Whether the task is in the set. */
  has(index: number): boolean {
    return (this.bytes[index >> 3]! & (1 << (index & 7))) !== 0;
  }

  /** Adds a task; returns false if it was in the set already or is out of range. */
  add(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3]! |= 1 << (index & 7);
    this.count++;
    return true;
  }

  /** Encodes the bytes from `from` up to but excluding `to` in base64, without trailing zero bytes. */
  encode(from: number, to: number): string {
    let end = Math.min(to, this.bytes.length);
    while (end > from && this.bytes[end - 1] === 0) end--;
    return Buffer.from(this.bytes.subarray(from, end)).toString('base64');
  }

  /** Adds the tasks of a string returned by `encode` that starts at the byte offset `from`. */
  merge(from: number, encoded: string): void {
    const bytes = Buffer.from(encoded, 'base64');
    bytes.forEach((byte, offset) => {
      for (let bit = 0; bit < BITS_PER_BYTE; bit++)
        if ((byte & (1 << bit)) !== 0) this.add((from + offset) * BITS_PER_BYTE + bit);
    });
  }
}
