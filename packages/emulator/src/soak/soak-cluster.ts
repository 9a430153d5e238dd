/**
 * The deployment under test in a soak run: controllers as separate processes, and store, cloud and workers simulated in
 * this process, with a faulty link between any two. Each controller reaches its peers through its own proxies here.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { activeJobKey } from '@shaleyoke/core/codecs/keys';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { controllerSettings } from '../controller-settings.js';
import { LoopbackCloud } from '../loopback-cloud.js';
import { httpCall, type HttpRequest, type HttpServer } from '../loopback-http.js';
import { LoopbackWorker, type WorkerHost } from '../loopback-workers.js';
import { Random } from '../random.js';
import { StateModel } from '../state-model.js';
import {
  decodeCloudOperation,
  decodeStoreOperation,
  encodeCloudReply,
  encodeStoreReply,
  type WireResponse,
} from '../wire.js';
import { ControllerProcess } from './controller-process.js';
import { FaultyLink } from './faulty-link.js';
import type { MachineProperties, SoakEvent } from './history.js';
import { serveThroughLink } from './link-server.js';
import { reservePorts } from './port-block.js';

/** Seed, program and size of a deployment. */
export interface SoakClusterOptions {
  readonly seed: number;
  /** The command that starts a controller, without `serve` and its options. */
  readonly program: readonly string[];
  readonly controllers: number;
  readonly workers: number;
}

/** The team of all jobs. */
export const TEAM = 't';
/** Grace period of the tasks of a cancelled job. */
export const CANCEL_GRACE_MS = 30_000;
const HEARTBEAT_S = 2;
const LEASE_S = 12;
const STORE_REQUESTS_PER_S = 300;
const STORE_WRITES_PER_S = 80;
const CLOUD_REQUESTS_PER_S = 6;
/** Number of cores of each machine. */
export const CORES_PER_MACHINE = 4;
/** The team's limit as a share of all cores. */
const TEAM_LIMIT_SHARE = 0.75;
const PEER_TIMEOUT_MS = 5_000;
const HEARTBEAT_TIMEOUT_MS = 4_000;
const EXPIRY_INTERVAL_MS = 20;
const MEMBER_PREFIX = 'dock-';
const STATUS_UNAVAILABLE = 503;
const STORE_REFUSED: StoreReply = { kind: 'failed', executed: false, cause: 'refused', reason: '503' };

const MACHINE_TYPE: MachineType = {
  name: 'box',
  cores: CORES_PER_MACHINE,
  gpus: 0,
  memoryGb: 16,
  imageCacheGb: 20,
  imagePullGbPerS: 10,
  price: 1,
  spotPrice: 0.4,
  bootUs: SECOND,
  zones: ['zone-a', 'zone-b'],
};

/** Links from one controller to the parties it calls, and from users to it. */
export interface ControllerLinks {
  readonly toStore: FaultyLink;
  readonly toCloud: FaultyLink;
  readonly toPeers: FaultyLink;
  readonly fromUsers: FaultyLink;
  /** Until this time the store responds to this controller with 503. */
  storeRefusedUntil: number;
}

/** Links of one worker, for its heartbeats and for the commands sent to it. */
export interface WorkerLinks {
  readonly heartbeats: FaultyLink;
  readonly commands: FaultyLink;
}

/** A deployment on the loopback interface. */
export class SoakCluster {
  /** All controllers, by index. */
  readonly controllers: ControllerProcess[] = [];
  /** The links of each controller, by its index. */
  readonly links: ControllerLinks[] = [];
  /** Every machine that was ever provisioned, by name. */
  readonly machines = new Map<string, MachineProperties>();
  /** Specifications of the submitted jobs, by job id. */
  readonly specs = new Map<string, JobSpec>();
  /** Limit on the cores that the team's tasks use. */
  readonly teamCores: number;
  /** The simulated key-value store. */
  readonly store: StateModel;
  /** The simulated cloud provider, which runs the workers. */
  readonly cloud: LoopbackCloud;
  /** Until this time the cloud responds with 503. */
  cloudDownUntil = 0;
  private readonly workerLinks = new Map<string, WorkerLinks>();
  private readonly servers: HttpServer[] = [];
  private readonly configFolder = mkdtempSync(join(tmpdir(), 'shaleyoke-soak-'));
  private readonly startedAt = performance.now();
  private readonly random: Random;
  private readonly expiryTimer: NodeJS.Timeout;
  private isStopping = false;

  constructor(
    private readonly options: SoakClusterOptions,
    private readonly record: (event: SoakEvent) => void,
  ) {
    this.random = new Random(options.seed + 1);
    this.teamCores = Math.floor(options.workers * CORES_PER_MACHINE * TEAM_LIMIT_SHARE);
    this.store = new StateModel(
      () => this.nowUs(),
      (run) => setImmediate(run),
    );
    this.store.requestsPerSecond = STORE_REQUESTS_PER_S;
    this.store.writesPerSecond = STORE_WRITES_PER_S;
    this.cloud = new LoopbackCloud({
      now: () => this.nowUs(),
      isStopping: () => this.isStopping,
      types: [MACHINE_TYPE],
      perZone: Math.ceil(options.workers / MACHINE_TYPE.zones.length),
      makeWorker: (name, type, zone, spot) => this.makeWorker(name, type, zone, spot),
    });
    this.expiryTimer = setInterval(() => {
      this.store.expire();
    }, EXPIRY_INTERVAL_MS);
  }

  /** Milliseconds since the start of the run. */
  now(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  private nowUs(): Micros {
    return Math.round((performance.now() - this.startedAt) * MILLISECOND);
  }

  /** Creates a link without faults. */
  makeLink(): FaultyLink {
    return new FaultyLink(this.random, () => this.now());
  }

  /** Starts the servers of the simulated parties, then the controllers. */
  async start(): Promise<void> {
    const count = this.options.controllers;
    const { ports, lock } = await reservePorts(this.options.seed, 2 * count);
    this.servers.push(lock);
    const members = Array.from({ length: count }, (_, i) => ({
      member: `${MEMBER_PREFIX}${i}`,
      address: `127.0.0.1:${ports[2 * i]}`,
      peerAddress: `127.0.0.1:${ports[2 * i + 1]}`,
    }));
    for (const [i, endpoint] of members.entries()) {
      const links: ControllerLinks = {
        toStore: this.makeLink(),
        toCloud: this.makeLink(),
        toPeers: this.makeLink(),
        fromUsers: this.makeLink(),
        storeRefusedUntil: 0,
      };
      this.links.push(links);
      const peers = await Promise.all(
        members.filter((_, k) => k !== i).map((peer) => this.servePeer(links, peer)),
      );
      const configFile = join(this.configFolder, `${endpoint.member}.toml`);
      writeFileSync(configFile, await this.settingsFor(endpoint, peers, links));
      this.controllers.push(this.makeController({ ...endpoint, configFile }));
    }
    for (const controller of this.controllers) controller.start();
  }

  /** The current leader according to the store's leader record; null if there is none. */
  leader(): ControllerProcess | null {
    const record = this.store.value('lead') as { member?: string } | undefined;
    return this.controllers.find(({ endpoint }) => endpoint.member === record?.member) ?? null;
  }

  /** Workers that are alive and reachable. */
  runningWorkers(): LoopbackWorker[] {
    return [...this.cloud.workers.values()].filter((worker) => worker.alive && worker.address !== '');
  }

  /** The links of a worker, created on first use. */
  linksOfWorker(machine: string): WorkerLinks {
    const known = this.workerLinks.get(machine);
    if (known !== undefined) return known;
    const links = { heartbeats: this.makeLink(), commands: this.makeLink() };
    this.workerLinks.set(machine, links);
    return links;
  }

  /** Removes all faults of the links, and makes store and cloud available again. */
  heal(): void {
    for (const links of this.links) {
      for (const link of [links.toStore, links.toCloud, links.toPeers, links.fromUsers]) link.heal();
      links.storeRefusedUntil = 0;
    }
    for (const { heartbeats, commands } of this.workerLinks.values()) {
      heartbeats.heal();
      commands.heal();
    }
    this.cloudDownUntil = 0;
  }

  /** Stops all controllers, workers and servers, and removes the settings files. */
  stop(): void {
    this.isStopping = true;
    clearInterval(this.expiryTimer);
    for (const controller of this.controllers) controller.stop();
    for (const worker of this.cloud.workers.values()) if (worker.alive) worker.kill();
    for (const server of this.servers) server.close();
    rmSync(this.configFolder, { recursive: true, force: true });
  }

  private makeController(endpoint: ControllerProcess['endpoint']): ControllerProcess {
    return new ControllerProcess(endpoint, this.options.program, {
      onExit: (controller, code) => {
        this.record({ kind: 'controllerExited', at: this.now(), controller, code });
      },
      onError: (controller, event, line) => {
        this.record({ kind: 'errorLogged', at: this.now(), controller, event, line });
      },
    });
  }

  private async settingsFor(
    endpoint: { readonly member: string; readonly address: string; readonly peerAddress: string },
    peers: readonly { readonly member: string; readonly address: string }[],
    links: ControllerLinks,
  ): Promise<string> {
    const store = await this.serveStore(links);
    const cloud = await this.serveCloud(links);
    return controllerSettings({
      member: endpoint.member,
      listen: endpoint.address,
      peerListen: endpoint.peerAddress,
      peers,
      cloud,
      state: store,
      teams: [],
      extraToml: `[[cluster.teams]]\nname = "${TEAM}"\ncpus_max = ${this.teamCores}.0\n`,
      heartbeatIntervalS: HEARTBEAT_S,
      leaseS: LEASE_S,
      cancelS: CANCEL_GRACE_MS / 1_000,
      stateRps: STORE_REQUESTS_PER_S,
      stateWriteRps: STORE_WRITES_PER_S,
      cloudRps: CLOUD_REQUESTS_PER_S,
    });
  }

  /** Serves requests through a link and returns the server's address. */
  private async serveThrough(
    link: FaultyLink,
    execute: (request: HttpRequest) => Promise<WireResponse | null>,
  ): Promise<string> {
    const server = await serveThroughLink(link, execute);
    this.servers.push(server);
    return server.address;
  }

  private serveStore(links: ControllerLinks): Promise<string> {
    return this.serveThrough(links.toStore, ({ method, url, body }) => {
      const op = decodeStoreOperation(method, url, body);
      if (links.storeRefusedUntil > this.now()) return Promise.resolve(encodeStoreReply(op, STORE_REFUSED));
      if (op.kind !== 'watch') return Promise.resolve(encodeStoreReply(op, this.store.apply(op)));
      return new Promise((resolve) => {
        this.store.watch(op, (reply) => {
          resolve(encodeStoreReply(op, reply));
        });
      });
    });
  }

  private serveCloud(links: ControllerLinks): Promise<string> {
    return this.serveThrough(links.toCloud, ({ method, url, body }) => {
      const isDown = this.cloudDownUntil > this.now();
      const answer = isDown
        ? { status: STATUS_UNAVAILABLE, body: Buffer.alloc(0) }
        : encodeCloudReply(this.cloud.apply(decodeCloudOperation(method, url, body)));
      return Promise.resolve(answer);
    });
  }

  private async servePeer(
    links: ControllerLinks,
    peer: { readonly member: string; readonly peerAddress: string },
  ): Promise<{ member: string; address: string }> {
    const address = await this.serveThrough(links.toPeers, ({ method, url, body }) =>
      httpCall(peer.peerAddress, method, url, body, PEER_TIMEOUT_MS),
    );
    return { member: peer.member, address };
  }

  private makeWorker(name: string, type: string, zone: string, spot: boolean): LoopbackWorker {
    this.machines.set(name, { type, zone, spot });
    const { heartbeats, commands } = this.linksOfWorker(name);
    const world: WorkerHost = {
      now: () => this.nowUs(),
      spec: (job) => this.specs.get(job) ?? decodeActiveJob(this.store.value(activeJobKey(job)))?.spec,
      nodes: this.controllers.map(({ endpoint }) => endpoint),
      heartbeatIntervalUs: HEARTBEAT_S * SECOND,
      leaseUs: LEASE_S * SECOND,
      workers: this.cloud.workers,
      taskRan: () => undefined,
      taskPlaced: (task) => {
        this.record({ kind: 'arrived', at: this.now(), done: false, ...task });
      },
      taskLeft: (task, done) => {
        this.record({ kind: 'left', at: this.now(), done, ...task });
      },
      call: (address, path, body) => this.callController(heartbeats, address, path, body),
      carryCommand: (machine, execute) =>
        commands.exchange(async () => {
          await this.waitWhileHung(machine);
          return execute();
        }),
    };
    return new LoopbackWorker(name, type, zone, spot, world);
  }

  private async waitWhileHung(machine: string): Promise<void> {
    const worker = this.cloud.workers.get(machine);
    while (worker !== undefined && worker.remainingHangUs > 0) {
      const { remainingHangUs } = worker;
      await new Promise((resolve) => setTimeout(resolve, remainingHangUs / MILLISECOND));
    }
  }

  /** Sends a worker's heartbeat, which times out after four seconds wherever on the link it is delayed. */
  private callController(
    link: FaultyLink,
    address: string,
    path: string,
    body: Buffer,
  ): Promise<WireResponse | null> {
    const timeout = new Promise<null>((resolve) => {
      setTimeout(() => {
        resolve(null);
      }, HEARTBEAT_TIMEOUT_MS);
    });
    const answer = link.exchange(() => httpCall(address, 'POST', path, body, HEARTBEAT_TIMEOUT_MS));
    return Promise.race([answer, timeout]);
  }
}
