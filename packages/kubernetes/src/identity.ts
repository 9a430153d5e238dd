/** Identity of objects: a random uid, and the id of the scheduler's job that is derived from it. */

/** A version 4 UUID made of 16 random bytes. */
export const uidOf = (bytes: Uint8Array): string => {
  const octets = Uint8Array.from(bytes.subarray(0, 16));
  octets[6] = (octets[6]! & 0x0f) | 0x40;
  octets[8] = (octets[8]! & 0x3f) | 0x80;
  const hex = Array.from(octets, (x) => x.toString(16).padStart(2, '0')).join('');
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-');
};

/** First of the 32 digits of every job id derived from a uid. */
const FIRST_DIGIT = '9';
const RANDOM_DIGITS = 31;

/**
 * Job id of the form `run-` and 32 digits that the protocol requires, derived from the uid's bits. About 100 of them
 * are random and not disclosed before the job is stored. Creation fails if the id is taken, and is retried with a new
 * one.
 */
export const nativeIdOf = (uid: string): string => {
  const number = BigInt(`0x${uid.replaceAll('-', '')}`) % 10n ** BigInt(RANDOM_DIGITS);
  return `run-${FIRST_DIGIT}${number.toString().padStart(RANDOM_DIGITS, '0')}`;
};
