/**
 * A whole deployment on loopback: state service, cloud and workers in this process, controllers as real processes
 * of the program. The controllers get what the protocol says, over real sockets, and nothing else.
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
import { asFields, decodeBody } from '@shaleyoke/protocol/body';

import { controllerSettings } from './controller-settings.js';
import { type Bill, LoopbackCloud } from './loopback-cloud.js';
import { call, freePorts, type Served } from './loopback-http.js';
import { serveCloud, serveState } from './loopback-stand-ins.js';
import { LoopWorker, type WorkerWorld } from './loopback-workers.js';
import { StateModel } from './state-model.js';
import { encodeSubmission } from './wire.js';

export interface LoopbackOptions {
  /** The program and its first arguments, up to `serve`. */
  readonly program: readonly string[];
  readonly nodes: number;
  readonly teams: readonly string[];
  readonly types: readonly MachineType[];
  /** Machines of a type that the cloud has in a zone. */
  readonly perZone: number;
  /** A budgets file to switch on, as text; null: off. */
  readonly budgets: string | null;
  /** A file that switches Kubernetes-shaped clients on, as text, for the port that each node listens on; null: off. */
  readonly kube?: ((port: number) => string) | null;
  /** Where logs of the controllers go; null: nowhere. */
  readonly log: ((member: string, line: string) => void) | null;
}

/** A run of a task, by the worker's own books. */
export interface Ran {
  readonly job: string;
  readonly index: number;
  readonly machine: string;
  readonly us: Micros;
  readonly done: boolean;
}

interface NodeProcess {
  readonly member: string;
  readonly address: string;
  readonly config: string;
  /** Where Kubernetes-shaped clients come in; empty: nowhere. */
  readonly kube: string;
  child: ChildProcess | null;
}

const REPORT_S = 2;
const LEASE_S = 12;
const CANCEL_S = 30;
const STATE_RPS = 300;
const STATE_WRITE_RPS = 80;
const CLOUD_RPS = 6;
const CALL_MS = 4_000;
const USER_MS = 5_000;

export class Loopback {
  readonly ran: Ran[] = [];
  readonly state: StateModel;
  readonly nodes: NodeProcess[] = [];
  private readonly specs = new Map<string, JobSpec>();
  private readonly servers: Served[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'shaleyoke-'));
  private readonly begun = process.hrtime.bigint();
  private readonly timer: NodeJS.Timeout;
  private readonly cloud: LoopbackCloud;
  private stopping = false;

  constructor(private readonly o: LoopbackOptions) {
    this.state = new StateModel(
      () => this.now(),
      (run) => setImmediate(run),
    );
    this.state.requestsPerSecond = STATE_RPS;
    this.state.writesPerSecond = STATE_WRITE_RPS;
    this.cloud = new LoopbackCloud({
      now: () => this.now(),
      types: o.types,
      perZone: o.perZone,
      isStopping: () => this.stopping,
      makeWorker: (name, type, zone, spot) => this.makeWorker(name, type, zone, spot),
    });
    this.timer = setInterval(() => {
      this.state.expire();
    }, 20);
  }

  get workers(): ReadonlyMap<string, LoopWorker> {
    return this.cloud.workers;
  }

  /** What the cloud charges for. */
  get bills(): readonly Bill[] {
    return this.cloud.bills;
  }

  now(): Micros {
    return Number((process.hrtime.bigint() - this.begun) / 1000n);
  }

  /** Starts the servers, then the controllers. */
  async start(): Promise<void> {
    const state = await serveState(this.state);
    const cloud = await serveCloud((op) => this.cloud.apply(op));
    this.servers.push(state, cloud);
    const ports = await freePorts(3 * this.o.nodes);
    const members = Array.from({ length: this.o.nodes }, (_, i) => ({
      member: `dock-${i}`,
      listen: `127.0.0.1:${ports[3 * i]}`,
      peer: `127.0.0.1:${ports[3 * i + 1]}`,
      kube: ports[3 * i + 2]!,
    }));
    for (const m of members) {
      const config = join(this.folder, `${m.member}.toml`);
      const peers = members.filter((p) => p !== m).map((p) => ({ member: p.member, address: p.peer }));
      const settings = controllerSettings({
        member: m.member,
        listen: m.listen,
        peerListen: m.peer,
        peers,
        cloud: cloud.address,
        state: state.address,
        teams: this.o.teams,
        reportS: REPORT_S,
        leaseS: LEASE_S,
        cancelS: CANCEL_S,
        stateRps: STATE_RPS,
        stateWriteRps: STATE_WRITE_RPS,
        cloudRps: CLOUD_RPS,
      });
      writeFileSync(config, settings);
      const text = this.o.kube?.(m.kube);
      if (text !== undefined) writeFileSync(this.kubeFile(m.member), text);
      const kube = text === undefined ? '' : `127.0.0.1:${m.kube}`;
      this.nodes.push({ member: m.member, address: m.listen, config, kube, child: null });
    }
    if (this.o.budgets !== null) writeFileSync(this.budgetsFile, this.o.budgets);
    for (const n of this.nodes) this.launch(n);
  }

  get budgetsFile(): string {
    return join(this.folder, 'budgets.yaml');
  }

  kubeFile(member: string): string {
    return join(this.folder, `${member}-kube.yaml`);
  }

  private launch(n: NodeProcess): void {
    const [program, ...first] = this.o.program;
    const args = [...first, 'serve', '--config', n.config];
    if (this.o.budgets !== null) args.push('--budgets', this.budgetsFile);
    if (n.kube !== '') args.push('--kube', this.kubeFile(n.member));
    const child = spawn(program!, args, { stdio: ['ignore', 'ignore', 'pipe'] });
    n.child = child;
    let rest = '';
    child.stderr.on('data', (c: Buffer) => {
      const lines = (rest + c.toString()).split('\n');
      rest = lines.pop() ?? '';
      for (const l of lines) this.o.log?.(n.member, l);
    });
  }

  /** Kills a controller as a crash would, and starts it again later. */
  crash(i: number, backAfterMs: number): void {
    const n = this.nodes[i]!;
    n.child?.kill('SIGKILL');
    n.child = null;
    setTimeout(() => {
      if (!this.stopping) this.launch(n);
    }, backAfterMs);
  }

  /** The controller that leads, as the state service knows it; null if there is none. */
  leader(): number | null {
    const lead = this.state.value('lead') as { member?: string } | undefined;
    const i = this.nodes.findIndex((n) => n.member === lead?.member);
    return i < 0 ? null : i;
  }

  // ---- machines -----------------------------------------------------------------------------------

  private makeWorker(name: string, type: string, zone: string, spot: boolean): LoopWorker {
    const world: WorkerWorld = {
      now: () => this.now(),
      // As its worker fetches it, whoever submitted the job.
      spec: (job) => this.specs.get(job) ?? decodeActiveJob(this.state.value(activeJobKey(job)))?.spec,
      nodes: this.nodes,
      reportUs: REPORT_S * SECOND,
      leaseUs: LEASE_S * SECOND,
      workers: this.workers,
      ran: (job, index, machine, us, done) => {
        this.ran.push({ job, index, machine, us, done });
      },
      call: (address, path, body) => call(address, 'POST', path, body, CALL_MS),
    };
    return new LoopWorker(name, type, zone, spot, world);
  }

  /** Power is lost, or the cloud took it back. */
  killWorker(name: string): void {
    this.cloud.kill(name);
  }

  // ---- users -------------------------------------------------------------------------------------

  /** Submits until it is accepted, at one node after the other; null: given up after a minute. */
  async submit(spec: JobSpec): Promise<number | null> {
    this.specs.set(spec.id, spec);
    return this.ask('POST', '/api/jobs', encodeSubmission(spec));
  }

  private async ask(method: string, path: string, body: Buffer | null): Promise<number | null> {
    const until = this.now() + 60 * SECOND;
    for (let k = 0; this.now() < until && !this.stopping; k++) {
      const r = await call(this.nodes[k % this.nodes.length]!.address, method, path, body, USER_MS);
      if (r !== null && [200, 201, 400, 404, 422].includes(r.status)) return r.status;
      await new Promise((done) => setTimeout(done, 300));
    }
    return null;
  }

  async cancel(id: string): Promise<void> {
    await this.ask('POST', `/api/jobs/${id}/abort`, Buffer.alloc(0));
  }

  /** What some node says of a job now; null: none answers. */
  async stageOf(id: string): Promise<string | null> {
    for (const n of this.nodes) {
      const r = await call(n.address, 'GET', `/api/jobs/${id}`, null, 2_000);
      if (r?.status === 200) return String(asFields(decodeBody(r.body), 'answer')['stage']);
    }
    return null;
  }

  /** Ends everything it started, and removes its files. */
  stop(): void {
    this.stopping = true;
    clearInterval(this.timer);
    for (const n of this.nodes) n.child?.kill('SIGKILL');
    for (const w of this.workers.values()) if (w.alive) w.kill();
    for (const s of this.servers) s.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
