/**
 * Kubernetes quantities (`500m`, `1.5Gi`, `2e3`), exactly: a whole number of 10^-9. No floating point until the core's
 * decimal numbers are made.
 */

/** In units of 10^-9. */
export type Nano = bigint;

const UNIT: Nano = 1_000_000_000n;
const BINARY: ReadonlyMap<string, bigint> = new Map(
  ['Ki', 'Mi', 'Gi', 'Ti', 'Pi', 'Ei'].map((s, i) => [s, 1024n ** BigInt(i + 1)]),
);
/** Powers of ten. */
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
const FORM = /^([+-]?)([0-9]+)?(?:\.([0-9]*))?(?:([eE])([+-]?[0-9]{1,2})|([KMGTPE]i|[numkMGTPE]?))$/;
/** The published bound: no quantity is larger than 2^63-1, and none finer than 10^-9. */
const MOST: Nano = (2n ** 63n - 1n) * UNIT;
const MAX_LENGTH = 64;

/** Null where the text is no quantity. What is finer than 10^-9 is rounded up, as the API does. */
export const parseQuantity = (text: string): Nano | null => {
  if (text.length > MAX_LENGTH) return null;
  const m = FORM.exec(text);
  if (m === null) return null;
  const [, sign, whole = '', fraction = '', e, exponent, suffix = ''] = m;
  if (whole === '' && fraction === '') return null;
  const digits = BigInt(whole + fraction);
  const power = e === undefined ? (DECIMAL.get(suffix) ?? 0) : Number(exponent);
  const factor = BINARY.get(suffix) ?? 1n;
  // digits * factor * 10^(power - fraction.length + 9), in units of 10^-9.
  const ten = power - fraction.length + 9;
  const scaled = digits * factor;
  let value: bigint;
  if (ten >= 0) value = scaled * 10n ** BigInt(ten);
  else {
    const by = 10n ** BigInt(-ten);
    value = (scaled + by - 1n) / by;
  }
  if (value > MOST) return null;
  return sign === '-' ? -value : value;
};

/** Decimal text, without a suffix, of `n / per`; exactly. */
export const formatQuantity = (n: Nano, per = 1n): string => {
  const unit = UNIT * per;
  const places = unit.toString().length - 1;
  const abs = n < 0n ? -n : n;
  const rest = (abs % unit).toString().padStart(places, '0').replace(/0+$/, '');
  return `${n < 0n ? '-' : ''}${abs / unit}${rest === '' ? '' : `.${rest}`}`;
};

/**
 * The core's number for `n / per`, `per` a power of ten: the one that a native submission makes of the same decimal
 * text, so that the same work finds the same place.
 */
export const toNumber = (n: Nano, per = 1n): number => Number(formatQuantity(n, per));
