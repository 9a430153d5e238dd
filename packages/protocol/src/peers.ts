/**
 * Messages between controllers, in Avro over HTTP, with one path for each kind of message. The previous version serves only the path
 * for progress updates and answers 404 on the other, so it never receives a message that it can't decode.
 */
import type { PeerHeartbeat, PeerMessage, ProgressUpdate } from '@shaleyoke/core/domain/peer';
import avro from 'avsc';

import { decodeAvroRecord } from './avro-reader.js';

/** Path for progress updates. */
const PROGRESS_PATH = '/peer/v1';
/** Path for heartbeats. */
const HEARTBEAT_PATH = '/peer/v2/beat';

const forRecord = (schema: avro.schema.RecordType): avro.types.RecordType => {
  const type = avro.Type.forSchema(schema);
  if (!(type instanceof avro.types.RecordType)) throw new TypeError(`${schema.name}: not a record`);
  return type;
};

const progressType = forRecord({
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

const heartbeatType = forRecord({
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

/** A progress update with the field names of its Avro schema. */
interface ProgressRecord {
  readonly member: string;
  readonly term: number;
  readonly notes: readonly { readonly id: string; readonly done: number; readonly running: number }[];
}

/** A heartbeat with the field names of its Avro schema. */
interface HeartbeatRecord {
  readonly member: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly term: number | null;
  readonly stateAgeUs: number | null;
  readonly lateUs: number;
  readonly workers: number;
  readonly others: readonly {
    readonly member: string;
    readonly incarnation: number;
    readonly ageUs: number;
    readonly suspected: boolean;
  }[];
}

const toProgressRecord = (message: ProgressUpdate): ProgressRecord => ({
  member: message.member,
  term: message.term,
  notes: message.jobs.map(({ id, done, running }) => ({ id, done, running })),
});

const fromProgressRecord = (record: ProgressRecord): ProgressUpdate => ({
  kind: 'progress',
  member: record.member,
  term: record.term,
  jobs: record.notes.map(({ id, done, running }) => ({ id, done, running })),
});

const toHeartbeatRecord = (message: PeerHeartbeat): HeartbeatRecord => ({
  member: message.member,
  incarnation: message.incarnation,
  seq: message.sequence,
  term: message.term,
  stateAgeUs: message.storeAnswerAgeUs,
  lateUs: message.timerDelayUs,
  workers: message.workerCount,
  others: message.peers.map((peer) => ({
    member: peer.member,
    incarnation: peer.incarnation,
    ageUs: peer.ageUs,
    suspected: peer.suspected,
  })),
});

const fromHeartbeatRecord = (record: HeartbeatRecord): PeerHeartbeat => ({
  kind: 'beat',
  member: record.member,
  incarnation: record.incarnation,
  sequence: record.seq,
  term: record.term,
  storeAnswerAgeUs: record.stateAgeUs,
  timerDelayUs: record.lateUs,
  workerCount: record.workers,
  peers: record.others.map((peer) => ({
    member: peer.member,
    incarnation: peer.incarnation,
    ageUs: peer.ageUs,
    suspected: peer.suspected,
  })),
});

/** The path and the encoded body of a request to a peer; its method is POST. */
export interface PeerCall {
  readonly path: string;
  readonly body: Buffer;
}

/** Encodes a message to a peer and selects its path. */
export const encodePeerMessage = (message: PeerMessage): PeerCall =>
  message.kind === 'progress'
    ? { path: PROGRESS_PATH, body: progressType.toBuffer(toProgressRecord(message)) }
    : { path: HEARTBEAT_PATH, body: heartbeatType.toBuffer(toHeartbeatRecord(message)) };

/** The kind of message that is sent to a path; null for an unknown path. */
export const peerMessageKindOf = (path: string): PeerMessage['kind'] | null => {
  if (path === PROGRESS_PATH) return 'progress';
  return path === HEARTBEAT_PATH ? 'beat' : null;
};

/** Decodes a message of a peer; null if it is malformed, which the caller logs. */
export const decodePeerMessage = (kind: PeerMessage['kind'], bytes: Buffer): PeerMessage | null => {
  try {
    return kind === 'progress'
      ? fromProgressRecord(decodeAvroRecord(progressType, bytes) as ProgressRecord)
      : fromHeartbeatRecord(decodeAvroRecord(heartbeatType, bytes) as HeartbeatRecord);
  } catch {
    return null;
  }
};
