// Workers as the protocol describes them, one per machine, in real time.
import { clearInterval, setInterval } from 'node:timers';

import { call, serve, sleep } from './http.mjs';

const STEP_MS = 50;
const MIN_REPORT_GAP_MS = 500;
const REPORT_TIMEOUT_MS = 4_000;

/** One machine with its worker. `world` is the deployment. */
export class Worker {
  constructor(world, berth, type, hall, loaners) {
    Object.assign(this, { world, berth, type, hall, loaners });
    this.alive = true;
    this.up = false;
    this.address = '';
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.parts = [];
    this.images = new Map();
    this.node = Math.floor(world.random() * world.nodes.length);
    this.hungUntil = 0;
    this.muteUntil = 0;
    this.deafUntil = 0;
    this.reporting = false;
    this.nextReportAt = 0;
    this.lastReportAt = 0;
  }

  async boot() {
    const server = await serve((request) => this.direct(request));
    if (!this.alive) {
      server.close();
      return;
    }
    this.server = server;
    this.address = server.address;
    this.up = true;
    this.renewedAt = this.world.now();
    this.timer = setInterval(() => this.step(), STEP_MS);
  }

  /** The machine is gone, with everything on it. */
  kill() {
    if (!this.alive) return;
    this.alive = false;
    for (const part of this.parts) this.leave(part, 'gone');
    this.parts = [];
    clearInterval(this.timer);
    this.server?.close();
  }

  get hanging() {
    return this.world.now() < this.hungUntil;
  }

  hang(ms) {
    this.hungUntil = this.world.now() + ms;
  }

  report() {
    return {
      berth: this.berth,
      address: this.address,
      model: this.type.sku,
      hall: this.hall,
      loaners: this.loaners,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      recall_s: null,
      parts: this.parts.map(({ part, try: attempt, stage, cause, saved }) => ({
        part,
        try: attempt,
        stage,
        ...(stage === 'exited' ? { cause } : {}),
        ...(saved ? { saved: true } : {}),
      })),
    };
  }

  changed() {
    const soonest = Math.max(this.world.now(), this.lastReportAt + MIN_REPORT_GAP_MS);
    this.nextReportAt = Math.min(this.nextReportAt, soonest);
  }

  async direct({ path, body }) {
    while (this.hanging) await sleep(STEP_MS);
    if (!this.alive || this.world.now() < this.deafUntil) return null;
    if (path === '/inspect') return [200, this.report()];
    if (typeof body.baton !== 'number' || typeof body.shift !== 'number') return [400];
    this.expire();
    if (body.baton < this.baton || body.shift !== this.shift) return [409, this.report()];
    this.baton = body.baton;
    for (const order of body.orders) this.execute(order);
    return [200, this.report()];
  }

  /** Kills and forgets all tasks once the last answered report was sent more than a lease ago. */
  expire() {
    const { leaseMs } = this.world;
    if (this.world.now() - this.renewedAt <= leaseMs) return;
    for (const part of this.parts) this.leave(part, 'lease');
    this.parts = [];
    this.shift++;
    this.tally = 0;
    this.renewedAt = this.world.now();
  }

  step() {
    const now = this.world.now();
    this.expire();
    if (this.hanging) return;
    for (const part of [...this.parts]) this.advance(part, now);
    if (!this.reporting && now >= this.nextReportAt) void this.sendReport();
  }

  async sendReport() {
    this.reporting = true;
    const { world, shift } = this;
    const sentAt = world.now();
    this.lastReportAt = sentAt;
    this.nextReportAt = sentAt + world.reportMs * (0.75 + 0.5 * world.random());
    const node = world.nodes[this.node % world.nodes.length];
    const report = this.report();
    let answer = null;
    if (sentAt < this.muteUntil) await sleep(REPORT_TIMEOUT_MS);
    else answer = await call(node.address, 'POST', '/v1/report', report, REPORT_TIMEOUT_MS);
    while (this.hanging) await sleep(STEP_MS);
    this.reporting = false;
    const now = world.now();
    if (now < this.deafUntil || now - sentAt > REPORT_TIMEOUT_MS) answer = null;
    if (!this.alive || this.shift !== shift) return;
    if (answer?.status === 200) {
      if (typeof answer.body.baton !== 'number' || answer.body.baton < this.baton) return;
      this.baton = answer.body.baton;
      this.renewedAt = sentAt;
      for (const order of answer.body.orders) this.execute(order);
      return;
    }
    const leader = world.nodes.findIndex(({ member }) => member === answer?.body.foreman);
    if (answer?.status === 421 && leader >= 0 && leader !== this.node % world.nodes.length) {
      this.node = leader;
      this.nextReportAt = now + 200;
    } else {
      this.node++;
      this.nextReportAt = now + 1_000;
    }
  }

  free() {
    const free = { cores: this.type.cores, gpus: this.type.gpus, memory_gb: this.type.memory_gb };
    for (const { spec, stage } of this.parts)
      if (stage !== 'exited') {
        free.cores -= spec.cores;
        free.gpus -= spec.gpus;
        free.memory_gb -= spec.memory_gb;
      }
    return free;
  }

  holds(spec) {
    const free = this.free();
    return spec.cores <= free.cores && spec.gpus <= free.gpus && spec.memory_gb <= free.memory_gb;
  }

  execute({ verb, part: name, try: attempt, leeway_s: leeway }) {
    const known = this.parts.find(({ part, try: other }) => part === name && other === attempt);
    this.world.record('order', { berth: this.berth, verb, part: name, try: attempt });
    if (verb === 'clear') {
      this.parts = this.parts.filter((part) => part !== known || part.stage !== 'exited');
      return;
    }
    if (verb === 'kill') {
      if (known !== undefined && known.stage !== 'exited') this.stop(known, leeway);
      return;
    }
    if (known === undefined) this.launch(name, attempt);
  }

  launch(name, attempt) {
    const spec = this.world.specs.get(name.split('/')[0]);
    const refuse = (cause) => {
      this.parts.push({ part: name, try: attempt, stage: 'exited', cause, spec });
      this.changed();
    };
    if (spec === undefined || Number(name.split('/')[1]) >= spec.parts) return refuse('no_such');
    if (this.parts.some(({ part, stage }) => part === name && stage !== 'exited')) return refuse('busy');
    if (!this.holds(spec)) return refuse('full');
    this.parts = this.parts.filter(({ part }) => part !== name);
    const now = this.world.now();
    const cachedAt = this.images.get(spec.build);
    const pullMs = (spec.image_gb / this.type.pull_gb_per_s) * 1_000;
    const readyAt = cachedAt ?? now + pullMs;
    this.images.set(spec.build, readyAt);
    this.parts.push({ part: name, try: attempt, stage: 'pulling', spec, at: Math.max(now, readyAt) });
    return this.changed();
  }

  stop(part, leeway) {
    const { spec, stage } = part;
    if (stage === 'running' && spec.snapshot_s > 0 && leeway >= spec.flush_s) {
      part.stage = 'flushing';
      part.progress = this.progressOf(part);
      part.at = this.world.now() + spec.flush_s * 1_000;
      this.changed();
    } else if (stage !== 'flushing' || leeway === 0) this.exit(part, 'stopped');
  }

  progressOf(part) {
    return part.before + (this.world.now() - part.since);
  }

  progressKey({ part, spec }) {
    return spec.shape === 'group' ? spec.ref : part;
  }

  exit(part, cause) {
    this.leave(part, cause);
    part.stage = 'exited';
    part.cause = cause;
    this.changed();
  }

  /** Records that a task that was on the machine is not any more. */
  leave(part, cause) {
    if (part.placed && part.stage !== 'exited')
      this.world.record('left', { part: part.part, try: part.try, berth: this.berth, cause });
  }

  members({ try: attempt, spec }) {
    const found = [];
    for (const worker of this.world.workers.values())
      for (const part of worker.parts)
        if (part.spec === spec && part.try === attempt) found.push({ worker, part });
    return found;
  }

  begin(part) {
    const { world } = this;
    part.stage = 'running';
    part.since = world.now();
    part.before = world.saved.get(this.progressKey(part)) ?? 0;
    const needed = world.runMs(part.part, part.spec);
    part.at = part.spec.shape === 'service' ? Infinity : part.since + Math.max(0, needed - part.before);
    world.record('running', { part: part.part, try: part.try, berth: this.berth });
    this.changed();
  }

  advance(part, now) {
    const { world } = this;
    if (part.stage === 'pulling' && now >= part.at) {
      part.placed = true;
      world.record('arrived', { part: part.part, try: part.try, berth: this.berth });
      if (world.finished.has(part.part)) this.exit(part, 'done');
      else if (part.spec.shape === 'group') {
        part.stage = 'gathering';
        part.at = now + world.gangWaitMs;
        this.changed();
      } else this.begin(part);
    } else if (part.stage === 'gathering') {
      const here = this.members(part).filter((member) => member.part.stage === 'gathering');
      if (here.length === part.spec.parts) for (const { worker, part: member } of here) worker.begin(member);
      else if (now >= part.at) this.exit(part, 'incomplete');
    } else if (part.stage === 'running') this.advanceRunning(part, now);
    else if (part.stage === 'flushing' && now >= part.at) {
      world.saved.set(this.progressKey(part), part.progress);
      part.saved = true;
      this.exit(part, 'stopped');
    }
  }

  advanceRunning(part, now) {
    const { world } = this;
    if (world.fails(this, part)) this.exit(part, 'error');
    else if (now >= part.at) {
      world.finished.add(part.part);
      this.exit(part, 'done');
    } else if (part.spec.shape === 'group') {
      const members = this.members(part);
      if (members.some((member) => member.part.cause === 'done')) {
        world.finished.add(part.part);
        this.exit(part, 'done');
        return;
      }
      const whole = members.filter(
        ({ worker, part: member }) => member.stage === 'running' && !worker.hanging,
      );
      if (whole.length === part.spec.parts) part.brokenAt = undefined;
      else {
        part.brokenAt ??= now;
        if (now - part.brokenAt > world.gangPeerMs) this.exit(part, 'peers');
      }
    }
  }
}
