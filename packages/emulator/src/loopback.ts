/**
 * A whole deployment on loopback: the state service, the cloud and the workers are emulated in this process, the controllers
 * are real processes of the program. They communicate by the protocol over real sockets only.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { activeJobKey } from '@shaleyoke/core/codecs/keys';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';
import { decodeBody, readMap } from '@shaleyoke/protocol/body';

import { controllerSettings } from './controller-settings.js';
import { type Bill, LoopbackCloud } from './loopback-cloud.js';
import { freePorts, httpCall, type HttpServer } from './loopback-http.js';
import { serveCloud, serveStore } from './loopback-stand-ins.js';
import { LoopbackWorker, type WorkerHost } from './loopback-workers.js';
import { StateModel } from './state-model.js';
import { encodeSubmission } from './wire.js';

/** Options of a deployment. */
export interface LoopbackOptions {
  /** The program and its first arguments, up to `serve`. */
  readonly program: readonly string[];
  /** Number of controllers. */
  readonly nodes: number;
  /** Names of teams. */
  readonly teams: readonly string[];
  /** Machine types that the cloud offers. */
  readonly types: readonly MachineType[];
  /** Capacity of the cloud, per machine type and zone. */
  readonly perZone: number;
  /** Further TOML of the controllers' settings, such as objectives. */
  readonly extraToml?: string;
  /** Text of the budgets file; null: budgets are off. */
  readonly budgets: string | null;
  /** Makes the text of the Kubernetes front end's settings, for the port that a node listens on; null: it is off. */
  readonly kube?: ((port: number) => string) | null;
  /** Called with each line that a controller logs; null: logs are discarded. */
  readonly log: ((member: string, line: string) => void) | null;
}

/** A run of a task, as measured by its worker. */
export interface TaskRun {
  /** Id of the job. */
  readonly job: string;
  /** Index of the task in its job. */
  readonly index: number;
  /** Name of the machine that it ran on. */
  readonly machine: string;
  /** Duration. */
  readonly durationUs: Micros;
  /** Whether the task completed. */
  readonly done: boolean;
}

/** A controller process. */
interface NodeProcess {
  readonly member: string;
  readonly address: string;
  /** Address for the other controllers. */
  readonly peerAddress: string;
  /** Path of its settings file. */
  readonly config: string;
  /** Address for Kubernetes clients; empty: there is none. */
  readonly kube: string;
  /** Null while it is down. */
  child: ChildProcess | null;
}

const REPORT_S = 2;
const LEASE_S = 12;
const CANCEL_S = 30;
const STATE_RPS = 300;
const STATE_WRITE_RPS = 80;
const CLOUD_RPS = 6;
/** Timeouts of workers' and users' requests. */
const WORKER_CALL_TIMEOUT_MS = 4_000;
const USER_CALL_TIMEOUT_MS = 5_000;

/** A running deployment. */
export class LoopbackDeployment {
  /** Ended runs of tasks. */
  readonly taskRuns: TaskRun[] = [];
  /** The store behind the emulated state service. */
  readonly state: StateModel;
  /** The controllers; methods refer to them by index. */
  readonly nodes: NodeProcess[] = [];
  private readonly specs = new Map<string, JobSpec>();
  private readonly servers: HttpServer[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'shaleyoke-'));
  private readonly startedAt = process.hrtime.bigint();
  private readonly timer: NodeJS.Timeout;
  private readonly cloud: LoopbackCloud;
  private stopping = false;

  constructor(private readonly options: LoopbackOptions) {
    this.state = new StateModel(
      () => this.now(),
      (run) => setImmediate(run),
    );
    this.state.requestsPerSecond = STATE_RPS;
    this.state.writesPerSecond = STATE_WRITE_RPS;
    this.cloud = new LoopbackCloud({
      now: () => this.now(),
      types: options.types,
      perZone: options.perZone,
      isStopping: () => this.stopping,
      makeWorker: (name, type, zone, spot) => this.makeWorker(name, type, zone, spot),
    });
    this.timer = setInterval(() => {
      this.state.expire();
    }, 20);
  }

  /** All workers that were ever rented, by machine name. */
  get workers(): ReadonlyMap<string, LoopbackWorker> {
    return this.cloud.workers;
  }

  /** Billed time of each machine. */
  get bills(): readonly Bill[] {
    return this.cloud.bills;
  }

  /** Time since the deployment was created. */
  now(): Micros {
    return Number((process.hrtime.bigint() - this.startedAt) / 1000n);
  }

  /** Starts the servers, then the controllers. */
  async start(): Promise<void> {
    const state = await serveStore(this.state);
    const cloud = await serveCloud((op) => this.cloud.apply(op));
    this.servers.push(state, cloud);
    const ports = await freePorts(3 * this.options.nodes);
    const members = Array.from({ length: this.options.nodes }, (_, i) => ({
      member: `dock-${i}`,
      listen: `127.0.0.1:${ports[3 * i]}`,
      peer: `127.0.0.1:${ports[3 * i + 1]}`,
      kube: ports[3 * i + 2]!,
    }));
    for (const member of members) {
      const config = join(this.directory, `${member.member}.toml`);
      const peers = members
        .filter((peer) => peer !== member)
        .map((peer) => ({ member: peer.member, address: peer.peer }));
      const settings = controllerSettings({
        member: member.member,
        listen: member.listen,
        peerListen: member.peer,
        peers,
        cloud: cloud.address,
        state: state.address,
        teams: this.options.teams,
        heartbeatIntervalS: REPORT_S,
        leaseS: LEASE_S,
        cancelS: CANCEL_S,
        stateRps: STATE_RPS,
        stateWriteRps: STATE_WRITE_RPS,
        cloudRps: CLOUD_RPS,
        extraToml: this.options.extraToml ?? '',
      });
      writeFileSync(config, settings);
      const kubeSettings = this.options.kube?.(member.kube);
      if (kubeSettings !== undefined) writeFileSync(this.kubeFile(member.member), kubeSettings);
      const kube = kubeSettings === undefined ? '' : `127.0.0.1:${member.kube}`;
      this.nodes.push({
        member: member.member,
        address: member.listen,
        peerAddress: member.peer,
        config,
        kube,
        child: null,
      });
    }
    if (this.options.budgets !== null) writeFileSync(this.budgetsFile, this.options.budgets);
    for (const node of this.nodes) this.launch(node);
  }

  /** Path of the budgets file. */
  get budgetsFile(): string {
    return join(this.directory, 'budgets.yaml');
  }

  /** Path of a controller's Kubernetes settings. */
  kubeFile(member: string): string {
    return join(this.directory, `${member}-kube.yaml`);
  }

  private launch(node: NodeProcess): void {
    const [program, ...firstArgs] = this.options.program;
    const args = [...firstArgs, 'serve', '--config', node.config];
    if (this.options.budgets !== null) args.push('--budgets', this.budgetsFile);
    if (node.kube !== '') args.push('--kube', this.kubeFile(node.member));
    const child = spawn(program!, args, { stdio: ['ignore', 'ignore', 'pipe'] });
    node.child = child;
    let rest = '';
    child.stderr.on('data', (chunk: Buffer) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.options.log?.(node.member, line);
    });
  }

  /** Kills a controller without notice (SIGKILL), and starts it again later. */
  crash(nodeIndex: number, backAfterMs: number): void {
    const node = this.nodes[nodeIndex]!;
    node.child?.kill('SIGKILL');
    node.child = null;
    setTimeout(() => {
      if (!this.stopping) this.launch(node);
    }, backAfterMs);
  }

  /** The index of the leader according to the state service; null: there is none. */
  leader(): number | null {
    const lead = this.state.value('lead') as { member?: string } | undefined;
    const nodeIndex = this.nodes.findIndex((node) => node.member === lead?.member);
    return nodeIndex < 0 ? null : nodeIndex;
  }

  private makeWorker(name: string, type: string, zone: string, spot: boolean): LoopbackWorker {
    const world: WorkerHost = {
      now: () => this.now(),
      // Also jobs that were submitted by other clients.
      spec: (job) => this.specs.get(job) ?? decodeActiveJob(this.state.value(activeJobKey(job)))?.spec,
      nodes: this.nodes,
      heartbeatIntervalUs: REPORT_S * SECOND,
      leaseUs: LEASE_S * SECOND,
      workers: this.workers,
      taskRan: (job, index, machine, durationUs, done) => {
        this.taskRuns.push({ job, index, machine, durationUs, done });
      },
      call: (address, path, body) => httpCall(address, 'POST', path, body, WORKER_CALL_TIMEOUT_MS),
    };
    return new LoopbackWorker(name, type, zone, spot, world);
  }

  /** The machine loses power, or the cloud takes it back. */
  killWorker(name: string): void {
    this.cloud.kill(name);
  }

  /** Submits a job, trying the controllers in turn until one gives a final answer; null: none did within a minute. */
  async submit(spec: JobSpec): Promise<number | null> {
    this.specs.set(spec.id, spec);
    return this.requestUntilAnswered('POST', '/api/jobs', encodeSubmission(spec));
  }

  private async requestUntilAnswered(
    method: string,
    path: string,
    body: Buffer | null,
  ): Promise<number | null> {
    const until = this.now() + 60 * SECOND;
    for (let attempt = 0; this.now() < until && !this.stopping; attempt++) {
      const response = await httpCall(
        this.nodes[attempt % this.nodes.length]!.address,
        method,
        path,
        body,
        USER_CALL_TIMEOUT_MS,
      );
      if (response !== null && [200, 201, 400, 404, 422].includes(response.status)) return response.status;
      await new Promise((done) => setTimeout(done, 300));
    }
    return null;
  }

  /** Cancels a job, trying the controllers in turn for up to a minute. */
  async cancel(id: string): Promise<void> {
    await this.requestUntilAnswered('POST', `/api/jobs/${id}/abort`, Buffer.alloc(0));
  }

  /** The job's stage according to the first controller that answers; null: none does. */
  async stageOf(id: string): Promise<string | null> {
    for (const node of this.nodes) {
      const response = await httpCall(node.address, 'GET', `/api/jobs/${id}`, null, 2_000);
      if (response?.status === 200) return String(readMap(decodeBody(response.body), 'answer')['stage']);
    }
    return null;
  }

  /** Stops everything, and removes the files. */
  stop(): void {
    this.stopping = true;
    clearInterval(this.timer);
    for (const node of this.nodes) node.child?.kill('SIGKILL');
    for (const worker of this.workers.values()) if (worker.alive) worker.kill();
    for (const server of this.servers) server.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}
