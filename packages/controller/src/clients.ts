/** Clients of the external systems that the core calls: key-value store, cloud, workers and other controllers. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { CommandReply, WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { PeerMessage } from '@shaleyoke/core/domain/peer';
import type { Settings } from '@shaleyoke/core/domain/settings';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { MAX_BODY_BYTES } from '@shaleyoke/protocol/body';
import { encodePeerMessage } from '@shaleyoke/protocol/peers';
import { COMMANDS_PATH, decodeCommandReply, encodeCommands } from '@shaleyoke/protocol/workers';
import { Context, Effect, Layer } from 'effect';

import { budgetShares } from './budget-shares.js';
import { steadyNow } from './clock.js';
import { CloudClient } from './cloud-client.js';
import { callHttp, makeAgent } from './http-client.js';
import { RateLimiter, type RateLimiterSummary } from './rate-limiter.js';
import { StoreClient } from './store-client.js';

/** Calls to external systems. None of the effects fails: the reply states that there was no answer. */
export interface ClientsService {
  /** Executes an operation of the key-value store; waits for admission by the rate limiter first. */
  readonly requestStore: (operation: StoreOperation, urgency: RequestUrgency) => Effect.Effect<StoreReply>;
  /** Executes an operation of the cloud; waits for admission by the rate limiter first. */
  readonly requestCloud: (operation: CloudOperation, urgency: RequestUrgency) => Effect.Effect<CloudReply>;
  /** Sends commands to the worker at an address, and returns the heartbeat in its reply. */
  readonly sendCommands: (
    address: string,
    fencingToken: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ) => Effect.Effect<CommandReply>;
  /** Sends a message to another controller, without a delivery guarantee; does nothing for an unknown member. */
  readonly sendToPeer: (member: string, message: PeerMessage) => Effect.Effect<void>;
  /** Adjusts the shares of the request budgets to the role: the leader's are larger. */
  readonly setRole: (isLeader: boolean) => void;
  /** Statistics of the store's rate limiter since the last call. */
  readonly takeStoreSummary: () => RateLimiterSummary;
}

/** Effect's service tag under which the clients are provided. */
export class Clients extends Context.Tag('Clients')<Clients, ClientsService>() {}

/** A worker's reply is a heartbeat, like its requests. */
const COMMANDS_LIMITS = { timeout: 2_500 * MILLISECOND, maxBytes: MAX_BODY_BYTES };
const PEER_LIMITS = { timeout: 2 * SECOND, maxBytes: MAX_BODY_BYTES };
/** Idle connections to workers are closed: with a thousand machines they would use up the sockets. */
const WORKER_IDLE_MS = 4_000;
/** The cloud has no write limit: its calls are admitted with no writes, so that this rate never applies. */
const UNUSED_WRITE_RATE = 1;

const makeClients = (settings: Settings): ClientsService => {
  const { memberCount, storeRequestsPerS, storeWritesPerS, cloudRequestsPerS } = settings;
  const shares = budgetShares(memberCount, false);
  const storeLimiter = new RateLimiter(
    storeRequestsPerS * shares.requests,
    storeWritesPerS * shares.writes,
    steadyNow,
  );
  const cloudLimiter = new RateLimiter(cloudRequestsPerS * shares.cloud, UNUSED_WRITE_RATE, steadyNow);
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
      return callHttp(workerAgent, address, call, COMMANDS_LIMITS).pipe(
        Effect.map((reply): CommandReply =>
          reply === null ? { kind: 'lost', heartbeat: null } : decodeCommandReply(reply.status, reply.body),
        ),
      );
    },
    sendToPeer: (member, message) => {
      const peer = settings.peers.find((candidate) => candidate.member === member);
      if (peer === undefined) return Effect.void;
      const call = { method: 'POST', ...encodePeerMessage(message) } as const;
      return Effect.asVoid(callHttp(peerAgent, peer.address, call, PEER_LIMITS));
    },
    takeStoreSummary: () => storeLimiter.takeSummary(),
    setRole: (isLeader) => {
      const { requests, writes, cloud: cloudShare } = budgetShares(memberCount, isLeader);
      storeLimiter.setRates(storeRequestsPerS * requests, storeWritesPerS * writes);
      cloudLimiter.setRates(cloudRequestsPerS * cloudShare, UNUSED_WRITE_RATE);
    },
  };
};

/** Provides clients for the external systems that the settings name. */
export const ClientsLive = (settings: Settings): Layer.Layer<Clients> =>
  Layer.sync(Clients, () => makeClients(settings));
