/** What is wrong with a manifest: each wrong field by its path, as the API's `details.causes` name it. */
import { ParseResult } from 'effect';

import { REFUSALS } from './refusals.js';

/** The published reasons of causes that are used here. */
export type Reason =
  | 'FieldValueRequired'
  | 'FieldValueInvalid'
  | 'FieldValueNotSupported'
  | 'FieldValueForbidden'
  | 'FieldValueDuplicate';

export type Path = readonly (string | number)[];

export interface Problem {
  readonly path: Path;
  readonly reason: Reason;
  readonly message: string;
}

/** `spec.template.spec.containers[0].image`, `metadata.annotations[shaleyoke/gang]`. */
export const fieldOf = (path: Path): string => {
  let out = '';
  for (const p of path) {
    if (typeof p === 'number') out += `[${p}]`;
    else if (/^[A-Za-z0-9]+$/.test(p)) out += out === '' ? p : `.${p}`;
    else out += `[${p}]`;
  }
  return out;
};

const patternOf = (path: Path): string =>
  path
    .map((p) => (typeof p === 'number' ? '[]' : `.${p}`))
    .join('')
    .slice(1);

const refusal = (path: Path): string => {
  const why = REFUSALS.get(patternOf(path));
  return why === undefined ? 'is not in the subset that is served here' : `is not in the subset: ${why}`;
};

const SHAPES: readonly (readonly [RegExp, string])[] = [
  [/^Expected string, actual/, 'must be a text'],
  [/^Expected number, actual/, 'must be a number'],
  [/^Expected boolean, actual/, 'must be true or false'],
  [/^Expected null, actual/, 'must be null'],
  [/^Expected (readonly \[|ReadonlyArray)/, 'must be a list'],
  [/^Expected (\{|object)/, 'must be an object'],
  [/^Expected /, 'has a form that is not understood here'],
];

/** The schema library's own words speak of types; people ask what to write. */
const inWords = (message: string): string => SHAPES.find(([form]) => form.test(message))?.[1] ?? message;

/** A schema's complaints as problems, in the order of their fields; each field once. */
export const problemsOf = (error: ParseResult.ParseError): Problem[] => {
  const out = new Map<string, Problem>();
  for (const issue of ParseResult.ArrayFormatter.formatErrorSync(error)) {
    const path = issue.path.map((p) => (typeof p === 'number' ? p : String(p)));
    const problem: Problem =
      issue._tag === 'Unexpected'
        ? { path, reason: 'FieldValueForbidden', message: refusal(path) }
        : issue._tag === 'Missing'
          ? { path, reason: 'FieldValueRequired', message: 'is required' }
          : { path, reason: 'FieldValueInvalid', message: inWords(issue.message) };
    const key = fieldOf(path);
    if (!out.has(key)) out.set(key, problem);
  }
  return [...out.values()];
};

export const textOf = (p: Problem): string => `${fieldOf(p.path) || 'manifest'}: ${p.message}`;
