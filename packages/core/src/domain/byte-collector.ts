/** Collects a body that arrives in chunks, in memory that is proportional to its length however many chunks there are. */

/** Factor by which the memory grows beyond what is needed, so that each byte is copied a few times at most. */
const GROWTH_FACTOR = 2;
const EMPTY: Buffer = Buffer.alloc(0);

/** The bytes of one body, up to a maximum length. */
export class ByteCollector {
  private buffer = EMPTY;
  private length = 0;

  /** `maxBytes`: maximum length of the body. */
  constructor(private readonly maxBytes: number) {}

  /** Appends a chunk; false if the body is longer than allowed, in which case its bytes are dropped. */
  append(chunk: Buffer): boolean {
    const length = this.length + chunk.length;
    if (length > this.maxBytes) {
      this.buffer = EMPTY;
      this.length = 0;
      return false;
    }
    // Most bodies arrive in one chunk, which needs no copy.
    if (this.length === 0) this.buffer = chunk;
    else this.copy(chunk, length);
    this.length = length;
    return true;
  }

  /** The bytes so far; valid until the next call of `append`. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  private copy(chunk: Buffer, length: number): void {
    if (length > this.buffer.length) {
      const larger = Buffer.alloc(Math.min(this.maxBytes, GROWTH_FACTOR * length));
      this.buffer.copy(larger, 0, 0, this.length);
      this.buffer = larger;
    }
    chunk.copy(this.buffer, this.length);
  }
}
