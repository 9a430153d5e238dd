/** What a value counts against the limits of the key-value store. */

/** Bytes of the value's JSON. */
export const bytesOf = (value: unknown): number => {
  // The library's types leave out that there is no JSON of undefined.
  const json = JSON.stringify(value) as string | undefined;
  return Buffer.byteLength(json ?? '');
};
