/** Identity of objects: a uid of random bits, and the native job's id made from it. */

/** A version 4 UUID of 16 random bytes. */
export const uidOf = (bytes: Uint8Array): string => {
  const b = Uint8Array.from(bytes.subarray(0, 16));
  b[6] = (b[6]! & 0x0f) | 0x40;
  b[8] = (b[8]! & 0x3f) | 0x80;
  const hex = Array.from(b, (x) => x.toString(16).padStart(2, '0')).join('');
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-');
};

/** All ids of this kind have 32 digits and begin with it. */
const FIRST = '9';
const DIGITS = 31;

/**
 * `run-` and 32 digits, as the protocol has it: the uid's bits, of which some 100 are random and told to nobody before the
 * job is on record. Ids are compared when they are put; one that is taken is drawn again.
 */
export const nativeIdOf = (uid: string): string => {
  const n = BigInt(`0x${uid.replaceAll('-', '')}`) % 10n ** BigInt(DIGITS);
  return `run-${FIRST}${n.toString().padStart(DIGITS, '0')}`;
};
