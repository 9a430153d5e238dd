/** Guards against a rename of a field in `Settings` changing the documented names that `check-config` prints. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { printedSettings } from '@shaleyoke/config/printed-settings';
import { settingsFor } from '@shaleyoke/emulator/site';

test('every setting is printed under its documented name', () => {
  const teams = '[[cluster.teams]]\nname = "t"\ncpus = 2.0\ncpus_max = 10.0\n';
  const settings = settingsFor('n0', ['n0', 'n1'], teams, '', {
    heartbeatIntervalUs: 1_000_000,
    suspectAfterMissed: 3,
  });
  assert.deepEqual(JSON.parse(JSON.stringify(printedSettings(settings))), {
    member: 'n0',
    listen: '10.0.0.1:80',
    peerListen: '10.0.0.1:81',
    peers: [{ member: 'n1', address: '10.0.0.2:81' }],
    cloudAddress: '10.2.0.2:84',
    stateAddress: '10.2.0.1:23',
    members: 2,
    teams: [{ name: 't', cores: 2, coresMax: 10, gpus: 0, gpusMax: 0 }],
    objectives: [],
    reportUs: 3_000_000,
    leaseUs: 20_000_000,
    gangWaitUs: 30_000_000,
    gangPeerUs: 4_000_000,
    cancelUs: 40_000_000,
    stateRps: 100,
    stateWriteRps: 50,
    valueBytes: 16_384,
    txnOps: 16,
    formerValueBytes: 16_384,
    cloudRps: 5,
    listLagUs: 3_000_000,
    maxConnections: 0,
    membership: { beatUs: 1_000_000, suspectBeats: 3 },
    tuning: {
      leaderLeaseUs: 6_000_000,
      silentUs: 10_000_000,
      searchBudgetUs: 20_000,
      searchWidth: 6,
      searchDepth: 12,
      searchGroups: 64,
      searchToleranceUs: 1_000_000,
      turnWaitUs: 60_000_000,
      turnEveryUs: 12_000_000,
      idleReturnUs: 20_000_000,
      rentMarginUs: 20_000_000,
      thrift: 'auto',
      progressUs: 2_000_000,
    },
  });
});
