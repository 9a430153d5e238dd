/** The HTTP API between workers and the leader: heartbeats and their responses, and commands that the leader sends directly. */
import type {
  CommandReply,
  ExitCause,
  Heartbeat,
  HeartbeatResponse,
  ReportedTask,
  TaskState,
  WorkerCommand,
} from '@shaleyoke/core/domain/heartbeat';

import {
  decodeReplyBody,
  encodeBody,
  MalformedMessageError,
  microsToSeconds,
  readArray,
  readBoolean,
  readEnum,
  readInteger,
  readMap,
  readOptionalAmount,
  readString,
  type ReplyBody,
  secondsToMicros,
} from './body.js';

/** Task states by their names on the wire. */
export const TASK_STATES: ReadonlyMap<string, TaskState> = new Map([
  ['pulling', 'fetching'],
  ['gathering', 'waiting'],
  ['running', 'running'],
  ['flushing', 'saving'],
  ['exited', 'exited'],
]);
/** Causes of a task's exit by their names on the wire. */
export const EXIT_CAUSES: ReadonlyMap<string, ExitCause> = new Map([
  ['done', 'done'],
  ['stopped', 'stopped'],
  ['peers', 'peers'],
  ['incomplete', 'alone'],
  ['error', 'error'],
  ['full', 'noRoom'],
  ['busy', 'busy'],
  ['no_such', 'unknown'],
]);

/** The name of a task on the wire: the job's id and the index of the task. */
export const taskName = (job: string, index: number): string => `${job}/${index}`;

/** Splits the name of a task into the job's id and the index. Throws `MalformedMessageError`. */
export const parseTaskName = (name: string): { job: string; index: number } => {
  const separator = name.lastIndexOf('/');
  const index = Number(name.slice(separator + 1));
  if (separator <= 0 || !Number.isInteger(index) || index < 0)
    throw new MalformedMessageError('part: not a task');
  return { job: name.slice(0, separator), index };
};

const decodeTask = (value: unknown): ReportedTask => {
  const fields = readMap(value, 'part');
  const state = readEnum(TASK_STATES, fields, 'stage');
  return {
    ...parseTaskName(readString(fields, 'part')),
    attempt: readInteger(fields, 'try'),
    state,
    cause: state === 'exited' ? readEnum(EXIT_CAUSES, fields, 'cause') : null,
    checkpointed: fields['saved'] === true,
  };
};

/** Decodes the heartbeat of a worker, with the states of its tasks. Throws `MalformedMessageError`. */
export const decodeHeartbeat = (value: unknown): Heartbeat => {
  const fields = readMap(value, 'report');
  const notice = readOptionalAmount(fields, 'recall_s');
  return {
    machine: readString(fields, 'berth'),
    address: readString(fields, 'address'),
    type: readString(fields, 'model'),
    zone: readString(fields, 'hall'),
    spot: readBoolean(fields, 'loaners'),
    agentEpoch: readInteger(fields, 'shift'),
    sequence: readInteger(fields, 'tally'),
    fencingToken: readInteger(fields, 'baton'),
    terminationNoticeUs: notice === null ? null : secondsToMicros(notice),
    tasks: readArray(fields['parts'], 'parts').map(decodeTask),
  };
};

const encodeCommand = (command: WorkerCommand): unknown => {
  const part = taskName(command.job, command.index);
  switch (command.op) {
    case 'start':
      return { verb: 'launch', part, try: command.attempt };
    case 'stop':
      return { verb: 'kill', part, try: command.attempt, leeway_s: microsToSeconds(command.graceUs) };
    case 'forget':
      return { verb: 'clear', part, try: command.attempt };
  }
};

/** Encodes the response to a heartbeat: commands, the name of the leader if another controller leads, or a refusal. */
export const encodeHeartbeatResponse = (response: HeartbeatResponse): { status: number; body: Buffer } => {
  switch (response.kind) {
    case 'accepted':
      return {
        status: 200,
        body: encodeBody({ baton: response.fencingToken, orders: response.commands.map(encodeCommand) }),
      };
    case 'redirect':
      return { status: 421, body: encodeBody(response.leader === null ? {} : { foreman: response.leader }) };
    case 'unavailable':
      return { status: 503, body: encodeBody({ error: 'not entitled to answer reports now' }) };
  }
};

/** The path on a worker that accepts commands. */
export const COMMANDS_PATH = '/orders';

/** Encodes commands for one worker, which refuses them if the fencing token is outdated or the agent's epoch differs from its own. */
export const encodeCommands = (
  fencingToken: number,
  agentEpoch: number,
  commands: readonly WorkerCommand[],
): Buffer => encodeBody({ baton: fencingToken, shift: agentEpoch, orders: commands.map(encodeCommand) });

/** Decodes the reply to commands. A malformed reply counts as lost: the commands may or may not have been executed. */
export const decodeCommandReply = (status: number, bytes: ReplyBody): CommandReply => {
  if (status !== 200 && status !== 409) return { kind: 'lost', heartbeat: null };
  try {
    const heartbeat = decodeHeartbeat(decodeReplyBody(bytes));
    return { kind: status === 200 ? 'executed' : 'refused', heartbeat };
  } catch (error) {
    if (error instanceof MalformedMessageError) return { kind: 'lost', heartbeat: null };
    throw error;
  }
};
