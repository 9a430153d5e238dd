// A small deployment on loopback addresses: real controllers, and stand-ins for everything around them.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

import { call, freePorts, serve, sleep } from './http.mjs';
import { Store } from './store.mjs';
import { Worker } from './workers.mjs';

export { call, sleep };
export { adresy, incassohuis } from './sites.mjs';
export { machinesWithRoom, MAX_WAIT_MS, WaitWatch } from './waiting.mjs';

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const trouble = process.env.TROUBLE !== '0';

const POLL_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
const RETRY_FOR_MS = 60_000;
/** A run takes 120 seconds at most. */
const MAX_RUN_MS = 118_000;

const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));
const table = (name, fields) =>
  `${name}\n${Object.entries(fields)
    .map(([key, value]) => `${key} = ${typeof value === 'number' ? decimal(value) : JSON.stringify(value)}`)
    .join('\n')}\n`;

/** A job with one task, with other fields as given. */
export const job = (ref, more) => ({
  ref,
  bundle: 'other',
  owner: 'team',
  shape: 'array',
  urgency: 'normal',
  parts: 1,
  cores: 1,
  gpus: 0,
  memory_gb: 1,
  build: 'img-01',
  image_gb: 0.5,
  models: null,
  hall: null,
  same_place: false,
  scatter: false,
  loaners: false,
  expect_s: 60,
  snapshot_s: 0,
  flush_s: 0,
  due_s: null,
  ...more,
});

/** Controllers, state service, cloud, workers and users of one run. */
export class Deployment {
  constructor(folder, options) {
    this.options = options;
    this.folder = folder;
    this.startedAt = performance.now();
    this.lines = [];
    this.specs = new Map();
    this.workers = new Map();
    this.saved = new Map();
    this.finished = new Set();
    this.nodes = [];
    this.servers = [];
    this.bookings = new Map();
    this.settingsFolder = mkdtempSync(join(tmpdir(), 'shaleyoke-review-'));
    const { workers } = options;
    this.reportMs = workers.report_s * 1_000;
    this.leaseMs = workers.lease_s * 1_000;
    this.gangWaitMs = workers.gang_wait_s * 1_000;
    this.gangPeerMs = workers.gang_peer_s * 1_000;
    this.cloudLeft = options.cloud.rps * 2;
    this.cloudAt = 0;
    this.cloudDownUntil = 0;
    this.nextBerth = 1;
    this.snapshots = [];
    this.stopped = false;
    this.exits = [];
    /** Replaced by a case where machines fail their tasks. */
    this.fails = () => false;
    this.store = new Store(options.state, () => this.now());
    let state = options.seed ?? 1;
    this.random = () => {
      state = (state * 1103515245 + 12345) % 2147483648;
      return state / 2147483648;
    };
  }

  now() {
    return performance.now() - this.startedAt;
  }

  record(kind, fields) {
    const at = Math.round(this.now());
    this.lines.push({ at, kind, ...fields });
  }

  /** How long a task runs; the same as its owner expects, unless the case says otherwise. */
  runMs(part, spec) {
    return (spec.run_s ?? spec.expect_s) * 1_000;
  }

  async start() {
    const { members = 3, machines = [] } = this.options;
    const ports = await freePorts(3 * members);
    const cloud = await serve((request) => this.cloud(request));
    this.servers.push(cloud);
    this.nodes = Array.from({ length: members }, (_, i) => ({
      member: `dock-${i}`,
      address: `127.0.0.1:${ports[2 * i]}`,
      peer: `127.0.0.1:${ports[2 * i + 1]}`,
      kube: `127.0.0.1:${ports[2 * members + i]}`,
      refusedUntil: 0,
      child: null,
      log: [],
    }));
    for (const { type, hall, count } of machines)
      for (let i = 0; i < count; i++) await this.addMachine(type, hall, false, 0);
    for (const node of this.nodes) {
      const state = await serve((request) => this.stateFor(node, request));
      this.servers.push(state);
      node.config = join(this.settingsFolder, `${node.member}.toml`);
      writeFileSync(node.config, this.settings(node, state.address, cloud.address));
    }
    const line = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8'))[1].split(' ');
    this.command = line;
    // The machines that are up at the start have been listed for long.
    this.takeSnapshot(-Infinity);
    this.snapshotTimer = setInterval(() => this.takeSnapshot(this.now()), 250);
    for (const node of this.nodes) this.launch(node);
    const until = this.now() + 20_000;
    while (this.now() < until) {
      const health = await Promise.all(
        this.nodes.map((node) => call(node.address, 'GET', '/healthz', null, 1_000)),
      );
      if (health.every((answer) => answer?.status === 200) && this.store.items.has('lead')) return;
      await sleep(100);
    }
    throw new Error('the controllers did not become healthy');
  }

  settings(node, state, cloud) {
    const { zones, teams, objectives = [], workers, state: limits, cloud: cloudLimits } = this.options;
    const peers = this.nodes
      .filter((other) => other !== node)
      .map(({ member, peer }) => table('[[peers]]', { member, site: zones[0], address: peer }));
    return [
      `member = "${node.member}"\nsite = "${zones[0]}"\n`,
      `listen = "${node.address}"\ncluster_listen = "${node.peer}"\n`,
      ...peers,
      table('[endpoints]', { cloud, state }),
      `[cluster]\ninitial_size = ${this.nodes.length}\nzones = ${JSON.stringify([zones[0]])}\n`,
      'time_bound_ms = 25.0\n',
      ...teams.map((team) => table('[[cluster.teams]]', team)),
      ...objectives.map((objective) => table('[[cluster.objectives]]', objective)),
      table('[cluster.workers]', workers),
      `[cluster.state]\nrps = ${decimal(limits.rps)}\nwrite_rps = ${decimal(limits.write_rps)}\n`,
      `value_kb = ${decimal(limits.value_kb)}\ntxn_ops = ${limits.txn_ops}\n`,
      table('[cluster.cloud]', cloudLimits),
      '[cluster.machine_limits]\ncores = 0.17\nmemory_mb = 146.0\nmax_connections = 700\n',
    ].join('');
  }

  launch(node) {
    const [program, ...args] = this.command;
    // The deploy file has this listener off; `--config` stays the last option, the path of the settings the last argument.
    if (this.options.kube) {
      const file = join(this.settingsFolder, `${node.member}-kube.yaml`);
      writeFileSync(file, `version: 1\nlisten: ${node.kube}\nsockets: 200\ntenants: {}\n`);
      args.splice(-1, 0, '--kube', file);
    }
    const child = spawn(program === 'node' ? process.execPath : program, [...args, node.config], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    node.child = child;
    this.record('controller', { member: node.member, event: 'started' });
    child.stderr.on('data', (chunk) => node.log.push(String(chunk)));
    child.on('exit', (code, signal) => {
      if (node.child !== child) return;
      node.child = null;
      this.exits.push({ member: node.member, code, signal });
      this.record('controller', { member: node.member, event: 'ended by itself', code, signal });
      setTimeout(() => {
        if (!this.stopped) this.launch(node);
      }, this.options.restart_s * 1_000);
    });
  }

  /** Kills a controller without notice; it comes back after a while. */
  crash(node, backAfterMs) {
    const { child } = node;
    node.child = null;
    this.record('controller', { member: node.member, event: 'killed' });
    child?.kill('SIGKILL');
    setTimeout(() => {
      if (!this.stopped) this.launch(node);
    }, backAfterMs);
  }

  leader() {
    const lead = this.store.items.get('lead')?.data;
    return this.nodes.find(({ member }) => member === lead?.member) ?? null;
  }

  async stateFor(node, request) {
    if (this.now() < node.refusedUntil) return [503, { error: 'trouble' }];
    await sleep(1 + 4 * this.random());
    const answer = await this.store.handle(request);
    // An open watch waits while this controller alone is refused.
    while (request.path === '/follow' && this.now() < node.refusedUntil) await sleep(50);
    return answer;
  }

  // ---- cloud

  async addMachine(type, hall, loaners, bootMs) {
    const berth = `m-${String(this.nextBerth++).padStart(6, '0')}`;
    const model = this.options.types.find(({ sku }) => sku === type);
    const worker = new Worker(this, berth, model, hall, loaners);
    worker.rentedAt = this.now();
    this.workers.set(berth, worker);
    this.record('machine', { berth, type, hall, loaners });
    if (bootMs === 0) await worker.boot();
    else
      setTimeout(() => {
        if (worker.alive && !this.stopped) void worker.boot();
      }, bootMs);
    return berth;
  }

  takeSnapshot(at) {
    const berths = [...this.workers.values()]
      .filter(({ alive }) => alive)
      .map((worker) => ({
        ref: worker.berth,
        address: worker.address === '' ? '127.0.0.1:9' : worker.address,
        model: worker.type.sku,
        hall: worker.hall,
        loaners: worker.loaners,
        stage: worker.up ? 'running' : 'booting',
        age_s: (this.now() - worker.rentedAt) / 1_000,
      }));
    this.snapshots.push({ at, berths });
  }

  async cloud({ path, query, body }) {
    await sleep(50);
    const now = this.now();
    const { rps, list_lag_s: lagS } = this.options.cloud;
    this.cloudLeft = Math.min(2 * rps, this.cloudLeft + ((now - this.cloudAt) / 1_000) * rps);
    this.cloudAt = now;
    if (this.cloudLeft < 1) return [429];
    this.cloudLeft--;
    if (now < this.cloudDownUntil) return [503, { error: 'trouble' }];
    if (path === '/flavors') return [200, { models: this.options.types }];
    if (path === '/hosts/delete') {
      for (const berth of body.berths) {
        if (this.workers.get(berth)?.alive) this.record('machine', { berth, event: 'deleted' });
        this.workers.get(berth)?.kill();
      }
      return [200];
    }
    if (path === '/hosts' && body.booking !== undefined) return this.rent(body);
    const snapshot = this.snapshots.findLast(({ at }) => at <= now - lagS * 1_000);
    const page = Number(query.get('page') ?? 500);
    const after = snapshot.berths.filter(({ ref }) => ref > (query.get('since') ?? ''));
    return [200, { berths: after.slice(0, page), more: after.length > page }];
  }

  async rent({ booking, model, hall, loaners, count }) {
    const earlier = this.bookings.get(booking);
    if (earlier !== undefined) return [200, { berths: earlier }];
    const limit = this.options.capacity?.[`${model}|${hall}|${loaners ? 'cheap' : 'ordinary'}`] ?? 0;
    const present = [...this.workers.values()].filter(
      (worker) =>
        worker.alive && worker.type.sku === model && worker.hall === hall && worker.loaners === loaners,
    ).length;
    const granted = Math.min(count, limit - present);
    if (granted <= 0) return [503, { error: 'no capacity' }];
    const type = this.options.types.find(({ sku }) => sku === model);
    const berths = [];
    for (let i = 0; i < granted; i++)
      berths.push(
        await this.addMachine(model, hall, loaners, type.startup_s * 1_000 * (0.6 + 0.9 * this.random())),
      );
    this.bookings.set(booking, berths);
    return [200, { berths }];
  }

  // ---- users

  async ask(node, method, path, body, timeoutMs, ref, what) {
    const sentAt = Math.round(this.now());
    const answer = await call(node.address, method, path, body, timeoutMs);
    this.record('answer', {
      to: what,
      ref,
      member: node.member,
      sentAt,
      status: answer?.status ?? null,
      stage: answer?.body?.stage ?? null,
    });
    return answer;
  }

  async repeat(method, path, body, ref, what, accepted) {
    const until = this.now() + RETRY_FOR_MS;
    for (let i = Math.floor(this.random() * this.nodes.length); this.now() < until; i++) {
      const node = this.nodes[i % this.nodes.length];
      const answer = await this.ask(node, method, path, body, REQUEST_TIMEOUT_MS, ref, what);
      if (answer !== null && accepted.includes(answer.status)) return answer;
      await sleep(1_000);
    }
    return null;
  }

  async submit(spec) {
    this.specs.set(spec.ref, spec);
    const sent = { ...spec };
    delete sent.run_s;
    const answer = await this.repeat('POST', '/api/jobs', sent, spec.ref, 'submit', [200, 201, 400, 422]);
    if (answer === null || answer.status >= 400)
      throw new Error(`${spec.ref} was not accepted: ${answer?.status}`);
    return answer;
  }

  cancel(ref) {
    return this.repeat('POST', `/api/jobs/${ref}/abort`, {}, ref, 'abort', [200]);
  }

  async poll(ref, node = this.nodes[Math.floor(this.random() * this.nodes.length)]) {
    return this.ask(node, 'GET', `/api/jobs/${ref}`, null, POLL_TIMEOUT_MS, ref, 'poll');
  }

  /** Tasks of a job that have their image and have not exited, by machine. */
  placed(ref) {
    const found = [];
    for (const worker of this.workers.values())
      for (const part of worker.parts)
        if (part.part.startsWith(`${ref}/`) && part.placed && part.stage !== 'exited')
          found.push({ part: part.part, worker });
    return found;
  }

  /** Cores that a team's tasks take now, images still being fetched included. */
  coresOf(owner) {
    let cores = 0;
    for (const worker of this.workers.values())
      for (const { spec, stage } of worker.parts)
        if (stage !== 'exited' && spec?.owner === owner) cores += spec.cores;
    return cores;
  }

  doneCount(ref) {
    return [...this.finished].filter((part) => part.startsWith(`${ref}/`)).length;
  }

  stop() {
    this.stopped = true;
    clearInterval(this.snapshotTimer);
    for (const node of this.nodes) {
      const { child } = node;
      node.child = null;
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    for (const worker of this.workers.values()) worker.kill();
    for (const server of this.servers) server.close();
    this.store.stop();
    rmSync(this.settingsFolder, { recursive: true, force: true });
  }
}

/** Runs a case: starts its deployment, plays it, writes record.txt, and exits with 0, 1 or 2. */
export const runCase = async (folder, options, play) => {
  const deployment = new Deployment(folder, options);
  let code = 2;
  let verdict;
  try {
    await deployment.start();
    const over = sleep(MAX_RUN_MS - deployment.now()).then(() => {
      throw new Error('the time of a run is over');
    });
    const broken = await Promise.race([play(deployment), over]);
    if (deployment.exits.length > 0) broken.push(`controllers ended: ${JSON.stringify(deployment.exits)}`);
    code = broken.length > 0 ? 1 : 0;
    verdict = broken.length > 0 ? `broken: ${broken.join('; ')}` : 'held';
  } catch (error) {
    verdict = `could not run: ${error.stack}`;
  } finally {
    deployment.stop();
  }
  const lines = deployment.lines.map(({ at, kind, ...fields }) => `${at} ${kind} ${JSON.stringify(fields)}`);
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n${verdict}\n`);
  if (process.env.REVIEW_LOGS)
    for (const node of deployment.nodes)
      writeFileSync(join(process.env.REVIEW_LOGS, `${node.member}.log`), node.log.join(''));
  process.stdout.write(`${verdict}\n`);
  process.exit(code);
};
