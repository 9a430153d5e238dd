/**
 * Kubernetes quantities (`500m`, `1.5Gi`, `2e3`) as exact integers in units of 10^-9. Floating point is used only for
 * the final conversion to the core's numbers.
 */

/** An amount in units of 10^-9. */
export type Nano = bigint;

const UNIT: Nano = 1_000_000_000n;
const BINARY: ReadonlyMap<string, bigint> = new Map(
  ['Ki', 'Mi', 'Gi', 'Ti', 'Pi', 'Ei'].map((s, i) => [s, 1024n ** BigInt(i + 1)]),
);
/** Decimal suffixes by their power of ten. */
const DECIMAL: ReadonlyMap<string, number> = new Map([
  ['n', -9],
  ['u', -6],
  ['m', -3],
  ['', 0],
  ['k', 3],
  ['M', 6],
  ['G', 9],
  ['T', 12],
  ['P', 15],
  ['E', 18],
]);
const QUANTITY_PATTERN =
  /^([+-]?)([0-9]+)?(?:\.([0-9]*))?(?:([eE])([+-]?[0-9]{1,2})|([KMGTPE]i|[numkMGTPE]?))$/;
/** The Kubernetes API's limit: no quantity is larger than 2^63-1 or finer than 10^-9. */
const MAX_QUANTITY: Nano = (2n ** 63n - 1n) * UNIT;
const MAX_LENGTH = 64;

/** Parses a quantity; null if the text is none. A part finer than 10^-9 is rounded up, as in the Kubernetes API. */
export const parseQuantity = (text: string): Nano | null => {
  if (text.length > MAX_LENGTH) return null;
  const match = QUANTITY_PATTERN.exec(text);
  if (match === null) return null;
  const [, sign, whole = '', fraction = '', exponentMark, exponent, suffix = ''] = match;
  if (whole === '' && fraction === '') return null;
  const digits = BigInt(whole + fraction);
  const power = exponentMark === undefined ? (DECIMAL.get(suffix) ?? 0) : Number(exponent);
  const factor = BINARY.get(suffix) ?? 1n;
  // digits * factor * 10^(power - fraction.length + 9), in units of 10^-9.
  const scale = power - fraction.length + 9;
  const scaled = digits * factor;
  let value: bigint;
  if (scale >= 0) value = scaled * 10n ** BigInt(scale);
  else {
    const divisor = 10n ** BigInt(-scale);
    value = (scaled + divisor - 1n) / divisor;
  }
  if (value > MAX_QUANTITY) return null;
  return sign === '-' ? -value : value;
};

/** Exact decimal text of `amount / per`, without a suffix. */
export const formatQuantity = (amount: Nano, per = 1n): string => {
  const unit = UNIT * per;
  const places = unit.toString().length - 1;
  const abs = amount < 0n ? -amount : amount;
  const rest = (abs % unit).toString().padStart(places, '0').replace(/0+$/, '');
  return `${amount < 0n ? '-' : ''}${abs / unit}${rest === '' ? '' : `.${rest}`}`;
};

/**
 * The core's number for `amount / per`, where `per` is a power of ten. It equals the number that a native submission
 * parses from the same decimal text, so that equal jobs are placed equally.
 */
export const toNumber = (amount: Nano, per = 1n): number => Number(formatQuantity(amount, per));
