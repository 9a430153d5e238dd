/** Workers: their reports, the answers to them, and direct orders. */
import type {
  ExitCause,
  WorkerCommand,
  CommandReply,
  Heartbeat,
  ReportedTask,
  TaskState,
  HeartbeatResponse,
} from '@shaleyoke/core/domain/heartbeat';
import {
  asFields,
  decodeBody,
  encodeBody,
  flag,
  integer,
  list,
  MalformedMessageError,
  micros,
  oneOf,
  optionalAmount,
  seconds,
  text,
} from './body.js';

export const STATES: ReadonlyMap<string, TaskState> = new Map([
  ['pulling', 'fetching'],
  ['gathering', 'waiting'],
  ['running', 'running'],
  ['flushing', 'saving'],
  ['exited', 'exited'],
]);
export const CAUSES: ReadonlyMap<string, ExitCause> = new Map([
  ['done', 'done'],
  ['stopped', 'stopped'],
  ['peers', 'peers'],
  ['incomplete', 'alone'],
  ['error', 'error'],
  ['full', 'noRoom'],
  ['busy', 'busy'],
  ['no_such', 'unknown'],
]);

export const taskName = (job: string, index: number): string => `${job}/${index}`;

export const splitTask = (name: string): { job: string; index: number } => {
  const cut = name.lastIndexOf('/');
  const index = Number(name.slice(cut + 1));
  if (cut <= 0 || !Number.isInteger(index) || index < 0) throw new MalformedMessageError('part: not a task');
  return { job: name.slice(0, cut), index };
};

const decodeTask = (value: unknown): ReportedTask => {
  const f = asFields(value, 'part');
  const state = oneOf(STATES, f, 'stage');
  return {
    ...splitTask(text(f, 'part')),
    attempt: integer(f, 'try'),
    state,
    cause: state === 'exited' ? oneOf(CAUSES, f, 'cause') : null,
    checkpointed: f['saved'] === true,
  };
};

export const decodeHeartbeat = (value: unknown): Heartbeat => {
  const f = asFields(value, 'report');
  const notice = optionalAmount(f, 'recall_s');
  return {
    machine: text(f, 'berth'),
    address: text(f, 'address'),
    type: text(f, 'model'),
    zone: text(f, 'hall'),
    spot: flag(f, 'loaners'),
    agentEpoch: integer(f, 'shift'),
    sequence: integer(f, 'tally'),
    fencingToken: integer(f, 'baton'),
    terminationNoticeUs: notice === null ? null : micros(notice),
    tasks: list(f['parts'], 'parts').map(decodeTask),
  };
};

const encodeOrder = (o: WorkerCommand): unknown => {
  const part = taskName(o.job, o.index);
  switch (o.op) {
    case 'start':
      return { verb: 'launch', part, try: o.attempt };
    case 'stop':
      return { verb: 'kill', part, try: o.attempt, leeway_s: seconds(o.graceUs) };
    case 'forget':
      return { verb: 'clear', part, try: o.attempt };
  }
};

export const encodeHeartbeatResponse = (a: HeartbeatResponse): { status: number; body: Buffer } => {
  switch (a.kind) {
    case 'accepted':
      return {
        status: 200,
        body: encodeBody({ baton: a.fencingToken, orders: a.commands.map(encodeOrder) }),
      };
    case 'redirect':
      return { status: 421, body: encodeBody(a.leader === null ? {} : { foreman: a.leader }) };
    case 'unavailable':
      return { status: 503, body: encodeBody({ error: 'not entitled to answer reports now' }) };
  }
};

export const COMMANDS_PATH = '/orders';

export const encodeCommands = (token: number, session: number, orders: readonly WorkerCommand[]): Buffer =>
  encodeBody({ baton: token, shift: session, orders: orders.map(encodeOrder) });

/** A malformed answer counts as none: whether the orders were executed stays open. */
export const decodeCommandReply = (status: number, bytes: Uint8Array): CommandReply => {
  if (status !== 200 && status !== 409) return { kind: 'lost', heartbeat: null };
  try {
    const report = decodeHeartbeat(decodeBody(bytes));
    return { kind: status === 200 ? 'executed' : 'refused', heartbeat: report };
  } catch (e) {
    if (e instanceof MalformedMessageError) return { kind: 'lost', heartbeat: null };
    throw e;
  }
};
