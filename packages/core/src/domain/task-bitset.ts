/** Sets of task numbers, such as a job's tasks that are done. */

const BITS_PER_BYTE = 8;

/** A set of task numbers below a fixed size, one bit each. */
export class TaskBitset {
  /** The bits, the lowest task in the lowest bit of the first byte. */
  readonly bytes: Uint8Array;
  /** How many tasks are in the set. */
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / BITS_PER_BYTE));
  }

  /** Whether the task is in the set. */
  has(index: number): boolean {
    return (this.bytes[index >> 3]! & (1 << (index & 7))) !== 0;
  }

  /** Whether the task was not in the set before. */
  add(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.bytes[index >> 3]! |= 1 << (index & 7);
    this.count++;
    return true;
  }

  /** Bytes `from` to `to`, in base64, with trailing zeros left out. */
  encode(from: number, to: number): string {
    let end = Math.min(to, this.bytes.length);
    while (end > from && this.bytes[end - 1] === 0) end--;
    return Buffer.from(this.bytes.subarray(from, end)).toString('base64');
  }

  /** Adds what `encode` gave, beginning at the byte `from`. */
  merge(from: number, encoded: string): void {
    const bytes = Buffer.from(encoded, 'base64');
    bytes.forEach((byte, offset) => {
      for (let bit = 0; bit < BITS_PER_BYTE; bit++)
        if ((byte & (1 << bit)) !== 0) this.add((from + offset) * BITS_PER_BYTE + bit);
    });
  }
}
