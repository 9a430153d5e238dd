/** What the state service holds of objects (docs/kube.md). What can't be read is null, never nothing. */
import { reader } from '@shaleyoke/config/checked';
import { bytesOf } from '@shaleyoke/core/codecs/value-size';
import { Schema } from 'effect';

export const ROOT = 'k/';
export const OBJECTS = 'k/o/';
export const MANIFESTS = 'k/m/';
export const objectKey = (namespace: string, name: string): string => `${OBJECTS}job/${namespace}/${name}`;
export const manifestKey = (uid: string, n: number): string => `${MANIFESTS}${uid}/${n}`;

/**
 * Stands while pieces wait for their object, which takes it away in the transaction that names them. Who sweeps pieces
 * away does so on condition of it: one of the two comes first, and the other one fails.
 */
export const guardKey = (uid: string): string => `${MANIFESTS}${uid}/guard`;

/** Namespace and name of an object's key; null for other keys. */
export const nameOf = (key: string): { namespace: string; name: string } | null => {
  const [, , kind, namespace, name, ...rest] = key.split('/');
  return kind === 'job' && namespace !== undefined && name !== undefined && rest.length === 0
    ? { namespace, name }
    : null;
};

const Natural = Schema.NonNegativeInt;

const Status = Schema.Struct({
  /** Tasks that run, and that are done. */
  active: Natural,
  done: Natural,
  /** Time of day, microseconds; null: not yet. */
  began: Schema.NullOr(Natural),
  ended: Schema.NullOr(Natural),
  /** How it ended. */
  result: Schema.NullOr(Schema.Literal('complete', 'failed')),
  /** Why it failed, or will have failed: said before it is withdrawn. */
  why: Schema.String,
});
export type Status = typeof Status.Type;

const ObjectRecord = Schema.Struct({
  v: Schema.Literal(1),
  uid: Schema.String,
  /** The native job. */
  id: Schema.String,
  /** Creation, microseconds of time of day. */
  at: Natural,
  /** Pieces of the manifest. */
  pieces: Natural,
  status: Status,
  /** Since when it is to be deleted. */
  deleting: Schema.NullOr(Natural),
});
export type ObjectRecord = typeof ObjectRecord.Type;

const Piece = Schema.Struct({ v: Schema.Literal(1), text: Schema.String });

export const readObject = reader(ObjectRecord);
export const readPiece = reader(Piece);

export const newStatus = (): Status => ({
  active: 0,
  done: 0,
  began: null,
  ended: null,
  result: null,
  why: '',
});

/** A text in pieces whose records have `room` bytes at most. */
export const piecesOf = (text: string, room: number): { v: 1; text: string }[] => {
  const out: { v: 1; text: string }[] = [];
  let from = 0;
  while (from < text.length) {
    let n = Math.min(text.length - from, room);
    for (;;) {
      // A pair of surrogates is one character: it isn't cut in the middle.
      const code = text.charCodeAt(from + n - 1);
      if (code >= 0xd800 && code <= 0xdbff && n > 1) n--;
      const piece = { v: 1 as const, text: text.slice(from, from + n) };
      if (bytesOf(piece) <= room || n === 1) {
        out.push(piece);
        break;
      }
      n = Math.max(1, Math.floor(n * 0.8));
    }
    from += n;
  }
  return out;
};
