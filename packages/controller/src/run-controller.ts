/** Runs one controller with its listeners until its scope closes. */
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Feature, RequestFeature } from '@shaleyoke/core/feature-api';
import { Effect, Runtime, type Scope } from 'effect';

import { Clients } from './clients.js';
import { Controller, type RunEffect } from './controller.js';
import { listen } from './http-server.js';
import { Log, type LogService } from './log.js';

/** The share of all sockets that is reserved for calls to workers, peers, cloud and store. */
const OUTGOING_SHARE = 0.25;

/** Opens a feature's own listener, which passes its clients' requests to the core through `ask`. */
export type FeatureListener = (ask: RequestFeature) => Promise<{ readonly close: () => void }>;

/** Most connections of users and workers; 0: no limit. */
const incomingConnections = (maxConnections: number): number =>
  maxConnections > 0 ? Math.floor(maxConnections * (1 - OUTGOING_SHARE)) : 0;

/** Makes a function that runs effects in the given runtime. None is expected to fail; a failure is logged. */
const makeRunner =
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
    (handle) => Effect.sync(handle.close),
  );

/** Runs one controller; never completes by itself. `features`: the enabled features; `listeners`: where their clients connect. */
export const runController = (
  settings: Settings,
  features: readonly Feature[] = [],
  listeners: readonly FeatureListener[] = [],
): Effect.Effect<never, Error, Clients | Log | Scope.Scope> =>
  Effect.gen(function* () {
    const clients = yield* Clients;
    const log = yield* Log;
    const runtime = yield* Effect.runtime();
    const controller = new Controller(settings, clients, log, makeRunner(runtime, log), features);
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
