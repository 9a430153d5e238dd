/**
 * Sends one request of each kind to an address as a controller does, and prints the kinds of the replies as JSON. The test of
 * malformed replies runs it as a process with the heap of a deployed controller.
 */
import { parseSettings } from '@shaleyoke/config/settings';
import { Clients, ClientsLive } from '@shaleyoke/controller/clients';
import { Effect } from 'effect';

import { controllerSettings } from '../src/controller-settings.js';

const address = process.argv[2]!;
const settings = parseSettings(
  controllerSettings({
    member: 'dock-0',
    listen: '127.0.0.1:0',
    peerListen: '127.0.0.1:0',
    peers: [],
    cloud: address,
    state: address,
    teams: ['a'],
    heartbeatIntervalS: 2,
    leaseS: 12,
    cancelS: 30,
    stateRps: 300,
    stateWriteRps: 80,
    cloudRps: 6,
  }),
  null,
  null,
);

const kinds = Effect.gen(function* () {
  const clients = yield* Clients;
  const get = yield* clients.requestStore({ kind: 'get', key: 'lead' }, 0);
  const list = yield* clients.requestStore({ kind: 'list', prefix: 'j/', limit: 500 }, 0);
  const txn = yield* clients.requestStore({ kind: 'txn', conditions: [], writes: [] }, 0);
  const watch = yield* clients.requestStore({ kind: 'watch', prefix: 'j/', after: 1, waitMs: 1_000 }, 0);
  const types = yield* clients.requestCloud({ kind: 'types' }, 0);
  const machines = yield* clients.requestCloud({ kind: 'list', after: '', limit: 500 }, 0);
  const commands = yield* clients.sendCommands(address, 1, 1, []);
  return {
    get: get.kind,
    list: list.kind,
    txn: txn.kind,
    watch: watch.kind,
    types: types.kind,
    machines: machines.kind,
    commands: commands.kind,
  };
});

console.log(JSON.stringify(await Effect.runPromise(kinds.pipe(Effect.provide(ClientsLive(settings))))));
process.exit(0);
