/**
 * Checks the sizes that a MessagePack body announces against the bytes that it has, and estimates the memory that it takes when it
 * is decoded. The decoder reserves memory for a whole array as soon as its header is read, so that a body of a few bytes could make
 * it reserve more than the process has. The format is specified in https://github.com/msgpack/msgpack/blob/master/spec.md.
 */

/** Memory that a decoded value takes at most, besides the characters of a text. Includes what the decoder itself needs for it. */
const SCALAR_MEMORY_BYTES = 64;
const CONTAINER_MEMORY_BYTES = 256;
const BINARY_MEMORY_BYTES = 512;

/**
 * Most memory that a body may take when it is decoded: small beside a controller's heap, and as much as a request of the maximum
 * length can take.
 */
const MAX_DECODED_BYTES = 16 * 1024 * 1024;

/** Width in bytes of the number that follows the first byte of a value; 0: there is none. */
type SizeWidth = 0 | 1 | 2 | 4;

/** What the first byte of a value tells about it. */
interface ValueHeader {
  readonly sizeWidth: SizeWidth;
  /** The size of the value if no number follows. */
  readonly size: number;
  /** What the size counts: bytes of this value, or further values. */
  readonly counted: 'bytes' | 'items' | 'entries';
  /** Bytes of this value besides those that the size counts. */
  readonly extraBytes: number;
  /** Memory that the value takes when it is decoded, at most. */
  readonly memoryBytes: number;
}

const scalar = (sizeWidth: SizeWidth, size = 0): ValueHeader => ({
  sizeWidth,
  size,
  counted: 'bytes',
  extraBytes: 0,
  memoryBytes: SCALAR_MEMORY_BYTES,
});

const container = (counted: 'items' | 'entries', sizeWidth: SizeWidth, size = 0): ValueHeader => ({
  sizeWidth,
  size,
  counted,
  extraBytes: 0,
  memoryBytes: CONTAINER_MEMORY_BYTES,
});

/** Binary data, and extensions, which have a byte for their type besides their data. */
const binary = (extraBytes: 0 | 1, sizeWidth: SizeWidth, size = 0): ValueHeader => ({
  sizeWidth,
  size,
  counted: 'bytes',
  extraBytes,
  memoryBytes: BINARY_MEMORY_BYTES,
});

const FIRST_FIXMAP = 0x80;
const FIRST_FIXARRAY = 0x90;
const FIRST_FIXSTR = 0xa0;
const FIRST_LONG_VALUE = 0xc0;
const FIRST_NEGATIVE_FIXINT = 0xe0;
const FIRST_BYTES = 256;

/** Headers from `FIRST_LONG_VALUE` up to `FIRST_NEGATIVE_FIXINT`, in the order of their first bytes. */
const LONG_HEADERS: readonly ValueHeader[] = [
  ...[scalar(0), scalar(0), scalar(0), scalar(0)], // nil, a byte without a meaning, false, true
  ...[binary(0, 1), binary(0, 2), binary(0, 4)], // binary data
  ...[binary(1, 1), binary(1, 2), binary(1, 4)], // extensions
  ...[scalar(0, 4), scalar(0, 8)], // floating point
  ...[scalar(0, 1), scalar(0, 2), scalar(0, 4), scalar(0, 8)], // unsigned integers
  ...[scalar(0, 1), scalar(0, 2), scalar(0, 4), scalar(0, 8)], // signed integers
  ...[binary(1, 0, 1), binary(1, 0, 2), binary(1, 0, 4), binary(1, 0, 8), binary(1, 0, 16)], // short extensions
  ...[scalar(1), scalar(2), scalar(4)], // texts
  ...[container('items', 2), container('items', 4)],
  ...[container('entries', 2), container('entries', 4)],
];

const headerOf = (first: number): ValueHeader => {
  if (first < FIRST_FIXMAP || first >= FIRST_NEGATIVE_FIXINT) return scalar(0);
  if (first < FIRST_FIXARRAY) return container('entries', 0, first - FIRST_FIXMAP);
  if (first < FIRST_FIXSTR) return container('items', 0, first - FIRST_FIXARRAY);
  if (first < FIRST_LONG_VALUE) return scalar(0, first - FIRST_FIXSTR);
  return LONG_HEADERS[first - FIRST_LONG_VALUE]!;
};

/** Headers by the first byte. */
const HEADERS: readonly ValueHeader[] = Array.from({ length: FIRST_BYTES }, (_, first) => headerOf(first));

/** Values of an entry of a map: its key and its value. */
const VALUES_PER_ENTRY = 2;

/** Passes over the headers of a body, value by value, without decoding or recursion. */
class HeaderScan {
  private readonly view: DataView;
  private position = 0;
  /** Values that were announced and have not been reached yet. */
  pendingValues = 1;
  /** Memory that the values so far take when they are decoded, at most. */
  decodedBytes = 0;

  constructor(bytes: Uint8Array) {
    this.view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  }

  /** Bytes that follow; negative if the last value reaches past the end of the body. */
  get remainingBytes(): number {
    return this.view.byteLength - this.position;
  }

  /** Passes the header of one value, and the whole value if it contains no others. At least one byte must remain. */
  passValue(): void {
    const header = HEADERS[this.view.getUint8(this.position++)]!;
    const size = header.sizeWidth === 0 ? header.size : this.readSize(header.sizeWidth);
    this.pendingValues--;
    this.decodedBytes += header.memoryBytes;
    if (header.counted === 'items') this.pendingValues += size;
    else if (header.counted === 'entries') this.pendingValues += VALUES_PER_ENTRY * size;
    else this.position += header.extraBytes + size;
  }

  private readSize(width: 1 | 2 | 4): number {
    const { position } = this;
    this.position += width;
    if (this.remainingBytes < 0) return 0;
    if (width === 1) return this.view.getUint8(position);
    return width === 2 ? this.view.getUint16(position) : this.view.getUint32(position);
  }
}

/**
 * Whether a body may be decoded. `impossible`: it has fewer bytes than the values that its arrays and maps announce, all of them
 * together, each of which takes one byte or more. `tooLarge`: it would take more memory than a body may. A body for which the result
 * is `possible` may still be malformed in other ways.
 */
export const checkAnnouncedSizes = (bytes: Uint8Array): 'possible' | 'impossible' | 'tooLarge' => {
  const scan = new HeaderScan(bytes);
  while (scan.pendingValues > 0) {
    if (scan.pendingValues > scan.remainingBytes) return 'impossible';
    if (scan.decodedBytes > MAX_DECODED_BYTES) return 'tooLarge';
    scan.passValue();
  }
  return 'possible';
};
