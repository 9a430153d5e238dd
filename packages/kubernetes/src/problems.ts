/** Problems of a manifest: one for each wrong field, as in `details.causes` of the API's Status. */
import { ParseResult } from 'effect';

import { UNSUPPORTED_FIELDS } from './refusals.js';

/** The reasons of causes in the Kubernetes API that are used here. */
export type CauseReason =
  | 'FieldValueRequired'
  | 'FieldValueInvalid'
  | 'FieldValueNotSupported'
  | 'FieldValueForbidden'
  | 'FieldValueDuplicate';

/** Keys and list indexes that lead to a field. */
export type FieldPath = readonly (string | number)[];

/** A wrong field and what is wrong with it. */
export interface Problem {
  readonly path: FieldPath;
  readonly reason: CauseReason;
  readonly message: string;
}

/** A path as text, such as `spec.template.spec.containers[0].image` or `metadata.annotations[shaleyoke/gang]`. */
export const formatPath = (path: FieldPath): string => {
  let text = '';
  for (const segment of path) {
    if (typeof segment === 'number') text += `[${segment}]`;
    else if (/^[A-Za-z0-9]+$/.test(segment)) text += text === '' ? segment : `.${segment}`;
    else text += `[${segment}]`;
  }
  return text;
};

const pathPattern = (path: FieldPath): string =>
  path
    .map((p) => (typeof p === 'number' ? '[]' : `.${p}`))
    .join('')
    .slice(1);

const unsupportedMessage = (path: FieldPath): string => {
  const why = UNSUPPORTED_FIELDS.get(pathPattern(path));
  return why === undefined ? 'is not in the subset that is served here' : `is not in the subset: ${why}`;
};

const TYPE_MESSAGES: readonly (readonly [RegExp, string])[] = [
  [/^Expected string, actual/, 'must be a text'],
  [/^Expected number, actual/, 'must be a number'],
  [/^Expected boolean, actual/, 'must be true or false'],
  [/^Expected null, actual/, 'must be null'],
  [/^Expected (readonly \[|ReadonlyArray)/, 'must be a list'],
  [/^Expected (\{|object)/, 'must be an object'],
  [/^Expected /, 'has a form that is not understood here'],
];

/** Replaces the schema library's type messages by ones that say what to write. */
const readableMessage = (message: string): string =>
  TYPE_MESSAGES.find(([form]) => form.test(message))?.[1] ?? message;

/** The problems of a schema error in the order of their fields, one per field. */
export const problemsOf = (error: ParseResult.ParseError): Problem[] => {
  const out = new Map<string, Problem>();
  for (const issue of ParseResult.ArrayFormatter.formatErrorSync(error)) {
    const path = issue.path.map((p) => (typeof p === 'number' ? p : String(p)));
    const problem: Problem =
      issue._tag === 'Unexpected'
        ? { path, reason: 'FieldValueForbidden', message: unsupportedMessage(path) }
        : issue._tag === 'Missing'
          ? { path, reason: 'FieldValueRequired', message: 'is required' }
          : { path, reason: 'FieldValueInvalid', message: readableMessage(issue.message) };
    const key = formatPath(path);
    if (!out.has(key)) out.set(key, problem);
  }
  return [...out.values()];
};

/** A problem as `FIELD: MESSAGE`. */
export const formatProblem = (problem: Problem): string =>
  `${formatPath(problem.path) || 'manifest'}: ${problem.message}`;
