/**
 * Between the controllers: Avro over HTTP on the peers' address, each kind of message on a path of its own. The version
 * before knows the first path only and answers 404 on the other: it is asked nothing that it doesn't know.
 */
import avro from 'avsc';
import type { Beat, PeerMessage, Progress } from '@shaleyoke/core/domain/peer';

export const PROGRESS_PATH = '/peer/v1';
export const BEAT_PATH = '/peer/v2/beat';

const progress = avro.Type.forSchema({
  type: 'record',
  name: 'Progress',
  fields: [
    { name: 'member', type: 'string' },
    { name: 'term', type: 'long' },
    {
      name: 'notes',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Note',
          fields: [
            { name: 'id', type: 'string' },
            { name: 'done', type: 'int' },
            { name: 'running', type: 'int' },
          ],
        },
      },
    },
  ],
});

const beat = avro.Type.forSchema({
  type: 'record',
  name: 'Beat',
  fields: [
    { name: 'member', type: 'string' },
    { name: 'incarnation', type: 'long' },
    { name: 'seq', type: 'long' },
    { name: 'term', type: ['null', 'long'] },
    { name: 'stateAgeUs', type: ['null', 'long'] },
    { name: 'lateUs', type: 'long' },
    { name: 'workers', type: 'int' },
    {
      name: 'others',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Heard',
          fields: [
            { name: 'member', type: 'string' },
            { name: 'incarnation', type: 'long' },
            { name: 'ageUs', type: 'long' },
            { name: 'suspected', type: 'boolean' },
          ],
        },
      },
    },
  ],
});

export interface PeerCall {
  readonly path: string;
  readonly body: Buffer;
}

export const encodePeer = (m: PeerMessage): PeerCall =>
  m.kind === 'progress'
    ? { path: PROGRESS_PATH, body: progress.toBuffer({ member: m.member, term: m.term, notes: m.notes }) }
    : { path: BEAT_PATH, body: beat.toBuffer(m) };

/** Which kind a path carries; null for one that is not known. */
export const peerKind = (path: string): PeerMessage['kind'] | null =>
  path === PROGRESS_PATH ? 'progress' : path === BEAT_PATH ? 'beat' : null;

/** Null for bytes that are no message: they are logged and dropped. */
export const decodePeer = (kind: PeerMessage['kind'], bytes: Buffer): PeerMessage | null => {
  try {
    if (kind === 'progress') {
      const v = progress.fromBuffer(bytes) as Omit<Progress, 'kind'>;
      return {
        kind,
        member: v.member,
        term: v.term,
        notes: v.notes.map((n) => ({ id: n.id, done: n.done, running: n.running })),
      };
    }
    const v = beat.fromBuffer(bytes) as Omit<Beat, 'kind'>;
    return {
      kind,
      member: v.member,
      incarnation: v.incarnation,
      seq: v.seq,
      term: v.term,
      stateAgeUs: v.stateAgeUs,
      lateUs: v.lateUs,
      workers: v.workers,
      others: v.others.map((o) => ({
        member: o.member,
        incarnation: o.incarnation,
        ageUs: o.ageUs,
        suspected: o.suspected,
      })),
    };
  } catch {
    return null;
  }
};
