/**
 * A small deployment on loopback: real controllers, started as the deploy file says, and stand-ins for everything else.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { Link } from './links.mjs';
import { Cloud } from './machines.mjs';
import { Store } from './store.mjs';
import { call, freePorts, pack, unpack } from './wire.mjs';

export { sleep };

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The settings of the deployment kz-mapy-krakow, as its page gives them. */
export const KRAKOW = {
  reportS: 3,
  leaseS: 36,
  gangWaitS: 50,
  gangPeerS: 4,
  cancelS: 56,
  rps: 80,
  writeRps: 20,
  valueKb: 16,
  txnOps: 16,
  cloudRps: 3,
  listLagS: 3,
  backAfterS: 3,
  maxConnections: 700,
};
/** One of its models. */
export const MODELS = [
  {
    sku: 'wezel-lekki',
    cores: 32,
    gpus: 0,
    memory_gb: 128,
    cache_gb: 200,
    pull_gb_per_s: 1,
    rate: 1.92,
    market_price: 0.84,
    startup_s: 40,
    halls: ['strefa-krakow'],
  },
];

/** A job of one small task, to be changed field by field. */
export const job = (ref, fields = {}) => ({
  ref,
  bundle: 'scalanie-granic',
  owner: 'zespol-ewidencji',
  shape: 'array',
  urgency: 'normal',
  parts: 1,
  cores: 1,
  gpus: 0,
  memory_gb: 1,
  build: 'img-1',
  image_gb: 0.2,
  models: null,
  hall: null,
  same_place: false,
  scatter: false,
  loaners: false,
  expect_s: 5,
  snapshot_s: 0,
  flush_s: 0,
  due_s: null,
  ...fields,
});

export class Deployment {
  constructor(folder, options = {}) {
    this.settings = { ...KRAKOW, ...options.settings };
    this.teams = options.teams ?? [{ name: 'zespol-ewidencji' }];
    this.extraArguments = options.extraArguments ?? (() => []);
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.began = performance.now();
    this.events = [];
    this.nodes = [];
    this.workers = new Map();
    this.jobs = new Map();
    this.ends = [];
    this.stopping = false;
    this.upAtStart = options.upAtStart ?? 0;
    this.store = new Store(this.settings);
    this.cloud = new Cloud(options.models ?? MODELS, options.capacity ?? 4, this);
  }

  /** Seconds since the beginning. */
  now() {
    return (performance.now() - this.began) / 1000;
  }

  record(what, fields = {}) {
    const event = { at: Number(this.now().toFixed(3)), what, ...fields };
    this.events.push(event);
    appendFileSync(this.recordFile, `${JSON.stringify(event)}\n`);
    return event;
  }

  async start(count = 3) {
    this.folder = mkdtempSync(join(tmpdir(), 'shaleyoke-review-'));
    const command = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'))[1];
    this.command = command.split(' ').filter((word) => word !== '');
    await this.cloud.open(this.upAtStart);
    const ports = await freePorts(3 * count);
    for (let n = 0; n < count; n++) {
      const member = `dock-${n}`;
      const door = await this.store.open(member);
      const address = (port) => `127.0.0.1:${port}`;
      this.nodes.push({
        member,
        door,
        listen: address(ports[3 * n]),
        cluster: address(ports[3 * n + 1]),
        extraPort: ports[3 * n + 2],
        child: null,
        log: [],
      });
    }
    for (const node of this.nodes) {
      node.link = new Link(node.cluster);
      await node.link.open();
    }
    for (const node of this.nodes) {
      node.config = join(this.folder, `${node.member}.toml`);
      writeFileSync(node.config, this.toml(node));
      this.launch(node);
    }
    await this.until('healthy controllers', 30, async () => {
      const answers = await Promise.all(
        this.nodes.map(({ listen }) => call(listen, 'GET', '/healthz', null, 1_000)),
      );
      return answers.every((answer) => answer?.status === 200) && this.leader() !== null;
    });
    this.record('controllers ready', { leader: this.leader().member });
  }

  toml(node) {
    const s = this.settings;
    const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : `${value}`);
    const peers = this.nodes
      .filter((other) => other !== node)
      .map(
        ({ member, link }) =>
          `[[peers]]\nmember = "${member}"\nsite = "strefa-krakow"\naddress = "${link.address}"\n`,
      );
    const teams = this.teams.map(
      ({ name, cpus = 0, cpus_max: cpusMax = 0, gpus = 0, gpus_max: gpusMax = 0 }) =>
        `[[cluster.teams]]\nname = "${name}"\ncpus = ${decimal(cpus)}\ncpus_max = ${decimal(cpusMax)}\n` +
        `gpus = ${decimal(gpus)}\ngpus_max = ${decimal(gpusMax)}\n`,
    );
    return (
      `member = "${node.member}"\nsite = "strefa-krakow"\nlisten = "${node.listen}"\ncluster_listen = "${node.cluster}"\n` +
      `${peers.join('')}[endpoints]\ncloud = "${this.cloud.address}"\nstate = "${node.door.address}"\n` +
      `[cluster]\ninitial_size = ${this.nodes.length}\nzones = ["strefa-krakow"]\ntime_bound_ms = 25.0\n${teams.join('')}` +
      `[cluster.workers]\nreport_s = ${decimal(s.reportS)}\nlease_s = ${decimal(s.leaseS)}\n` +
      `gang_wait_s = ${decimal(s.gangWaitS)}\ngang_peer_s = ${decimal(s.gangPeerS)}\ncancel_s = ${decimal(s.cancelS)}\n` +
      `[cluster.state]\nrps = ${decimal(s.rps)}\nwrite_rps = ${decimal(s.writeRps)}\nvalue_kb = ${decimal(s.valueKb)}\n` +
      `txn_ops = ${s.txnOps}\n[cluster.cloud]\nrps = ${decimal(s.cloudRps)}\nlist_lag_s = ${decimal(s.listLagS)}\n` +
      `[cluster.machine_limits]\ncores = 0.17\nmemory_mb = 146.0\nmax_connections = ${s.maxConnections}\n`
    );
  }

  /** Starts a controller with the command of the deploy file; one that ends by itself is started again, as the platform does. */
  launch(node) {
    const [program, ...first] = this.command;
    const child = spawn(program, [...first, node.config, ...this.extraArguments(node)], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? 'info' },
    });
    node.child = child;
    node.startedAt = this.now();
    this.record('controller started', { member: node.member });
    let rest = '';
    child.stderr.on('data', (chunk) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop();
      node.log.push(...lines);
    });
    child.on('exit', (code, signal) => {
      if (node.child !== child || this.stopping) return;
      node.child = null;
      const lastLines = node.log.filter((line) => /FATAL|Error|error/.test(line)).slice(-2);
      this.ends.push({ at: this.now(), member: node.member, code, signal });
      this.record('controller ended by itself', { member: node.member, code, signal, lastLines });
      setTimeout(() => {
        if (!this.stopping) this.launch(node);
      }, this.settings.backAfterS * 1000);
    });
  }

  /** Kills a controller; it is back after the deployment's time, or after `backAfterS`. */
  crash(node, backAfterS = this.settings.backAfterS) {
    const { child } = node;
    node.child = null;
    this.record('controller killed', { member: node.member });
    child?.kill('SIGKILL');
    if (backAfterS !== null)
      setTimeout(() => {
        if (!this.stopping) this.launch(node);
      }, backAfterS * 1000);
  }

  /** The controller that holds the leader's key; null: none does. */
  leader() {
    const lead = this.store.items.get('lead')?.data;
    return this.nodes.find(({ member }) => member === lead?.member) ?? null;
  }

  /** Waits for a condition; throws if it does not hold in time. */
  async until(what, seconds, condition) {
    const end = this.now() + seconds;
    while (this.now() < end) {
      if (await condition()) return;
      await sleep(50);
    }
    throw new Error(`not in time: ${what}`);
  }

  /** One request of a user; records it and its answer. */
  async ask(node, method, path, body, timeoutMs, quiet = false) {
    const sent = this.now();
    const answer = await call(node.listen, method, path, body, timeoutMs);
    const result =
      answer === null
        ? null
        : { status: answer.status, body: answer.body.length === 0 ? {} : safe(answer.body) };
    if (!quiet)
      this.record('asked', {
        member: node.member,
        request: `${method} ${path}`,
        sent: Number(sent.toFixed(3)),
        answer: result,
      });
    return result;
  }

  /** Submits a job as the protocol says: retried after 1 s, at another node, for up to 60 s. */
  async submit(spec, quiet = false) {
    this.jobs.set(spec.ref, spec);
    return this.repeat((node) => this.ask(node, 'POST', '/api/jobs', pack(spec), 5_000, quiet));
  }

  async cancel(ref, nodes = this.nodes) {
    return this.repeat((node) => this.ask(node, 'POST', `/api/jobs/${ref}/abort`, pack({}), 5_000), nodes);
  }

  async poll(node, ref, quiet = false) {
    return this.ask(node, 'GET', `/api/jobs/${ref}`, null, 2_000, quiet);
  }

  async repeat(send, nodes = this.nodes) {
    const end = this.now() + 60;
    for (let n = Math.floor(Math.random() * nodes.length); this.now() < end && !this.stopping; n++) {
      const answer = await send(nodes[n % nodes.length]);
      if (answer !== null && [200, 201, 400, 404, 422].includes(answer.status)) return answer;
      await sleep(1_000);
    }
    return null;
  }

  stop() {
    this.stopping = true;
    for (const node of this.nodes) node.child?.kill('SIGKILL');
    for (const { link } of this.nodes) link?.close();
    this.cloud.close();
    this.store.close();
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

const safe = (bytes) => {
  try {
    return unpack(bytes);
  } catch {
    return { unreadable: bytes.length };
  }
};

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (folder, options, body) => {
  const trouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(folder, options);
  let code = 2;
  const end = () => {
    deployment.stop();
    process.exit(code);
  };
  const limit = setTimeout(() => {
    deployment.record('result', { code: 2, why: 'time is over' });
    code = 2;
    end();
  }, 115_000);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, end);
  try {
    deployment.record('case', { trouble });
    const broken = await body(deployment, trouble);
    code = broken.length > 0 ? 1 : 0;
    deployment.record('result', { code, broken });
  } catch (error) {
    deployment.record('result', { code: 2, why: String(error.stack ?? error) });
  }
  clearTimeout(limit);
  const last = deployment.events.at(-1);
  process.stdout.write(`${JSON.stringify(last)}\n`);
  end();
};
