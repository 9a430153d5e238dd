/** Brings the troubles of a schedule about. */
import { MILLI } from '@shaleyoke/core/domain/time';

import type { LoopWorker } from '../loopback-workers.js';
import type { Random } from '../random.js';
import type { ControllerLinks, SoakCluster } from './soak-cluster.js';
import type { Trouble } from './trouble-schedule.js';

/** A killed controller is back after a fraction of a second, or after seconds. */
const SHORTEST_RESTART_MS = 200;
const RESTART_SPREAD_MS = 2_000;
/** In a series of changes the leader of the moment is killed this often. */
const SERIES_INTERVAL_MS = 2_500;
const SLOW_STORE_MS = 900;
const LOST_SHARE = 0.3;
const LATE_SHARE = 0.2;

/** Acts on the parts of a cluster. */
export class TroubleMaker {
  constructor(
    private readonly cluster: SoakCluster,
    private readonly random: Random,
  ) {}

  /** Begins a trouble; it ends by itself. */
  begin(trouble: Trouble): void {
    const { kind, forMs, controller } = trouble;
    const { cluster } = this;
    const links = cluster.links[controller]!;
    switch (kind) {
      case 'controllerKilled':
        cluster.controllers[controller]!.crash(this.restartMs());
        return;
      case 'controllerPaused':
        cluster.controllers[controller]!.pause(forMs);
        return;
      case 'allControllersKilled':
        for (const each of cluster.controllers) each.crash(this.restartMs());
        return;
      case 'leadersInSeries':
        this.killLeaders(forMs);
        return;
      case 'storeRefusesOne':
        links.storeRefusedUntil = cluster.now() + forMs;
        return;
      case 'storeDown':
        cluster.store.outage(forMs * MILLI);
        return;
      case 'storeSlow':
      case 'storeAnswersLost':
      case 'storeLateCopies':
        this.troubleStore(kind, forMs);
        return;
      case 'peersCut':
        links.toPeers.cut(forMs);
        return;
      case 'usersCut':
        links.fromUsers.cut(forMs, 'answers');
        return;
      case 'cloudDown':
        cluster.cloudDownUntil = cluster.now() + forMs;
        return;
      default:
        this.troubleWorkers(trouble);
    }
  }

  private restartMs(): number {
    return SHORTEST_RESTART_MS + this.random.below(RESTART_SPREAD_MS);
  }

  private killLeaders(forMs: number): void {
    for (let at = 0; at < forMs; at += SERIES_INTERVAL_MS)
      setTimeout(() => {
        this.cluster.leader()?.crash(this.restartMs());
      }, at);
  }

  private troubleStore(kind: 'storeSlow' | 'storeAnswersLost' | 'storeLateCopies', forMs: number): void {
    const set = (links: ControllerLinks, isOn: boolean): void => {
      if (kind === 'storeSlow') links.toStore.maxDelayMs = isOn ? SLOW_STORE_MS : 0;
      else if (kind === 'storeAnswersLost') links.toStore.lostAnswers = isOn ? LOST_SHARE : 0;
      else links.toStore.lateCopies = isOn ? LATE_SHARE : 0;
    };
    for (const links of this.cluster.links) set(links, true);
    setTimeout(() => {
      for (const links of this.cluster.links) set(links, false);
    }, forMs);
  }

  private troubleWorkers({ kind, forMs, share }: Trouble): void {
    for (const worker of this.cluster.workersUp())
      if (this.random.chance(share)) this.troubleWorker(kind, worker, forMs);
  }

  private troubleWorker(kind: Trouble['kind'], worker: LoopWorker, forMs: number): void {
    const { heartbeats, commands } = this.cluster.linksOf(worker.name);
    switch (kind) {
      case 'workersCut':
        heartbeats.cut(forMs);
        commands.cut(forMs);
        return;
      case 'workersMute':
        heartbeats.cut(forMs, 'requests');
        return;
      case 'workersDeaf':
        heartbeats.cut(forMs, 'answers');
        commands.cut(forMs, 'requests');
        return;
      case 'workersHang':
        worker.hang(forMs * MILLI);
        return;
      case 'commandsLate':
        commands.maxDelayMs = forMs;
        break;
      case 'heartbeatCopiesLate':
        heartbeats.lateCopies = LATE_SHARE;
        break;
      default:
        this.cluster.cloud.kill(worker.name);
        return;
    }
    setTimeout(() => {
      commands.maxDelayMs = 0;
      heartbeats.lateCopies = 0;
    }, forMs);
  }
}
