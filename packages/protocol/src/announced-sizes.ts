/**
 * Checks the sizes that a MessagePack body announces against the bytes that it has. The decoder reserves memory for a whole array as
 * soon as its header is read, so that a body of a few bytes could make it reserve more than the process has. The format is specified
 * in https://github.com/msgpack/msgpack/blob/master/spec.md.
 */

/** Largest first bytes of the values whose size is part of their first byte. */
const LAST_POSITIVE_FIXINT = 0x7f;
const LAST_FIXMAP = 0x8f;
const LAST_FIXARRAY = 0x9f;
const LAST_FIXSTR = 0xbf;
const FIXMAP_SIZE_MASK = 0x0f;
const FIXARRAY_SIZE_MASK = 0x0f;
const FIXSTR_SIZE_MASK = 0x1f;

/** Number of bytes that follow the first byte of values of a fixed size. */
const FIXED_SIZE_BYTES: ReadonlyMap<number, number> = new Map([
  [0xca, 4], // float 32
  [0xcb, 8], // float 64
  [0xcc, 1], // uint 8
  [0xcd, 2],
  [0xce, 4],
  [0xcf, 8],
  [0xd0, 1], // int 8
  [0xd1, 2],
  [0xd2, 4],
  [0xd3, 8],
  [0xd4, 2], // fixext 1: a type and the data
  [0xd5, 3],
  [0xd6, 5],
  [0xd7, 9],
  [0xd8, 17],
]);

/** What the number after the first byte of a value of variable size counts. */
type Counted = 'bytes' | 'items' | 'entries';

/** Values of variable size: the width of the number that follows the first byte, what it counts, and bytes besides those it counts. */
interface VariableSize {
  readonly width: 1 | 2 | 4;
  readonly counted: Counted;
  readonly extraBytes: number;
}

const variableSize = (width: 1 | 2 | 4, counted: Counted, extraBytes = 0): VariableSize => ({
  width,
  counted,
  extraBytes,
});

/** An extension has a byte for its type besides its data. */
const EXTENSION_TYPE_BYTES = 1;

const VARIABLE_SIZES: ReadonlyMap<number, VariableSize> = new Map([
  [0xc4, variableSize(1, 'bytes')], // binary data
  [0xc5, variableSize(2, 'bytes')],
  [0xc6, variableSize(4, 'bytes')],
  [0xc7, variableSize(1, 'bytes', EXTENSION_TYPE_BYTES)],
  [0xc8, variableSize(2, 'bytes', EXTENSION_TYPE_BYTES)],
  [0xc9, variableSize(4, 'bytes', EXTENSION_TYPE_BYTES)],
  [0xd9, variableSize(1, 'bytes')], // text
  [0xda, variableSize(2, 'bytes')],
  [0xdb, variableSize(4, 'bytes')],
  [0xdc, variableSize(2, 'items')], // arrays
  [0xdd, variableSize(4, 'items')],
  [0xde, variableSize(2, 'entries')], // maps
  [0xdf, variableSize(4, 'entries')],
]);

/** Values of an entry of a map: its key and its value. */
const VALUES_PER_ENTRY = 2;

/** Walks over the headers of a body, value by value, without decoding or recursion. */
class HeaderWalk {
  private readonly view: DataView;
  private position = 0;
  /** Values that were announced and have not been reached yet. */
  private pendingValues = 1;

  constructor(bytes: Uint8Array) {
    this.view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  }

  /** Whether each announced value has at least the one byte that the shortest value takes. */
  arePendingValuesPossible(): boolean {
    return this.pendingValues <= this.view.byteLength - this.position;
  }

  hasPendingValues(): boolean {
    return this.pendingValues > 0;
  }

  /** Passes the header of one value, and the value too if it contains no others. */
  passValue(): void {
    const first = this.view.getUint8(this.position++);
    this.pendingValues--;
    if (first <= LAST_POSITIVE_FIXINT) return;
    if (first <= LAST_FIXMAP) this.pendingValues += VALUES_PER_ENTRY * (first & FIXMAP_SIZE_MASK);
    else if (first <= LAST_FIXARRAY) this.pendingValues += first & FIXARRAY_SIZE_MASK;
    else if (first <= LAST_FIXSTR) this.position += first & FIXSTR_SIZE_MASK;
    else this.passLongValue(first);
  }

  private passLongValue(first: number): void {
    const size = VARIABLE_SIZES.get(first);
    if (size === undefined) {
      this.position += FIXED_SIZE_BYTES.get(first) ?? 0;
      return;
    }
    const count = this.readCount(size.width);
    if (size.counted === 'items') this.pendingValues += count;
    else if (size.counted === 'entries') this.pendingValues += VALUES_PER_ENTRY * count;
    else this.position += size.extraBytes + count;
  }

  private readCount(width: 1 | 2 | 4): number {
    const { position } = this;
    if (this.view.byteLength - position < width) {
      this.position = this.view.byteLength;
      return 0;
    }
    this.position += width;
    if (width === 1) return this.view.getUint8(position);
    return width === 2 ? this.view.getUint16(position) : this.view.getUint32(position);
  }
}

/**
 * Whether the body has at least one byte for each value that its arrays and maps announce, all of them together. All that a decoder
 * reserves for such a body is proportional to its length. A body that passes may still be malformed in other ways.
 */
export const areAnnouncedSizesPossible = (bytes: Uint8Array): boolean => {
  const walk = new HeaderWalk(bytes);
  while (walk.hasPendingValues()) {
    if (!walk.arePendingValuesPossible()) return false;
    walk.passValue();
  }
  return true;
};
