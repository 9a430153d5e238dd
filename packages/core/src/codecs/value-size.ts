/** What a value counts against the limits of the key-value store. */

/** Bytes of the value's JSON. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');
