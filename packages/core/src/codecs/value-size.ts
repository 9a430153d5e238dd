/** Size of values as counted against the limits of the key-value store. */

/** Size of the value's JSON in bytes; 0 if it has none. */
export const jsonByteLength = (value: unknown): number => {
  // The library's type declaration omits that JSON.stringify(undefined) returns undefined.
  const json = JSON.stringify(value) as string | undefined;
  return Buffer.byteLength(json ?? '');
};
