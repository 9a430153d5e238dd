/** Injects the faults of a schedule into a running cluster. */
import { MILLISECOND } from '@shaleyoke/core/domain/time';

import type { LoopbackWorker } from '../loopback-workers.js';
import type { Random } from '../random.js';
import type { Fault } from './fault-schedule.js';
import type { ControllerLinks, SoakCluster } from './soak-cluster.js';

/** A killed controller restarts after this delay plus a random part of the spread. */
const MIN_RESTART_DELAY_MS = 200;
const RESTART_DELAY_SPREAD_MS = 2_000;
/** Interval at which the current leader is killed during a `leadersInSeries` fault. */
const LEADER_KILL_INTERVAL_MS = 2_500;
const SLOW_STORE_MAX_DELAY_MS = 900;
const RESPONSE_LOSS_RATE = 0.3;
const DUPLICATE_RATE = 0.2;

/** Applies faults to the controllers, links, workers, store and cloud of a cluster. */
export class FaultInjector {
  constructor(
    private readonly cluster: SoakCluster,
    private readonly random: Random,
  ) {}

  /** Starts a fault; it ends on its own after its duration. */
  inject(fault: Fault): void {
    const { kind, durationMs, controller } = fault;
    const { cluster } = this;
    const links = cluster.links[controller]!;
    switch (kind) {
      case 'controllerKilled':
        cluster.controllers[controller]!.crash(this.restartDelayMs());
        return;
      case 'controllerPaused':
        cluster.controllers[controller]!.pause(durationMs);
        return;
      case 'allControllersKilled':
        for (const each of cluster.controllers) each.crash(this.restartDelayMs());
        return;
      case 'leadersInSeries':
        this.killLeadersRepeatedly(durationMs);
        return;
      case 'storeRefusesOne':
        links.storeRefusedUntil = cluster.now() + durationMs;
        return;
      case 'storeDown':
        cluster.store.outage(durationMs * MILLISECOND);
        return;
      case 'storeSlow':
      case 'storeAnswersLost':
      case 'storeLateCopies':
        this.injectStoreFault(kind, durationMs);
        return;
      case 'peersCut':
        links.toPeers.block(durationMs);
        return;
      case 'usersCut':
        links.fromUsers.block(durationMs, 'responses');
        return;
      case 'cloudDown':
        cluster.cloudDownUntil = cluster.now() + durationMs;
        return;
      default:
        this.injectWorkerFaults(fault);
    }
  }

  private restartDelayMs(): number {
    return MIN_RESTART_DELAY_MS + this.random.below(RESTART_DELAY_SPREAD_MS);
  }

  private killLeadersRepeatedly(durationMs: number): void {
    for (let at = 0; at < durationMs; at += LEADER_KILL_INTERVAL_MS)
      setTimeout(() => {
        this.cluster.leader()?.crash(this.restartDelayMs());
      }, at);
  }

  private injectStoreFault(
    kind: 'storeSlow' | 'storeAnswersLost' | 'storeLateCopies',
    durationMs: number,
  ): void {
    const setFault = (links: ControllerLinks, isOn: boolean): void => {
      if (kind === 'storeSlow') links.toStore.maxDelayMs = isOn ? SLOW_STORE_MAX_DELAY_MS : 0;
      else if (kind === 'storeAnswersLost') links.toStore.responseLossRate = isOn ? RESPONSE_LOSS_RATE : 0;
      else links.toStore.duplicateRate = isOn ? DUPLICATE_RATE : 0;
    };
    for (const links of this.cluster.links) setFault(links, true);
    setTimeout(() => {
      for (const links of this.cluster.links) setFault(links, false);
    }, durationMs);
  }

  private injectWorkerFaults({ kind, durationMs, share }: Fault): void {
    for (const worker of this.cluster.runningWorkers())
      if (this.random.chance(share)) this.injectWorkerFault(kind, worker, durationMs);
  }

  private injectWorkerFault(kind: Fault['kind'], worker: LoopbackWorker, durationMs: number): void {
    const { heartbeats, commands } = this.cluster.linksOfWorker(worker.name);
    switch (kind) {
      case 'workersCut':
        heartbeats.block(durationMs);
        commands.block(durationMs);
        return;
      case 'workersMute':
        heartbeats.block(durationMs, 'requests');
        return;
      case 'workersDeaf':
        heartbeats.block(durationMs, 'responses');
        commands.block(durationMs, 'requests');
        return;
      case 'workersHang':
        worker.hang(durationMs * MILLISECOND);
        return;
      case 'commandsLate':
        commands.maxDelayMs = durationMs;
        break;
      case 'heartbeatCopiesLate':
        heartbeats.duplicateRate = DUPLICATE_RATE;
        break;
      default:
        this.cluster.cloud.kill(worker.name);
        return;
    }
    setTimeout(() => {
      commands.maxDelayMs = 0;
      heartbeats.duplicateRate = 0;
    }, durationMs);
  }
}
