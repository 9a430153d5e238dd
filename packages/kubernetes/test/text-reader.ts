/** Parses texts of the maximum size with as many mistakes as they can hold. Their test runs it with the heap of a deployed controller. */
import { parseText } from '../src/text.js';

const MAX_TEXT_BYTES = 64 * 1024;

const repeat = (unit: string, start = '', end = ''): string =>
  start + unit.repeat(Math.floor((MAX_TEXT_BYTES - start.length - end.length) / unit.length)) + end;

const TEXTS = [
  repeat(',', '[', ']'),
  repeat('? : ', '{', '}'),
  repeat('}'),
  repeat('\t-\n'),
  repeat('"\\q",', '[', ']'),
  repeat('{a:},', '[', ']'),
  repeat('*a,', '[', ']'),
  repeat('[],', '[', ']'),
];

for (const text of TEXTS) {
  const parsed = parseText(text);
  console.log('problem' in parsed ? parsed.problem : 'parsed');
}
