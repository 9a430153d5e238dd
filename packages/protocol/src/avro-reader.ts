/**
 * Decodes Avro records with as many array items as the bytes hold. The library's own array reader reserves memory for as many items
 * as a message announces, and reads on past the end of the message, so that a few bytes could end or block the process.
 */
import avro, { type Type } from 'avsc';

/** The bytes are not a value of the expected type. */
export class MalformedAvroError extends Error {}

const longType = avro.Type.forSchema('long');

/** Reads values one after the other, and none that reaches past the end of the bytes. */
class AvroReader {
  private position = 0;

  constructor(private readonly bytes: Buffer) {}

  get remainingBytes(): number {
    return this.bytes.length - this.position;
  }

  /** Reads a value of a type without arrays. */
  readValue(type: Type): unknown {
    const decoded = type.decode(this.bytes, this.position);
    // The offset is negative if the value reaches past the end.
    if (decoded.offset < this.position) throw new MalformedAvroError('truncated');
    this.position = decoded.offset;
    return decoded.value;
  }

  /** Reads an array, which is encoded in blocks of items; each item takes at least one byte. */
  readArray(itemsType: Type): unknown[] {
    const items: unknown[] = [];
    for (let count = this.readBlockCount(); count > 0; count = this.readBlockCount()) {
      if (count > this.remainingBytes) throw new MalformedAvroError('array longer than its message');
      for (let read = 0; read < count; read++) items.push(this.readValue(itemsType));
    }
    return items;
  }

  /** Reads the number of items in the next block, 0 at the end. The size in bytes follows a negative number, and is not used. */
  private readBlockCount(): number {
    const count = this.readValue(longType) as number;
    if (count < 0) this.readValue(longType);
    return Math.abs(count);
  }
}

/** Decodes a record whose fields are arrays or contain none. Throws `MalformedAvroError` or an error of the library. */
export const decodeAvroRecord = (type: avro.types.RecordType, bytes: Buffer): unknown => {
  const reader = new AvroReader(bytes);
  const fields = type.fields.map((field): [string, unknown] => [
    field.name,
    field.type instanceof avro.types.ArrayType
      ? reader.readArray(field.type.itemsType)
      : reader.readValue(field.type),
  ]);
  if (reader.remainingBytes !== 0) throw new MalformedAvroError('trailing bytes');
  return Object.fromEntries(fields);
};
