/** One controller process: passes inputs to the core's state machine and carries out the effects that it returns. */
import { Core } from '@shaleyoke/core/core';
import type { ClientRequest } from '@shaleyoke/core/domain/client-api';
import type { CoreEffect, Input } from '@shaleyoke/core/domain/effects';
import type { Settings } from '@shaleyoke/core/domain/settings';
import { type Micros, MILLISECOND } from '@shaleyoke/core/domain/time';
import type { Feature } from '@shaleyoke/core/feature-api';
import { decodeBody, encodeBody, MalformedMessageError } from '@shaleyoke/protocol/body';
import { decodeSubmission, encodeClientResponse, routeRequest } from '@shaleyoke/protocol/client-api';
import { decodePeerMessage, peerMessageKindOf } from '@shaleyoke/protocol/peers';
import { decodeHeartbeat, encodeHeartbeatResponse } from '@shaleyoke/protocol/workers';
import type { Effect } from 'effect';

import type { ClientsService } from './clients.js';
import { steadyNow, wallNow } from './clock.js';
import type { ServerRequest, ServerResponse } from './http-server.js';
import type { LogService } from './log.js';
import { ProcessMetrics } from './process-metrics.js';

/** Sends the response to a request; called once, possibly later. */
export type Respond = (response: ServerResponse) => void;
/** Runs an effect without waiting for it and passes its result to `then`. */
export type RunEffect = <A>(effect: Effect.Effect<A>, then: (result: A) => void) => void;
/** Called with each answer of a feature; `last` marks the final one. */
type OnFeatureAnswer = (answer: unknown, last: boolean) => void;

const UNAVAILABLE = 503;
/** Interval at which the metrics of the process are logged. */
const SUMMARY_INTERVAL_MS = 10_000;
const ACCEPTED: ServerResponse = { status: 200, body: Buffer.alloc(0) };

const emptyResponse = (status: number): ServerResponse => ({ status, body: encodeBody({}) });

/** Owns the core of one process and the requests that await a response from it. */
export class Controller {
  private readonly core: Core;
  /** Requests of users and workers that await a response, by request number. */
  private readonly pendingRequests = new Map<number, Respond>();
  /** Requests of features' clients that await further answers, by request number. */
  private readonly featureRequests = new Map<number, OnFeatureAnswer>();
  private nextRequest = 1;
  private timer: NodeJS.Timeout | null = null;
  private timerDueAt: Micros = 0;
  private readonly metrics: ProcessMetrics;

  constructor(
    settings: Settings,
    private readonly clients: ClientsService,
    private readonly log: LogService,
    private readonly run: RunEffect,
    features: readonly Feature[],
  ) {
    this.core = new Core(settings, steadyNow, log.verbose, features);
    this.metrics = new ProcessMetrics(() => ({
      openRequests: this.pendingRequests.size,
      store: { ...clients.takeStoreSummary() },
    }));
  }

  /** Starts the core; to be called once all listeners are open. */
  start(): void {
    this.step({ kind: 'start', wallUs: wallNow() });
    this.scheduleSummary();
  }

  private scheduleSummary(): void {
    setTimeout(() => {
      this.log.write('info', 'node.summarized', this.metrics.takeSummary());
      this.scheduleSummary();
    }, SUMMARY_INTERVAL_MS);
  }

  /** Handles a request of a user, a worker or a health check. */
  handlePublic({ method, url, body }: ServerRequest, respond: Respond): void {
    const target = routeRequest(method, url);
    switch (target.kind) {
      case 'refused':
        respond(emptyResponse(target.status));
        return;
      case 'health':
        this.handleClientRequest({ kind: 'health' }, respond);
        return;
      case 'poll':
      case 'cancel':
        this.handleClientRequest({ kind: target.kind, id: target.id }, respond);
        return;
      case 'submit':
        this.handleClientRequest(decodeSubmission(body), respond);
        return;
      case 'report':
        this.handleHeartbeat(body, respond);
        return;
    }
  }

  /** Handles a message of another controller. It is acknowledged before the core processes it. */
  handlePeer({ url, body }: ServerRequest, respond: Respond): void {
    const kind = peerMessageKindOf(url);
    if (kind === null) {
      respond(emptyResponse(404));
      return;
    }
    const message = decodePeerMessage(kind, body);
    if (message === null) {
      this.log.write('error', 'peer.message_malformed', { bytes: body.length });
      respond(emptyResponse(400));
      return;
    }
    respond(ACCEPTED);
    this.step({ kind: 'peerMessage', message });
  }

  /** Passes a feature client's request to the core and returns its number. `onAnswer` is called for each answer, until the last. */
  handleFeatureRequest(feature: string, body: unknown, onAnswer: OnFeatureAnswer): number {
    const request = this.nextRequest++;
    this.featureRequests.set(request, onAnswer);
    this.step({ kind: 'featureRequest', feature, request, body, wallUs: wallNow() });
    return request;
  }

  private handleClientRequest(body: ClientRequest, respond: Respond): void {
    const request = this.nextRequest++;
    this.pendingRequests.set(request, respond);
    this.step({ kind: 'clientRequest', request, body, wallUs: wallNow() });
  }

  private handleHeartbeat(body: Buffer, respond: Respond): void {
    try {
      const heartbeat = decodeHeartbeat(decodeBody(body));
      const request = this.nextRequest++;
      this.pendingRequests.set(request, respond);
      this.step({ kind: 'heartbeat', request, heartbeat });
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      this.log.write('error', 'heartbeat.malformed', { problem: error.message });
      respond(emptyResponse(400));
    }
  }

  private step(input: Input): void {
    try {
      for (const effect of this.core.step(steadyNow(), input)) this.perform(effect);
    } catch (error) {
      // A fault in the handling of one input must not end the process, which would lose the requests of all users.
      const stack = error instanceof Error ? error.stack : String(error);
      this.log.write('error', 'node.exception_caught', { input: input.kind, stack });
    }
  }

  private perform(effect: CoreEffect): void {
    switch (effect.kind) {
      case 'storeRequest':
      case 'cloudRequest':
      case 'workerCommands':
        this.call(effect);
        return;
      case 'peerMessage':
        this.run(this.clients.sendToPeer(effect.member, effect.message), () => undefined);
        return;
      case 'clientResponse': {
        const response = encodeClientResponse(effect.answer);
        // Closing the connection lets the client's retry reach another controller, which may be able to serve it.
        this.respond(effect.request, { ...response, close: response.status === UNAVAILABLE });
        return;
      }
      case 'heartbeatResponse':
        this.respond(effect.request, encodeHeartbeatResponse(effect.answer));
        return;
      case 'featureResponse':
        this.respondToFeatureClient(effect.request, effect.answer, effect.last);
        return;
      case 'wake':
        this.setTimer(effect.at);
        return;
      case 'role':
        this.clients.setRole(effect.leader);
        return;
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
    }
  }

  /** Calls an external system; the reply becomes a later input of the core. */
  private call(effect: CoreEffect & { kind: 'storeRequest' | 'cloudRequest' | 'workerCommands' }): void {
    const { call } = effect;
    switch (effect.kind) {
      case 'storeRequest':
        this.run(this.clients.requestStore(effect.op, effect.urgency), (reply) => {
          this.step({ kind: 'storeReply', call, reply });
        });
        return;
      case 'cloudRequest':
        this.run(this.clients.requestCloud(effect.op, effect.urgency), (reply) => {
          this.step({ kind: 'cloudReply', call, reply });
        });
        return;
      case 'workerCommands': {
        const { address, fencingToken, agentEpoch, commands } = effect;
        this.run(this.clients.sendCommands(address, fencingToken, agentEpoch, commands), (reply) => {
          this.step({ kind: 'commandReply', call, reply });
        });
        return;
      }
    }
  }

  private respond(request: number, response: ServerResponse): void {
    const respond = this.pendingRequests.get(request);
    this.pendingRequests.delete(request);
    respond?.(response);
  }

  private respondToFeatureClient(request: number, answer: unknown, last: boolean): void {
    const onAnswer = this.featureRequests.get(request);
    if (last) this.featureRequests.delete(request);
    onAnswer?.(answer, last);
  }

  /** Replaces the timer: with each step the core states the next time at which it wants to be woken. */
  private setTimer(at: Micros): void {
    if (this.timer !== null) {
      if (this.timerDueAt === at) return;
      clearTimeout(this.timer);
    }
    this.timerDueAt = at;
    const delayMs = Math.max(1, Math.ceil((at - steadyNow()) / MILLISECOND));
    this.timer = setTimeout(() => {
      this.timer = null;
      this.metrics.recordTimer(at, steadyNow());
      this.step({ kind: 'timer' });
    }, delayMs);
  }
}
