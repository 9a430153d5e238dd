/** One controller: feeds the core and carries out what it returns. */
import { Effect, Runtime, type Scope } from 'effect';
import { Core } from '@shaleyoke/core/core';
import type { AskFeature, Feature } from '@shaleyoke/core/feature-api';
import type { ClientRequest } from '@shaleyoke/core/domain/client-api';
import type { CoreEffect, Input } from '@shaleyoke/core/domain/effects';
import type { Settings } from '@shaleyoke/core/domain/settings';
import { decodeBody, encodeBody, MalformedMessageError } from '@shaleyoke/protocol/body';
import { decodePeer, peerKind } from '@shaleyoke/protocol/peers';
import { decodeSubmission, encodeClientResponse, route } from '@shaleyoke/protocol/client-api';
import { decodeHeartbeat, encodeHeartbeatResponse } from '@shaleyoke/protocol/workers';
import { Clients, type ClientsService } from './clients.js';
import { steadyNow, wallNow } from './clock.js';
import { Log, type LogService } from './log.js';
import { listen, type Outgoing } from './servers.js';

const plain = (status: number): Outgoing => ({ status, body: encodeBody({}) });

class Node {
  private readonly core: Core;
  private readonly open = new Map<number, (o: Outgoing) => void>();
  /** Clients of features, by request. */
  private readonly asking = new Map<number, (answer: unknown, last: boolean) => void>();
  private nextRequest = 1;
  private timer: NodeJS.Timeout | null = null;

  constructor(
    settings: Settings,
    private readonly clients: ClientsService,
    private readonly log: LogService,
    private readonly run: <A>(e: Effect.Effect<A>, then: (a: A) => void) => void,
    features: readonly Feature[],
  ) {
    this.core = new Core(settings, steadyNow, log.verbose, features);
  }

  feed(input: Input): void {
    try {
      for (const e of this.core.step(steadyNow(), input)) this.perform(e);
    } catch (e) {
      // A mistake of ours must not take the node, and with it users' requests, down.
      this.log.write('error', 'node.exception_caught', { input: input.kind, stack: (e as Error).stack });
    }
  }

  private wakeAt = 0;

  private wake(at: number): void {
    if (this.timer !== null) {
      if (this.wakeAt === at) return;
      clearTimeout(this.timer);
    }
    this.wakeAt = at;
    const ms = Math.max(1, Math.ceil((at - steadyNow()) / 1000));
    this.timer = setTimeout(() => {
      this.timer = null;
      this.feed({ kind: 'timer' });
    }, ms);
  }

  private perform(e: CoreEffect): void {
    switch (e.kind) {
      case 'storeRequest':
        this.run(this.clients.state(e.op, e.urgency), (reply) => {
          this.feed({ kind: 'storeReply', call: e.call, reply });
        });
        return;
      case 'cloudRequest':
        this.run(this.clients.cloud(e.op, e.urgency), (reply) => {
          this.feed({ kind: 'cloudReply', call: e.call, reply });
        });
        return;
      case 'workerCommands':
        this.run(this.clients.orders(e.address, e.fencingToken, e.agentEpoch, e.commands), (reply) => {
          this.feed({ kind: 'commandReply', call: e.call, reply });
        });
        return;
      case 'peerMessage':
        this.run(this.clients.peer(e.member, e.message), () => undefined);
        return;
      case 'clientResponse': {
        const a = encodeClientResponse(e.answer);
        // A node that can't serve now says so at once and lets the retry go to another one.
        this.answer(e.request, { ...a, close: a.status === 503 });
        return;
      }
      case 'heartbeatResponse':
        this.answer(e.request, encodeHeartbeatResponse(e.answer));
        return;
      case 'featureResponse': {
        const told = this.asking.get(e.request);
        if (e.last) this.asking.delete(e.request);
        told?.(e.answer, e.last);
        return;
      }
      case 'wake':
        this.wake(e.at);
        return;
      case 'role':
        this.clients.role(e.leader);
        return;
      case 'log':
        this.log.write(e.level, e.event, e.fields);
        return;
    }
  }

  private answer(request: number, o: Outgoing): void {
    const reply = this.open.get(request);
    this.open.delete(request);
    reply?.(o);
  }

  private ask(answer: (o: Outgoing) => void, body: ClientRequest): void {
    const request = this.nextRequest++;
    this.open.set(request, answer);
    this.feed({ kind: 'clientRequest', request, body, wallUs: wallNow() });
  }

  /** A feature's client asks; `told` is called for each answer, until the last. */
  askFeature(feature: string, body: unknown, told: (answer: unknown, last: boolean) => void): number {
    const request = this.nextRequest++;
    this.asking.set(request, told);
    this.feed({ kind: 'featureRequest', feature, request, body, wallUs: wallNow() });
    return request;
  }

  onPublic(method: string, url: string, body: Buffer, answer: (o: Outgoing) => void): void {
    const r = route(method, url);
    switch (r.kind) {
      case 'refused':
        answer(plain(r.status));
        return;
      case 'health':
        this.ask(answer, { kind: 'health' });
        return;
      case 'poll':
      case 'cancel':
        this.ask(answer, { kind: r.kind, id: r.id });
        return;
      case 'submit':
        this.ask(answer, decodeSubmission(body));
        return;
      case 'report':
        this.onReport(body, answer);
        return;
    }
  }

  private onReport(body: Buffer, answer: (o: Outgoing) => void): void {
    try {
      const report = decodeHeartbeat(decodeBody(body));
      const request = this.nextRequest++;
      this.open.set(request, answer);
      this.feed({ kind: 'heartbeat', request, heartbeat: report });
    } catch (e) {
      if (!(e instanceof MalformedMessageError)) throw e;
      this.log.write('error', 'report.malformed', { problem: e.message });
      answer(plain(400));
    }
  }

  onPeer(url: string, body: Buffer, answer: (o: Outgoing) => void): void {
    const kind = peerKind(url);
    if (kind === null) {
      answer(plain(404));
      return;
    }
    const message = decodePeer(kind, body);
    if (message === null) {
      this.log.write('error', 'peer.malformed', { bytes: body.length });
      answer(plain(400));
      return;
    }
    answer({ status: 200, body: Buffer.alloc(0) });
    this.feed({ kind: 'peerMessage', message });
  }

  start(): void {
    this.feed({ kind: 'start', wallUs: wallNow() });
  }
}

/** Sockets kept for calls to workers, peers, cloud and state service. */
const OUTGOING_SHARE = 0.25;

/** A feature's own listener; it is handed the way to the core. */
export type FeatureListener = (ask: AskFeature) => Promise<{ readonly close: () => void }>;

/** `features`: what is switched on beside the scheduler itself; `listeners`: where their clients come in. */
export const runNode = (
  settings: Settings,
  features: readonly Feature[] = [],
  listeners: readonly FeatureListener[] = [],
): Effect.Effect<never, Error, Clients | Log | Scope.Scope> =>
  Effect.gen(function* () {
    const clients = yield* Clients;
    const log = yield* Log;
    const runtime = yield* Effect.runtime();
    const run = <A>(e: Effect.Effect<A>, then: (a: A) => void): void => {
      Runtime.runCallback(runtime)(e, {
        onExit: (exit) => {
          if (exit._tag === 'Success') then(exit.value);
          else log.write('error', 'runtime.failure', { cause: String(exit.cause) });
        },
      });
    };
    const node = new Node(settings, clients, log, run, features);
    const limit =
      settings.maxConnections > 0 ? Math.floor(settings.maxConnections * (1 - OUTGOING_SHARE)) : 0;
    yield* listen(settings.listen, limit, (r, answer) => {
      node.onPublic(r.method, r.url, r.body, answer);
    });
    yield* listen(settings.peerListen, 0, (r, answer) => {
      node.onPeer(r.url, r.body, answer);
    });
    for (const listener of listeners)
      yield* Effect.acquireRelease(
        Effect.tryPromise({
          try: () => listener((feature, body, told) => node.askFeature(feature, body, told)),
          catch: (e) => e as Error,
        }),
        (open) => Effect.sync(open.close),
      );
    log.write('info', 'node.started', { listen: settings.listen, upS: process.uptime() });
    node.start();
    return yield* Effect.never;
  });
