/** The outside systems that the core calls: state service, cloud, workers, other controllers. */
import { Context, Effect, Layer } from 'effect';
import type {
  CloudOp,
  CloudReply,
  Micros,
  Order,
  OrdersReply,
  PeerMessage,
  Settings,
  StateOp,
  StateReply,
  Urgency,
} from '../core/model.js';
import { MILLI, SECOND } from '../core/model.js';
import { decodeCloudReply, encodeCloudOp } from '../protocol/cloud.js';
import { encodePeer, PEER_PATH } from '../protocol/peers.js';
import { decodeStateReply, encodeStateOp } from '../protocol/state.js';
import { decodeOrdersReply, encodeOrders, ORDERS_PATH } from '../protocol/workers.js';
import { steadyNow } from './clock.js';
import { callHttp, makeAgent } from './http-client.js';
import { Limiter } from './limiter.js';

export interface ClientsService {
  readonly state: (op: StateOp, urgency: Urgency) => Effect.Effect<StateReply>;
  readonly cloud: (op: CloudOp, urgency: Urgency) => Effect.Effect<CloudReply>;
  readonly orders: (
    address: string,
    token: number,
    session: number,
    orders: readonly Order[],
  ) => Effect.Effect<OrdersReply>;
  readonly peer: (member: string, message: PeerMessage) => Effect.Effect<void>;
  readonly role: (leader: boolean) => void;
}
export class Clients extends Context.Tag('Clients')<Clients, ClientsService>() {}

const STATE_TIMEOUT: Micros = 1_200 * MILLI;
const CLOUD_TIMEOUT: Micros = 5 * SECOND;
const ORDERS_TIMEOUT: Micros = 2_500 * MILLI;
const PEER_TIMEOUT: Micros = 2 * SECOND;

/** The nodes share the budgets without asking each other: the leader, which needs most, gets most. */
const LEADER_SHARE = 0.6;
const OTHERS_SHARE = 0.36;
const shares = (s: Settings, leader: boolean): number =>
  s.members === 1 ? 0.95 : leader ? LEADER_SHARE : OTHERS_SHARE / (s.members - 1);

const admitted = (limiter: Limiter, urgency: Urgency, writes: number): Effect.Effect<boolean> =>
  Effect.async<boolean>((resume) => {
    limiter.admit(urgency, writes, (ok) => {
      resume(Effect.succeed(ok));
    });
  });

const make = (settings: Settings): ClientsService => {
  const share = shares(settings, false);
  const stateLimiter = new Limiter(settings.stateRps * share, settings.stateWriteRps * share, steadyNow);
  const cloudLimiter = new Limiter(settings.cloudRps * share, 1, steadyNow);
  const stateAgent = makeAgent(16);
  const watchAgent = makeAgent(4);
  const cloudAgent = makeAgent(4);
  const workerAgent = makeAgent(1);
  const peerAgent = makeAgent(1);

  return {
    state: (op, urgency) => {
      const writes = op.kind === 'txn' ? op.writes.length : 0;
      const timeout = op.kind === 'watch' ? op.waitMs * MILLI + 2 * SECOND : STATE_TIMEOUT;
      const agent = op.kind === 'watch' ? watchAgent : stateAgent;
      return admitted(stateLimiter, urgency, writes).pipe(
        Effect.flatMap((ok) => {
          if (!ok)
            return Effect.succeed<StateReply>({ kind: 'failed', executed: false, reason: 'over budget' });
          return callHttp(agent, settings.stateAddress, encodeStateOp(op), timeout).pipe(
            Effect.map((r): StateReply => {
              if (r === null) return { kind: 'failed', executed: null, reason: 'no answer' };
              if (r.status === 429) stateLimiter.pushBack();
              return decodeStateReply(op, r.status, r.body);
            }),
          );
        }),
      );
    },
    cloud: (op, urgency) =>
      admitted(cloudLimiter, urgency, 0).pipe(
        Effect.flatMap((ok) => {
          if (!ok) return Effect.succeed<CloudReply>({ kind: 'failed', reason: 'over budget' });
          return callHttp(cloudAgent, settings.cloudAddress, encodeCloudOp(op), CLOUD_TIMEOUT).pipe(
            Effect.map((r): CloudReply => {
              if (r === null) return { kind: 'failed', reason: 'no answer' };
              if (r.status === 429) cloudLimiter.pushBack();
              return decodeCloudReply(op, r.status, r.body);
            }),
          );
        }),
      ),
    orders: (address, token, session, orders) =>
      callHttp(
        workerAgent,
        address,
        { method: 'POST', path: ORDERS_PATH, body: encodeOrders(token, session, orders) },
        ORDERS_TIMEOUT,
      ).pipe(
        Effect.map((r) =>
          r === null ? { kind: 'lost' as const, report: null } : decodeOrdersReply(r.status, r.body),
        ),
      ),
    peer: (member, message) => {
      const p = settings.peers.find((x) => x.member === member);
      if (p === undefined) return Effect.void;
      const call = { method: 'POST', path: PEER_PATH, body: encodePeer(message) } as const;
      return Effect.asVoid(callHttp(peerAgent, p.address, call, PEER_TIMEOUT));
    },
    role: (leader) => {
      const s = shares(settings, leader);
      stateLimiter.setRates(settings.stateRps * s, settings.stateWriteRps * s);
      cloudLimiter.setRates(settings.cloudRps * s, 1);
    },
  };
};

export const ClientsLive = (settings: Settings): Layer.Layer<Clients> =>
  Layer.sync(Clients, () => make(settings));
