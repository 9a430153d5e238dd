/**
 * A small deployment on loopback for the cases 4 to 8: the state service, the cloud and the workers are the project's own
 * stand-ins in this process, the controllers are processes started with the command line of deploy/service.toml.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import * as http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { activeJobKey } from '@shaleyoke/core/codecs/keys';
import { decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { LoopbackCloud } from '@shaleyoke/emulator/loopback-cloud';
import { freePortsFrom, httpCall, type HttpServer, startServer } from '@shaleyoke/emulator/loopback-http';
import { serveCloud } from '@shaleyoke/emulator/loopback-stand-ins';
import { LoopbackWorker, type PlacedTask, type WorkerHost } from '@shaleyoke/emulator/loopback-workers';
import { StateModel } from '@shaleyoke/emulator/state-model';
import { decodeStoreOperation, encodeStoreReply, encodeSubmission } from '@shaleyoke/emulator/wire';
import { decodeBody } from '@shaleyoke/protocol/body';

/** Values of a site, as the operators' brief states them. */
export interface Site {
  readonly reportS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly txnOps: number;
  readonly cloudRps: number;
  readonly listLagS: number;
  readonly restartS: number;
  readonly maxConnections: number;
  readonly zone: string;
  readonly teams: readonly string[];
  readonly types: readonly MachineType[];
}

/** `kz-mapy-krakow` of the brief, with one of its machine types. */
export const KRAKOW: Site = {
  reportS: 3,
  leaseS: 36,
  cancelS: 56,
  stateRps: 80,
  stateWriteRps: 20,
  txnOps: 16,
  cloudRps: 3,
  listLagS: 3,
  restartS: 3,
  maxConnections: 700,
  zone: 'strefa-krakow',
  teams: ['zespol-ewidencji'],
  types: [
    {
      name: 'wezel-lekki',
      cores: 32,
      gpus: 0,
      memoryGb: 128,
      imageCacheGb: 70,
      imagePullGbPerS: 0.6,
      price: 1.92,
      spotPrice: 0.84,
      // The protocol: "at times machines are up within a second or two".
      bootUs: 2 * SECOND,
      zones: ['strefa-krakow'],
    },
  ],
};

/** `incassohuis-gedeeld` of the brief, with one of its machine types. */
export const INCASSO: Site = {
  reportS: 3,
  leaseS: 27,
  cancelS: 47,
  stateRps: 120,
  stateWriteRps: 25,
  txnOps: 20,
  cloudRps: 1.5,
  listLagS: 12,
  restartS: 8,
  maxConnections: 2000,
  zone: 'zone-amsterdam',
  teams: ['platformploeg'],
  types: [
    {
      name: 'rekenbak',
      cores: 32,
      gpus: 0,
      memoryGb: 64,
      imageCacheGb: 70,
      imagePullGbPerS: 1,
      price: 1.58,
      spotPrice: 0.43,
      bootUs: 2 * SECOND,
      zones: ['zone-amsterdam'],
    },
  ],
};

/** A controller process. */
export interface Node {
  readonly member: string;
  readonly address: string;
  readonly kube: string;
  readonly args: readonly string[];
  child: ChildProcess | null;
}

/** A presence of a task on a machine, from when it has its image. */
export interface Presence {
  readonly task: PlacedTask;
  readonly fromS: number;
  toS: number | null;
  done: boolean;
}

export interface Options {
  readonly site: Site;
  /** Folder of the case; its record.txt is written. */
  readonly folder: string;
  readonly perZone: number;
  /** `tenants` part of the Kubernetes file; null: off. */
  readonly kubeTenants?: string | null;
  /** Text of the budgets file; null: off. */
  readonly budgets?: string | null;
  /** May answer a request to the state service itself: true if it does. `proceed` executes the request. */
  readonly intercept?: (
    node: string,
    op: StoreOperation,
    proceed: () => StoreReply,
    reply: (answer: StoreReply) => void,
  ) => boolean;
  /** Called before the controllers start. */
  readonly before?: (deployment: Deployment) => void;
  readonly logLevel?: string;
}

export const sleep = (seconds: number): Promise<void> =>
  new Promise((done) => setTimeout(done, seconds * 1000));

const decimal = (value: number): string => (Number.isInteger(value) ? `${value}.0` : String(value));

export class Deployment {
  readonly nodes: Node[] = [];
  readonly state: StateModel;
  readonly presences: Presence[] = [];
  /** Unexpected ends of controllers. */
  readonly ends: { member: string; code: number | null; signal: string | null; atS: number }[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** Launch commands that workers executed. */
  readonly launches: {
    readonly job: string;
    readonly index: number;
    readonly machine: string;
    readonly atS: number;
  }[] = [];
  /** Members that have lost the state service, until the end of the run. */
  readonly cut = new Set<string>();
  private readonly servers: HttpServer[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'shaleyoke-case-'));
  private readonly startedAt = process.hrtime.bigint();
  private readonly cloud: LoopbackCloud;
  private readonly timer: NodeJS.Timeout;
  private stopping = false;
  private readonly recordFile: string;

  constructor(private readonly options: Options) {
    this.recordFile = join(options.folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.state = new StateModel(
      () => this.now(),
      (run) => setImmediate(run),
    );
    this.state.limits = { valueBytes: 16 * 1024, ops: options.site.txnOps };
    this.state.requestsPerSecond = options.site.stateRps;
    this.state.writesPerSecond = options.site.stateWriteRps;
    this.cloud = new LoopbackCloud({
      now: () => this.now(),
      types: options.site.types,
      perZone: options.perZone,
      isStopping: () => this.stopping,
      makeWorker: (name, type, zone, spot) => this.makeWorker(name, type, zone, spot),
    });
    this.timer = setInterval(() => {
      this.state.expire();
    }, 20);
  }

  now(): number {
    return Number((process.hrtime.bigint() - this.startedAt) / 1000n);
  }

  nowS(): number {
    return Math.round(this.now() / 1000) / 1000;
  }

  record(line: string): void {
    const text = `${this.nowS().toFixed(3)} ${line}\n`;
    appendFileSync(this.recordFile, text);
    process.stdout.write(text);
  }

  get workers(): ReadonlyMap<string, LoopbackWorker> {
    return this.cloud.workers;
  }

  private makeWorker(name: string, type: string, zone: string, spot: boolean): LoopbackWorker {
    const { site } = this.options;
    this.record(`cloud: machine ${name} rented`);
    const open = (task: PlacedTask): Presence | undefined =>
      this.presences.find(
        (p) =>
          p.toS === null &&
          p.task.job === task.job &&
          p.task.index === task.index &&
          p.task.attempt === task.attempt &&
          p.task.machine === task.machine,
      );
    const world: WorkerHost = {
      now: () => this.now(),
      spec: (job) => this.specs.get(job) ?? decodeActiveJob(this.state.value(activeJobKey(job)))?.spec,
      nodes: this.nodes,
      heartbeatIntervalUs: site.reportS * SECOND,
      leaseUs: site.leaseS * SECOND,
      workers: this.workers,
      taskRan: () => undefined,
      taskStarted: (job, index) => {
        const spec = decodeActiveJob(this.state.value(activeJobKey(job)))?.spec;
        if (spec !== undefined) this.specs.set(job, spec);
        this.launches.push({ job, index, machine: name, atS: this.nowS() });
        this.record(`worker ${name}: launch ${job}/${index}`);
      },
      taskPlaced: (task) => {
        this.presences.push({ task, fromS: this.nowS(), toS: null, done: false });
        this.record(`worker ${name}: on machine ${task.job}/${task.index} try ${task.attempt}`);
      },
      taskLeft: (task, done) => {
        const presence = open(task);
        if (presence !== undefined) {
          presence.toS = this.nowS();
          presence.done = done;
        }
        this.record(
          `worker ${name}: gone ${task.job}/${task.index} try ${task.attempt} ${done ? 'done' : 'not done'}`,
        );
      },
      leaseEnded: (machine) => {
        this.record(`worker ${machine}: lease ended`);
      },
      call: (address, path, body) => httpCall(address, 'POST', path, body, 4_000),
    };
    return new LoopbackWorker(name, type, zone, spot, world);
  }

  private async startStore(node: string): Promise<string> {
    const server = await startServer('127.0.0.1:0', (request, respond) => {
      const op = decodeStoreOperation(request.method, request.url, request.body);
      // A controller that has lost the state service: its packets are held back, and nothing reaches it.
      if (this.cut.has(node)) return;
      if (op.kind === 'watch') {
        this.state.watch(op, (answer) => {
          if (!this.cut.has(node)) respond(encodeStoreReply(op, answer));
        });
        return;
      }
      const reply = (answer: StoreReply): void => {
        respond(encodeStoreReply(op, answer));
      };
      const proceed = (): StoreReply => this.state.apply(op);
      if (this.options.intercept?.(node, op, proceed, reply) === true) return;
      reply(proceed());
    });
    this.servers.push(server);
    return server.address;
  }

  async start(): Promise<void> {
    const { site, kubeTenants, budgets } = this.options;
    const cloud = await serveCloud((op) => this.cloud.apply(op));
    this.servers.push(cloud);
    // Below the range from which the system gives ports to outgoing connections.
    const ports = await freePortsFrom(12_000 + Math.floor(Math.random() * 18_000), 9);
    const at = (i: number): string => `127.0.0.1:${ports[i]}`;
    const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8'));
    if (run === null) throw new Error('deploy/service.toml has no run');
    const words = run[1]!.split(' ');
    const last = words.pop()!;
    const budgetsFile = join(this.directory, 'budgets.yaml');
    if (typeof budgets === 'string') writeFileSync(budgetsFile, budgets);
    for (let i = 0; i < 3; i++) {
      const member = `dock-${i}`;
      const store = await this.startStore(member);
      const peers = [0, 1, 2]
        .filter((j) => j !== i)
        .map((j) => `[[peers]]\nmember = "dock-${j}"\nsite = "${site.zone}"\naddress = "${at(3 * j + 1)}"\n`);
      const config = join(this.directory, `${member}.toml`);
      writeFileSync(
        config,
        `member = "${member}"\nsite = "${site.zone}"\nlisten = "${at(3 * i)}"\ncluster_listen = "${at(3 * i + 1)}"\n` +
          peers.join('') +
          `[endpoints]\ncloud = "${cloud.address}"\nstate = "${store}"\n` +
          `[cluster]\ninitial_size = 3\nzones = ["${site.zone}"]\ntime_bound_ms = 25.0\n` +
          site.teams
            .map(
              (t) =>
                `[[cluster.teams]]\nname = "${t}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n`,
            )
            .join('') +
          `[cluster.workers]\nreport_s = ${decimal(site.reportS)}\nlease_s = ${decimal(site.leaseS)}\ngang_wait_s = 50.0\n` +
          `gang_peer_s = 4.0\ncancel_s = ${decimal(site.cancelS)}\n` +
          `[cluster.state]\nrps = ${decimal(site.stateRps)}\nwrite_rps = ${decimal(site.stateWriteRps)}\nvalue_kb = 16.0\n` +
          `txn_ops = ${site.txnOps}\n[cluster.cloud]\nrps = ${decimal(site.cloudRps)}\nlist_lag_s = ${decimal(site.listLagS)}\n` +
          `[cluster.machine_limits]\nmax_connections = ${site.maxConnections}.0\n`,
      );
      const features: string[] = [];
      if (typeof budgets === 'string') features.push('--budgets', budgetsFile);
      if (typeof kubeTenants === 'string') {
        writeFileSync(
          this.kubeFile(member),
          `version: 1\nlisten: ${at(3 * i + 2)}\nsockets: 200\nstatus_changes_per_s: 2\ntenants:\n${kubeTenants}`,
        );
        features.push('--kube', this.kubeFile(member));
      }
      this.nodes.push({
        member,
        address: at(3 * i),
        kube: at(3 * i + 2),
        args: [...words, ...features, last, config],
        child: null,
      });
    }
    for (const node of this.nodes) this.launch(node);
    for (let i = 0; i < 200; i++) {
      const answers = await Promise.all(
        this.nodes.map((n) => httpCall(n.address, 'GET', '/healthz', null, 1_000)),
      );
      if (answers.every((a) => a?.status === 200) && this.leader() !== null) return;
      await sleep(0.1);
    }
    throw new Error('the controllers did not become healthy');
  }

  kubeFile(member: string): string {
    return join(this.directory, `${member}-kube.yaml`);
  }

  config(member: string): string {
    return join(this.directory, `${member}.toml`);
  }

  get budgetsFile(): string {
    return join(this.directory, 'budgets.yaml');
  }

  private launch(node: Node): void {
    const [program, ...args] = node.args;
    const child = spawn(program!, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: this.options.logLevel ?? 'info' },
    });
    node.child = child;
    const log = join(this.directory, `${node.member}.log`);
    child.stderr!.on('data', (chunk: Buffer) => {
      appendFileSync(log, chunk);
      if (process.env['LOGS'] !== undefined)
        appendFileSync(join(process.env['LOGS'], `${node.member}.log`), chunk);
    });
    child.once('exit', (code, signal) => {
      if (this.stopping || node.child !== child) return;
      this.ends.push({ member: node.member, code, signal, atS: this.nowS() });
      this.record(`controller ${node.member} ended by itself: code ${code} signal ${signal}`);
      // The platform starts it again.
      setTimeout(() => {
        if (!this.stopping) this.launch(node);
      }, this.options.site.restartS * 1000);
    });
  }

  /** Kills a controller without notice; the platform starts it again. */
  kill(node: Node): void {
    const { child } = node;
    node.child = null;
    child?.kill('SIGKILL');
    this.record(`controller ${node.member} killed`);
    setTimeout(() => {
      if (!this.stopping) this.launch(node);
    }, this.options.site.restartS * 1000);
  }

  /** Machines that are up at the start. To be called before `start`. */
  rentAtStart(count: number, spot: boolean): void {
    const type = this.options.site.types[0]!;
    this.cloud.apply({
      kind: 'rent',
      request: `r-start-${spot}`,
      type: type.name,
      zone: this.options.site.zone,
      spot,
      count,
    });
  }

  /** The cloud announces that it takes a machine back, which the worker reports at once, and then takes it. */
  notice(name: string, seconds: number): void {
    const worker = this.workers.get(name) as unknown as {
      heartbeat: () => Record<string, unknown>;
      sendHeartbeatSoon: () => void;
    };
    const takenAt = this.now() + seconds * SECOND;
    const plain = worker.heartbeat.bind(worker);
    worker.heartbeat = () => ({ ...plain(), terminationNoticeUs: Math.max(0, takenAt - this.now()) });
    worker.sendHeartbeatSoon();
    this.record(`cloud: machine ${name} is taken back in ${seconds} s`);
    setTimeout(() => {
      this.killWorker(name);
      this.record(`cloud: machine ${name} is taken`);
    }, seconds * 1000);
  }

  /** The machine loses power. */
  killWorker(name: string): void {
    this.cloud.kill(name);
  }

  leader(): number | null {
    const lead = this.state.value('lead') as { member?: string } | undefined;
    const index = this.nodes.findIndex((node) => node.member === lead?.member);
    return index < 0 ? null : index;
  }

  /** Runs a command of the program and returns its output. */
  tool(args: readonly string[]): Promise<string> {
    return new Promise((resolve, reject) => {
      const child = spawn(process.execPath, ['target/main.js', ...args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      let out = '';
      child.stdout.on('data', (c: Buffer) => (out += c.toString()));
      child.stderr.on('data', (c: Buffer) => (out += c.toString()));
      child.once('exit', (code) => {
        if (code === 0) resolve(out);
        else reject(new Error(`${args.join(' ')}: ${out}`));
      });
    });
  }

  /** A new token of a tenant. */
  async token(tenant: string): Promise<string> {
    const [node] = this.nodes;
    const out = await this.tool([
      'kube',
      'token',
      'create',
      '--config',
      this.config(node!.member),
      '--kube',
      this.kubeFile(node!.member),
      '--tenant',
      tenant,
      '--by',
      'operator',
      '--why',
      'case',
    ]);
    return out.trim().split('\n').at(-1)!;
  }

  /** One request of a user, on a connection of its own. */
  async user(
    node: Node,
    method: string,
    path: string,
    body: Buffer | null = null,
  ): Promise<{ status: number; value: Record<string, unknown> } | null> {
    const answer = await httpCall(
      node.address,
      method,
      path,
      body,
      method === 'GET' ? 2_000 : 5_000,
      new http.Agent(),
    );
    const value =
      answer === null || answer.body.length === 0 ? {} : (decodeBody(answer.body) as Record<string, unknown>);
    this.record(
      `user: ${method} ${path} at ${node.member} -> ${answer === null ? 'no answer' : `${answer.status} ${JSON.stringify(value)}`}`,
    );
    return answer === null ? null : { status: answer.status, value };
  }

  /** Submits a job, with retries after a second at the next controller, for up to 60 s. */
  async submit(spec: JobSpec, first = 0): Promise<number | null> {
    for (let i = 0; i < 30; i++) {
      const answer = await this.user(
        this.nodes[(first + i) % 3]!,
        'POST',
        '/api/jobs',
        encodeSubmission(spec),
      );
      if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return answer.status;
      await sleep(1);
    }
    return null;
  }

  /** One request of a Kubernetes client. */
  kube(
    node: Node,
    token: string | null,
    method: string,
    path: string,
    body: unknown = undefined,
    type = 'application/json',
  ): Promise<{ status: number; value: any } | null> {
    const text = body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body);
    return new Promise((resolve) => {
      const [host, port] = node.kube.split(':');
      const request = http.request(
        {
          host,
          port: Number(port),
          method,
          path,
          agent: false,
          timeout: 20_000,
          headers: {
            ...(token === null ? {} : { Authorization: `Bearer ${token}` }),
            ...(text === null ? {} : { 'Content-Type': type, 'Content-Length': Buffer.byteLength(text) }),
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (c: Buffer) => chunks.push(c));
          response.on('error', () => resolve(null));
          response.on('end', () => {
            const answer = Buffer.concat(chunks).toString();
            let value: any = null;
            try {
              value = JSON.parse(answer);
            } catch {
              value = answer;
            }
            this.record(
              `client: ${method} ${path}${text === null ? '' : ` ${text.slice(0, 300)}`} at ${node.member} -> ${response.statusCode} ${answer.slice(0, 400)}`,
            );
            resolve({ status: response.statusCode ?? 0, value });
          });
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', (error) => {
        this.record(
          `client: ${method} ${path}${text === null ? '' : ` ${text.slice(0, 300)}`} at ${node.member} -> ${error.message}`,
        );
        resolve(null);
      });
      request.end(text ?? undefined);
    });
  }

  stop(): void {
    this.stopping = true;
    clearInterval(this.timer);
    for (const node of this.nodes) node.child?.kill('SIGKILL');
    for (const worker of this.workers.values()) if (worker.alive) worker.kill();
    for (const server of this.servers) server.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** A Job in the subset that is served. */
export const kubeJob = (
  name: string,
  seconds: number,
  tasks = 1,
  annotations: Record<string, string> = {},
): unknown => ({
  apiVersion: 'batch/v1',
  kind: 'Job',
  metadata: { name, annotations: { 'shaleyoke/estimate': String(seconds), ...annotations } },
  spec: {
    completions: tasks,
    parallelism: tasks,
    template: {
      spec: {
        restartPolicy: 'Never',
        containers: [{ name: 'main', image: 'img-01', resources: { requests: { cpu: '4', memory: '4G' } } }],
      },
    },
  },
});

/** A native array job. */
export const arrayJob = (
  id: string,
  team: string,
  tasks: number,
  seconds: number,
  more: Partial<JobSpec> = {},
): JobSpec => ({
  id,
  class: 'rastry',
  team,
  shape: 'array',
  priority: 1,
  tasks,
  cores: 4,
  gpus: 0,
  memoryGb: 4,
  image: 'img-01',
  imageGb: 0.1,
  machineTypes: null,
  zone: null,
  sameZone: false,
  spreadAcrossZones: false,
  spot: false,
  estimatedRunUs: seconds * SECOND,
  checkpointIntervalUs: 0,
  checkpointDurationUs: 0,
  deadlineUs: null,
  dependsOn: [],
  ...more,
});

/**
 * Runs a case. `play` returns true if the rule held, false if it was broken; an exception or more than 110 s: the case
 * could not run.
 */
export const runCase = async (
  options: Options,
  play: (d: Deployment, trouble: boolean) => Promise<boolean>,
): Promise<never> => {
  const deployment = new Deployment(options);
  const end = (code: number, text: string): never => {
    deployment.record(text);
    deployment.stop();
    process.exit(code);
  };
  setTimeout(() => end(2, 'RESULT: could not run: more than 115 s'), 115_000);
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const)
    process.once(signal, () => end(2, `RESULT: ${signal}`));
  const trouble = process.env['TROUBLE'] !== '0';
  try {
    options.before?.(deployment);
    await deployment.start();
    deployment.record(
      `controllers up; disruption ${trouble ? 'on' : 'off'}; leader is dock-${deployment.leader()}`,
    );
    const held = await play(deployment, trouble);
    return end(held ? 0 : 1, held ? 'RESULT: the rule held' : 'RESULT: the rule was broken');
  } catch (error) {
    return end(2, `RESULT: could not run: ${(error as Error).stack}`);
  }
};
