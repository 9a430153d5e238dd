/** The outside systems that the core calls: state service, cloud, workers, other controllers. */
import { Context, Effect, Layer } from 'effect';
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { WorkerCommand, CommandReply } from '@shaleyoke/core/domain/heartbeat';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { PeerMessage } from '@shaleyoke/core/domain/peer';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { decodeCloudReply, encodeCloudOperation } from '@shaleyoke/protocol/cloud';
import { encodePeer } from '@shaleyoke/protocol/peers';
import { decodeStoreReply, encodeStoreOperation } from '@shaleyoke/protocol/key-value-store';
import { decodeCommandReply, encodeCommands, COMMANDS_PATH } from '@shaleyoke/protocol/workers';
import { steadyNow } from './clock.js';
import { callHttp, makeAgent } from './http-client.js';
import { Limiter } from './limiter.js';

export interface ClientsService {
  readonly state: (op: StoreOperation, urgency: RequestUrgency) => Effect.Effect<StoreReply>;
  readonly cloud: (op: CloudOperation, urgency: RequestUrgency) => Effect.Effect<CloudReply>;
  readonly orders: (
    address: string,
    token: number,
    session: number,
    orders: readonly WorkerCommand[],
  ) => Effect.Effect<CommandReply>;
  readonly peer: (member: string, message: PeerMessage) => Effect.Effect<void>;
  readonly role: (leader: boolean) => void;
}
export class Clients extends Context.Tag('Clients')<Clients, ClientsService>() {}

const STATE_TIMEOUT: Micros = 1_200 * MILLI;
const CLOUD_TIMEOUT: Micros = 5 * SECOND;
const ORDERS_TIMEOUT: Micros = 2_500 * MILLI;
const PEER_TIMEOUT: Micros = 2 * SECOND;

/**
 * The nodes share the budgets without asking each other. Requests are mostly users' polls, which come to
 * all nodes alike; renewals of leases count among them, so their shares stay within the whole. Shares of
 * changes add up to more than the whole: the nodes seldom need them at once, and what the service turns
 * away is tried again. Only the leader calls the cloud, but for the machine types at the start.
 */
interface Shares {
  readonly requests: number;
  readonly changes: number;
  readonly cloud: number;
}
const ALONE: Shares = { requests: 0.95, changes: 0.95, cloud: 0.95 };
const shares = (s: Settings, leader: boolean): Shares => {
  const others = s.memberCount - 1;
  if (others <= 0) return ALONE;
  return leader
    ? { requests: 0.4, changes: 0.65, cloud: 0.9 }
    : { requests: 0.55 / others, changes: 0.7 / others, cloud: 0.1 / others };
};

/** How long a call that was turned away for the budget is tried again, by urgency. */
const RETRY_FOR: Record<RequestUrgency, Micros> = { 0: 2 * SECOND, 1: 900 * MILLI, 2: 4 * SECOND };
/** Idle connections to workers are closed: at a thousand machines they would use up the sockets. */
const WORKER_IDLE_MS = 4_000;

const admitted = (limiter: Limiter, urgency: RequestUrgency, writes: number): Effect.Effect<boolean> =>
  Effect.async<boolean>((resume) => {
    limiter.admit(urgency, writes, (ok) => {
      resume(Effect.succeed(ok));
    });
  });

const make = (settings: Settings): ClientsService => {
  const share = shares(settings, false);
  const stateLimiter = new Limiter(
    settings.storeRequestsPerS * share.requests,
    settings.storeWritesPerS * share.changes,
    steadyNow,
  );
  const cloudLimiter = new Limiter(settings.cloudRequestsPerS * share.cloud, 1, steadyNow);
  const stateAgent = makeAgent(16);
  const watchAgent = makeAgent(4);
  const cloudAgent = makeAgent(4);
  const workerAgent = makeAgent(1, WORKER_IDLE_MS);
  const peerAgent = makeAgent(1);

  return {
    state: (op, urgency) => {
      const writes = op.kind === 'txn' ? op.writes.length : 0;
      const timeout = op.kind === 'watch' ? op.waitMs * MILLI + 2 * SECOND : STATE_TIMEOUT;
      const agent = op.kind === 'watch' ? watchAgent : stateAgent;
      const until = steadyNow() + RETRY_FOR[urgency];
      const call = encodeStoreOperation(op);
      const attempt = (): Effect.Effect<StoreReply> =>
        admitted(stateLimiter, urgency, writes).pipe(
          Effect.flatMap((ok) => {
            if (!ok)
              return Effect.succeed<StoreReply>({
                kind: 'failed',
                executed: false,
                cause: 'busy',
                reason: 'over budget',
              });
            return callHttp(agent, settings.storeAddress, call, timeout).pipe(
              Effect.flatMap((r) => {
                if (r === null)
                  return Effect.succeed<StoreReply>({
                    kind: 'failed',
                    executed: null,
                    cause: 'silent',
                    reason: 'no answer',
                  });
                if (r.status === 429) {
                  stateLimiter.pushBack(writes > 0);
                  if (steadyNow() < until) return attempt();
                }
                return Effect.succeed(decodeStoreReply(op, r.status, r.body));
              }),
            );
          }),
        );
      return attempt();
    },
    cloud: (op, urgency) =>
      admitted(cloudLimiter, urgency, 0).pipe(
        Effect.flatMap((ok) => {
          if (!ok) return Effect.succeed<CloudReply>({ kind: 'failed', reason: 'over budget' });
          return callHttp(cloudAgent, settings.cloudAddress, encodeCloudOperation(op), CLOUD_TIMEOUT).pipe(
            Effect.map((r): CloudReply => {
              if (r === null) return { kind: 'failed', reason: 'no answer' };
              if (r.status === 429) cloudLimiter.pushBack(false);
              return decodeCloudReply(op, r.status, r.body);
            }),
          );
        }),
      ),
    orders: (address, token, session, orders) =>
      callHttp(
        workerAgent,
        address,
        { method: 'POST', path: COMMANDS_PATH, body: encodeCommands(token, session, orders) },
        ORDERS_TIMEOUT,
      ).pipe(
        Effect.map((r) =>
          r === null ? { kind: 'lost' as const, heartbeat: null } : decodeCommandReply(r.status, r.body),
        ),
      ),
    peer: (member, message) => {
      const p = settings.peers.find((x) => x.member === member);
      if (p === undefined) return Effect.void;
      const call = { method: 'POST', ...encodePeer(message) } as const;
      return Effect.asVoid(callHttp(peerAgent, p.address, call, PEER_TIMEOUT));
    },
    role: (leader) => {
      const s = shares(settings, leader);
      stateLimiter.setRates(settings.storeRequestsPerS * s.requests, settings.storeWritesPerS * s.changes);
      cloudLimiter.setRates(settings.cloudRequestsPerS * s.cloud, 1);
    },
  };
};

export const ClientsLive = (settings: Settings): Layer.Layer<Clients> =>
  Layer.sync(Clients, () => make(settings));
