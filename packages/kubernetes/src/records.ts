/**
 * Keys and records of Kubernetes objects in the key-value store (docs/kube.md). A record that can't be decoded reads as
 * null.
 */
import { recordDecoder } from '@shaleyoke/config/schema-decoding';
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';
import { Schema } from 'effect';

/** Prefix of all keys of this package. */
export const KEY_PREFIX = 'k/';
/** Prefix of the object records, which refer to their manifests by uid. */
export const OBJECT_PREFIX = 'k/o/';
/** Prefix of manifest chunks and their guards; the object's uid follows. */
export const MANIFEST_PREFIX = 'k/m/';
/** Key of a Job's object record. */
export const objectKey = (namespace: string, name: string): string =>
  `${OBJECT_PREFIX}job/${namespace}/${name}`;
/** Key of one chunk of a manifest. */
export const manifestKey = (uid: string, index: number): string => `${MANIFEST_PREFIX}${uid}/${index}`;

/**
 * Key of the guard of manifest chunks that were written before their object. The transaction that creates the object
 * deletes the guard, and garbage collection of the chunks is conditional on the guard's version: whichever of the two
 * commits first makes the other fail.
 */
export const guardKey = (uid: string): string => `${MANIFEST_PREFIX}${uid}/guard`;

/** Namespace and name from an object's key; null for any other key. */
export const parseObjectKey = (key: string): { namespace: string; name: string } | null => {
  const [, , kind, namespace, name, ...rest] = key.split('/');
  return kind === 'job' && namespace !== undefined && name !== undefined && rest.length === 0
    ? { namespace, name }
    : null;
};

const Natural = Schema.NonNegativeInt;

const Status = Schema.Struct({
  /** Numbers of running and of completed tasks. */
  active: Natural,
  done: Natural,
  /** Start and end in wall-clock microseconds; null until then. */
  began: Schema.NullOr(Natural),
  ended: Schema.NullOr(Natural),
  /** Final outcome; null while the job is open. */
  result: Schema.NullOr(Schema.Literal('complete', 'failed')),
  /** Reason of the failure. It is recorded before the job is cancelled, so that a new leader reports the same. */
  why: Schema.String,
});
/** Status of an object as it is stored. */
export type Status = typeof Status.Type;

const ObjectRecord = Schema.Struct({
  v: Schema.Literal(1),
  uid: Schema.String,
  /** Id of the scheduler's job. */
  id: Schema.String,
  /** Creation time, wall-clock microseconds. */
  at: Natural,
  /** Number of manifest chunks. */
  pieces: Natural,
  status: Status,
  /** Wall-clock time at which deletion was requested; null if it was not. */
  deleting: Schema.NullOr(Natural),
});
/** Stored record of an object, without its manifest. */
export type ObjectRecord = typeof ObjectRecord.Type;

const ManifestChunk = Schema.Struct({ v: Schema.Literal(1), text: Schema.String });

/** Decodes an object record; null if it is malformed. */
export const readObject = recordDecoder(ObjectRecord);
/** Decodes a manifest chunk or a guard; null if it is malformed. */
export const readManifestChunk = recordDecoder(ManifestChunk);

/** Status of an object whose job has not started. */
export const newStatus = (): Status => ({
  active: 0,
  done: 0,
  began: null,
  ended: null,
  result: null,
  why: '',
});

/** Splits a text into chunk records of at most `maxBytes` encoded bytes each. */
export const splitIntoChunks = (text: string, maxBytes: number): { v: 1; text: string }[] => {
  const chunks: { v: 1; text: string }[] = [];
  let from = 0;
  while (from < text.length) {
    let length = Math.min(text.length - from, maxBytes);
    for (;;) {
      // Don't split a surrogate pair.
      const code = text.charCodeAt(from + length - 1);
      if (code >= 0xd800 && code <= 0xdbff && length > 1) length--;
      const chunk = { v: 1 as const, text: text.slice(from, from + length) };
      if (jsonByteLength(chunk) <= maxBytes || length === 1) {
        chunks.push(chunk);
        break;
      }
      length = Math.max(1, Math.floor(length * 0.8));
    }
    from += length;
  }
  return chunks;
};
