/**
 * Messages between the controllers: Avro over HTTP on the peers' address, each kind of message on a path of its own. The
 * version before serves the first path only and answers 404 on the other, so it receives nothing that it doesn't know.
 */
import type { PeerHeartbeat, PeerMessage, ProgressUpdate } from '@shaleyoke/core/domain/peer';
import avro from 'avsc';

/** Path for progress updates. */
const PROGRESS_PATH = '/peer/v1';
/** Path for heartbeats. */
const HEARTBEAT_PATH = '/peer/v2/beat';

const progressType = avro.Type.forSchema({
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

const heartbeatType = avro.Type.forSchema({
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

/** A progress update as it is encoded in Avro. */
interface ProgressRecord {
  readonly member: string;
  readonly term: number;
  readonly notes: readonly { readonly id: string; readonly done: number; readonly running: number }[];
}

/** A heartbeat as it is encoded in Avro. */
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
  others: message.peers.map((other) => ({
    member: other.member,
    incarnation: other.incarnation,
    ageUs: other.ageUs,
    suspected: other.suspected,
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
  peers: record.others.map((other) => ({
    member: other.member,
    incarnation: other.incarnation,
    ageUs: other.ageUs,
    suspected: other.suspected,
  })),
});

/** An HTTP request that is to be made to a peer. */
export interface PeerCall {
  readonly path: string;
  readonly body: Buffer;
}

/** Encodes a message to a peer. */
export const encodePeerMessage = (message: PeerMessage): PeerCall =>
  message.kind === 'progress'
    ? { path: PROGRESS_PATH, body: progressType.toBuffer(toProgressRecord(message)) }
    : { path: HEARTBEAT_PATH, body: heartbeatType.toBuffer(toHeartbeatRecord(message)) };

/** The kind of messages that a path carries; null for an unknown path. */
export const peerMessageKindOf = (path: string): PeerMessage['kind'] | null => {
  if (path === PROGRESS_PATH) return 'progress';
  return path === HEARTBEAT_PATH ? 'beat' : null;
};

/** Decodes a message of a peer; null for bytes that are none, which the caller logs and drops. */
export const decodePeerMessage = (kind: PeerMessage['kind'], bytes: Buffer): PeerMessage | null => {
  try {
    return kind === 'progress'
      ? fromProgressRecord(progressType.fromBuffer(bytes) as ProgressRecord)
      : fromHeartbeatRecord(heartbeatType.fromBuffer(bytes) as HeartbeatRecord);
  } catch {
    return null;
  }
};
