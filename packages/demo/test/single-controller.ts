/** One real controller with the heap of a deployed one, for tests of what may end it. */
import assert from 'node:assert/strict';

import type { Micros } from '@shaleyoke/core/domain/time';
import { MACHINE_TYPE, waitUntil } from '@shaleyoke/demo/demo';
import { deployedNodeFlags } from '@shaleyoke/emulator/deployed-flags';
import { LoopbackDeployment } from '@shaleyoke/emulator/loopback';

const MAIN = new URL('../../cli/src/main.ts', import.meta.url).pathname;
const PROGRAM = [process.execPath, ...deployedNodeFlags(), '--import', 'tsx', MAIN];
const ELECTION_TIMEOUT_S = 60;

/** The addresses that the controller listens on, and the deployment that it belongs to. */
export interface SingleController {
  readonly address: string;
  readonly peerAddress: string;
  readonly deployment: LoopbackDeployment;
}

/** Options of a controller; all may be left out. */
export interface SingleControllerOptions {
  /** Records that the store holds before the controller starts, by key. */
  readonly records?: Readonly<Record<string, unknown>>;
  /** Capacity of the cloud, per machine type and zone. */
  readonly perZone?: number;
  /** Boot time of the machines. */
  readonly bootUs?: Micros;
  /** Further TOML of its settings, such as objectives. */
  readonly extraToml?: string;
  /** Receives the lines that the controller logs. */
  readonly log?: (line: string) => void;
}

/** Runs one controller, and calls `check` once it leads. */
export const withController = async (
  check: (controller: SingleController) => Promise<void>,
  {
    records = {},
    perZone = 1,
    bootUs = MACHINE_TYPE.bootUs,
    extraToml = '',
    log,
  }: SingleControllerOptions = {},
): Promise<void> => {
  const deployment = new LoopbackDeployment({
    program: PROGRAM,
    nodes: 1,
    teams: ['a'],
    types: [{ ...MACHINE_TYPE, bootUs }],
    extraToml,
    perZone,
    budgets: null,
    log:
      log === undefined
        ? null
        : (_member, line) => {
            log(line);
          },
  });
  for (const [key, value] of Object.entries(records)) deployment.state.put(key, value);
  try {
    await deployment.start();
    const isElected = await waitUntil(() => deployment.leader() !== null, ELECTION_TIMEOUT_S);
    assert.ok(isElected, 'the controller becomes the leader');
    const { address, peerAddress } = deployment.nodes[0]!;
    await check({ address, peerAddress, deployment });
  } finally {
    deployment.stop();
  }
};
