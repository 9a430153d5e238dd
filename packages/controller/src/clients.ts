/** The outside systems that the core calls: key-value store, cloud, workers, other controllers. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { CommandReply, WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { PeerMessage } from '@shaleyoke/core/domain/peer';
import type { Settings } from '@shaleyoke/core/domain/settings';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { encodePeerMessage } from '@shaleyoke/protocol/peers';
import { COMMANDS_PATH, decodeCommandReply, encodeCommands } from '@shaleyoke/protocol/workers';
import { Context, Effect, Layer } from 'effect';

import { budgetShares } from './budget-shares.js';
import { steadyNow } from './clock.js';
import { CloudClient } from './cloud-client.js';
import { callHttp, makeAgent } from './http-client.js';
import { RateLimiter, type RateLimiterSummary } from './rate-limiter.js';
import { StoreClient } from './store-client.js';

/** Calls to outside systems. None of them fails: a call without an answer has a reply that says so. */
export interface ClientsService {
  readonly requestStore: (operation: StoreOperation, urgency: RequestUrgency) => Effect.Effect<StoreReply>;
  readonly requestCloud: (operation: CloudOperation, urgency: RequestUrgency) => Effect.Effect<CloudReply>;
  readonly sendCommands: (
    address: string,
    fencingToken: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ) => Effect.Effect<CommandReply>;
  readonly sendToPeer: (member: string, message: PeerMessage) => Effect.Effect<void>;
  /** The leader gets the larger share of the request budgets. */
  readonly setRole: (isLeader: boolean) => void;
  /** What the budget of the store has let through since the last time. */
  readonly takeStoreSummary: () => RateLimiterSummary;
}

/** The tag under which the clients are provided. */
export class Clients extends Context.Tag('Clients')<Clients, ClientsService>() {}

const COMMANDS_TIMEOUT: Micros = 2_500 * MILLI;
const PEER_TIMEOUT: Micros = 2 * SECOND;
/** Idle connections to workers are closed: at a thousand machines they would use up the sockets. */
const WORKER_IDLE_MS = 4_000;
/** The cloud's budget does not count writes. */
const NO_WRITES = 1;

const makeClients = (settings: Settings): ClientsService => {
  const { memberCount, storeRequestsPerS, storeWritesPerS, cloudRequestsPerS } = settings;
  const shares = budgetShares(memberCount, false);
  const storeLimiter = new RateLimiter(
    storeRequestsPerS * shares.requests,
    storeWritesPerS * shares.writes,
    steadyNow,
  );
  const cloudLimiter = new RateLimiter(cloudRequestsPerS * shares.cloud, NO_WRITES, steadyNow);
  const store = new StoreClient(settings.storeAddress, storeLimiter);
  const cloud = new CloudClient(settings.cloudAddress, cloudLimiter);
  const workerAgent = makeAgent(1, WORKER_IDLE_MS);
  const peerAgent = makeAgent(1);

  return {
    requestStore: (operation, urgency) => store.request(operation, urgency),
    requestCloud: (operation, urgency) => cloud.request(operation, urgency),
    sendCommands: (address, fencingToken, agentEpoch, commands) => {
      const body = encodeCommands(fencingToken, agentEpoch, commands);
      const call = { method: 'POST', path: COMMANDS_PATH, body } as const;
      return callHttp(workerAgent, address, call, COMMANDS_TIMEOUT).pipe(
        Effect.map((reply): CommandReply =>
          reply === null ? { kind: 'lost', heartbeat: null } : decodeCommandReply(reply.status, reply.body),
        ),
      );
    },
    sendToPeer: (member, message) => {
      const peer = settings.peers.find((candidate) => candidate.member === member);
      if (peer === undefined) return Effect.void;
      const call = { method: 'POST', ...encodePeerMessage(message) } as const;
      return Effect.asVoid(callHttp(peerAgent, peer.address, call, PEER_TIMEOUT));
    },
    takeStoreSummary: () => storeLimiter.takeSummary(),
    setRole: (isLeader) => {
      const { requests, writes, cloud: cloudShare } = budgetShares(memberCount, isLeader);
      storeLimiter.setRates(storeRequestsPerS * requests, storeWritesPerS * writes);
      cloudLimiter.setRates(cloudRequestsPerS * cloudShare, NO_WRITES);
    },
  };
};

/** Clients for the outside systems that the settings name. */
export const ClientsLive = (settings: Settings): Layer.Layer<Clients> =>
  Layer.sync(Clients, () => makeClients(settings));
