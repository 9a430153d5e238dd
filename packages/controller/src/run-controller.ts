/** Runs one controller with its listeners until its scope closes. */
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { AskFeature, Feature } from '@shaleyoke/core/feature-api';
import { Effect, Runtime, type Scope } from 'effect';

import { Clients } from './clients.js';
import { Controller, type RunEffect } from './controller.js';
import { listen } from './http-server.js';
import { Log, type LogService } from './log.js';

/** The share of all sockets that is kept for calls to workers, peers, cloud and store. */
const OUTGOING_SHARE = 0.25;

/** A feature's own listener, which passes its clients' requests to the core. */
export type FeatureListener = (ask: AskFeature) => Promise<{ readonly close: () => void }>;

/** Connections that users and workers may have; 0: no limit. */
const incomingConnections = (maxConnections: number): number =>
  maxConnections > 0 ? Math.floor(maxConnections * (1 - OUTGOING_SHARE)) : 0;

/** Runs effects of the core in the given runtime; a failure is logged, since none is expected. */
const runnerOf =
  (runtime: Runtime.Runtime<never>, log: LogService): RunEffect =>
  (effect, then) => {
    Runtime.runCallback(runtime)(effect, {
      onExit: (exit) => {
        if (exit._tag === 'Success') then(exit.value);
        else log.write('error', 'node.call_failed', { cause: String(exit.cause) });
      },
    });
  };

const openListener = (
  listener: FeatureListener,
  controller: Controller,
): Effect.Effect<unknown, Error, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.tryPromise({
      try: () =>
        listener((feature, body, onAnswer) => controller.handleFeatureRequest(feature, body, onAnswer)),
      catch: (error) => (error instanceof Error ? error : new Error(String(error))),
    }),
    (open) => Effect.sync(open.close),
  );

/** `features`: what is switched on beside the scheduler itself; `listeners`: where their clients connect. */
export const runController = (
  settings: Settings,
  features: readonly Feature[] = [],
  listeners: readonly FeatureListener[] = [],
): Effect.Effect<never, Error, Clients | Log | Scope.Scope> =>
  Effect.gen(function* () {
    const clients = yield* Clients;
    const log = yield* Log;
    const runtime = yield* Effect.runtime();
    const controller = new Controller(settings, clients, log, runnerOf(runtime, log), features);
    const maxIncoming = incomingConnections(settings.maxConnections);
    yield* listen(settings.listen, maxIncoming, (request, respond) => {
      controller.handlePublic(request, respond);
    });
    yield* listen(settings.peerListen, 0, (request, respond) => {
      controller.handlePeer(request, respond);
    });
    for (const listener of listeners) yield* openListener(listener, controller);
    log.write('info', 'node.started', { listen: settings.listen, upS: process.uptime() });
    controller.start();
    return yield* Effect.never;
  });
