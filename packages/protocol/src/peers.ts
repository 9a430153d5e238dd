/**
 * Between the controllers: Avro over HTTP on the peers' address, each kind of message on a path of its own. The version
 * before knows the first path only and answers 404 on the other: it is asked nothing that it doesn't know.
 */
import avro from 'avsc';
import type { PeerHeartbeat, PeerMessage, ProgressUpdate } from '@shaleyoke/core/domain/peer';

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

/** A progress update as Avro has it. */
interface ProgressRecord {
  readonly member: string;
  readonly term: number;
  readonly notes: readonly { readonly id: string; readonly done: number; readonly running: number }[];
}

/** A heartbeat as Avro has it. */
interface BeatRecord {
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

const toBeatRecord = (message: PeerHeartbeat): BeatRecord => ({
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

const fromBeatRecord = (record: BeatRecord): PeerHeartbeat => ({
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

export interface PeerCall {
  readonly path: string;
  readonly body: Buffer;
}

export const encodePeer = (message: PeerMessage): PeerCall =>
  message.kind === 'progress'
    ? { path: PROGRESS_PATH, body: progress.toBuffer(toProgressRecord(message)) }
    : { path: BEAT_PATH, body: beat.toBuffer(toBeatRecord(message)) };

/** Which kind a path carries; null for one that is not known. */
export const peerKind = (path: string): PeerMessage['kind'] | null => {
  if (path === PROGRESS_PATH) return 'progress';
  return path === BEAT_PATH ? 'beat' : null;
};

/** Null for bytes that are no message: they are logged and dropped. */
export const decodePeer = (kind: PeerMessage['kind'], bytes: Buffer): PeerMessage | null => {
  try {
    return kind === 'progress'
      ? fromProgressRecord(progress.fromBuffer(bytes) as ProgressRecord)
      : fromBeatRecord(beat.fromBuffer(bytes) as BeatRecord);
  } catch {
    return null;
  }
};
