/** Stand-ins of the cloud and of its machines with their workers. Follows the protocol's pages on both. */
import * as http from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

import { call, pack, serve, unpack } from './wire.mjs';

const STEP_MS = 20;
const MIN_REPORT_GAP_MS = 500;
const DEAD_SHOWN_MS = 30_000;
/** At times machines are up within a second or two. */
const BOOT_MS = 2_000;

/** One machine with its worker. */
class Worker {
  constructor(name, model, hall, loaners, world) {
    Object.assign(this, { name, model, hall, loaners, world });
    this.alive = true;
    this.address = '';
    this.lastAddress = '';
    this.bookedAt = performance.now();
    this.upAt = null;
    this.diedAt = null;
    this.deletedAt = null;
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.tokenReportedAt = -Infinity;
    /** Until when it hangs; does not hear answers and commands; reaches no controller. */
    this.hangsUntil = 0;
    this.deafUntil = 0;
    this.muteUntil = 0;
    this.takenAt = null;
    this.parts = [];
    this.results = new Set();
    this.images = new Set();
    this.node = Math.floor(Math.random() * 3);
    this.reporting = false;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async boot() {
    this.server = await serve((request, reply) => this.command(request, reply));
    if (!this.alive) {
      this.server.close();
      return;
    }
    this.address = this.server.address;
    this.lastAddress = this.address;
    this.upAt ??= performance.now();
    this.renewedAt = performance.now();
    this.lastReportAt = -Infinity;
    this.nextReportAt = this.renewedAt;
    this.timer = setInterval(() => this.step(), STEP_MS);
  }

  /** The cloud takes the machine back after a notice. */
  recall(seconds) {
    this.takenAt = performance.now() + seconds * 1000;
    this.soon();
    setTimeout(() => this.kill(), seconds * 1000);
  }

  kill() {
    if (!this.alive) return;
    this.alive = false;
    this.diedAt = performance.now();
    clearInterval(this.timer);
    for (const part of this.parts) this.leave(part, 'machine gone');
    this.parts = [];
    this.server?.close();
    this.agent.destroy();
  }

  report() {
    return {
      berth: this.name,
      address: this.address,
      model: this.model.sku,
      hall: this.hall,
      loaners: this.loaners,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      recall_s: this.takenAt === null ? null : Math.max(0, (this.takenAt - performance.now()) / 1000),
      parts: this.parts.map(({ part, attempt, stage, cause, saved }) => ({
        part,
        try: attempt,
        stage,
        ...(stage === 'exited' ? { cause, saved } : {}),
      })),
    };
  }

  command(request, reply) {
    const now = performance.now();
    if (now < this.deafUntil) return;
    if (now < this.hangsUntil) setTimeout(() => this.command(request, reply), this.hangsUntil - now);
    else if (this.alive) this.obey(request, reply);
  }

  obey({ path, body }, reply) {
    if (path === '/inspect') return reply(200, this.report());
    const { baton, shift, orders } = unpack(body);
    if (baton === undefined || shift === undefined) return reply(400);
    if (baton < this.baton || shift !== this.shift) return reply(409, this.report());
    this.see(baton);
    for (const order of orders) this.execute(order, 'orders');
    return reply(200, this.report());
  }

  /** A higher token counts as a change at most once per half of the lease. */
  see(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    const now = performance.now();
    if (now < this.tokenReportedAt + this.world.settings.leaseS * 500) return;
    this.tokenReportedAt = now;
    this.soon();
  }

  soon() {
    this.nextReportAt = Math.min(
      this.nextReportAt,
      Math.max(performance.now(), this.lastReportAt + MIN_REPORT_GAP_MS),
    );
  }

  /** Whether the task counts as on its machine: from when it has its image until it is gone. */
  isPlaced({ stage }) {
    return stage !== 'pulling' && stage !== 'exited';
  }

  leave(part, why) {
    if (this.isPlaced(part))
      this.world.record('left', { machine: this.name, part: part.part, try: part.attempt, why });
  }

  exit(part, cause, saved = false) {
    if (part.stage === 'exited') return;
    this.leave(part, cause);
    part.stage = 'exited';
    part.cause = cause;
    part.saved = saved;
    if (cause === 'done') this.results.add(part.part);
    this.soon();
  }

  execute({ verb, part, try: attempt, leeway_s: leeway }, way) {
    const present = this.parts.find((other) => other.part === part);
    if (verb === 'clear') {
      this.parts = this.parts.filter(
        (other) => other !== present || other.attempt !== attempt || other.stage !== 'exited',
      );
      return;
    }
    if (verb === 'kill') {
      this.world.record('kill', { machine: this.name, part, try: attempt, leeway, way });
      if (present?.attempt !== attempt || present.stage === 'exited') return;
      const { snapshot_s: snapshot, flush_s: flush } = present.spec;
      if (present.stage === 'running' && snapshot > 0 && leeway >= flush) {
        present.stage = 'flushing';
        present.endsAt = performance.now() + flush * 1000;
      } else if (present.stage !== 'flushing' || leeway === 0) this.exit(present, 'stopped');
      return;
    }
    if (present?.attempt === attempt) return;
    this.world.record('launch', { machine: this.name, part, try: attempt, way });
    const spec = this.world.jobs.get(part.slice(0, part.lastIndexOf('/')));
    const refusal =
      present !== undefined && present.stage !== 'exited'
        ? 'busy'
        : spec === undefined || Number(part.slice(part.lastIndexOf('/') + 1)) >= spec.parts
          ? 'no_such'
          : this.fits(spec)
            ? null
            : 'full';
    if (refusal === null) this.parts = this.parts.filter((other) => other !== present);
    const pull = this.images.has(spec?.build) ? 0.02 : (spec?.image_gb ?? 0) / this.model.pull_gb_per_s;
    this.parts.push({
      part,
      attempt,
      spec,
      stage: refusal === null ? 'pulling' : 'exited',
      cause: refusal,
      saved: false,
      endsAt: performance.now() + pull * 1000,
    });
    this.soon();
  }

  fits(spec) {
    const used = { cores: spec.cores, gpus: spec.gpus, memory_gb: spec.memory_gb };
    for (const part of this.parts)
      if (part.stage !== 'exited') for (const key of Object.keys(used)) used[key] += part.spec[key];
    return Object.keys(used).every((key) => used[key] <= this.model[key] + 1e-6);
  }

  step() {
    const now = performance.now();
    if (now < this.hangsUntil) return;
    if (now > this.renewedAt + this.world.settings.leaseS * 1000) {
      this.world.record('lease over', { machine: this.name, shift: this.shift });
      for (const part of this.parts) this.leave(part, 'lease over');
      this.parts = [];
      this.shift++;
      this.renewedAt = now;
      this.soon();
    }
    for (const part of [...this.parts]) {
      this.watchPeers(part, now);
      this.advance(part, now);
    }
    if (!this.reporting && now >= this.nextReportAt) void this.send(now);
  }

  gang(part) {
    return [...this.world.workers.values()].flatMap((worker) =>
      worker.parts.filter(
        (other) => other.spec === part.spec && other.attempt === part.attempt && other.stage !== 'exited',
      ),
    );
  }

  advance(part, now) {
    if (part.stage === 'exited' || now < part.endsAt) return;
    const { spec } = part;
    if (part.stage === 'pulling') {
      this.images.add(spec.build);
      part.stage = spec.shape === 'group' ? 'gathering' : 'running';
      this.world.record('placed', {
        machine: this.name,
        hall: this.hall,
        part: part.part,
        try: part.attempt,
      });
      if (this.results.has(part.part)) this.exit(part, 'done');
      else if (part.stage === 'running') this.begin(part, now);
      this.soon();
    } else if (part.stage === 'gathering') {
      const members = this.gang(part);
      if (members.length < spec.parts || members.some(({ stage }) => stage === 'pulling')) return;
      part.stage = 'running';
      this.begin(part, now);
      this.soon();
    } else if (part.stage === 'flushing') this.exit(part, 'stopped', true);
    else this.finish(part);
  }

  /** A gang's tasks complete together. */
  finish(part) {
    if (part.spec.shape !== 'group') {
      this.exit(part, 'done');
      return;
    }
    for (const worker of this.world.workers.values())
      for (const member of worker.parts)
        if (member.spec === part.spec && member.attempt === part.attempt) worker.exit(member, 'done');
  }

  /** A task of a running gang notices within `gang_peer_s` that another one is gone, and exits. */
  watchPeers(part, now) {
    if (part.spec.shape !== 'group' || part.stage === 'exited' || part.stage === 'pulling') return;
    if (part.stage === 'gathering') {
      if (now > part.endsAt + this.world.settings.gangWaitS * 1000) this.exit(part, 'incomplete');
      return;
    }
    if (this.gang(part).length === part.spec.parts) part.lonelySince = null;
    else part.lonelySince ??= now;
    if (part.lonelySince !== null && now > part.lonelySince + this.world.settings.gangPeerS * 500)
      this.exit(part, 'peers');
  }

  begin(part, now) {
    const runS = this.world.runTime?.(part.part) ?? part.spec.expect_s;
    part.endsAt = part.spec.shape === 'service' ? Infinity : now + runS * 1000;
  }

  async send(now) {
    const { world } = this;
    this.reporting = true;
    this.lastReportAt = now;
    this.nextReportAt = now + world.settings.reportS * 1000 * (0.75 + Math.random() / 2);
    const { shift } = this;
    const node = world.nodes[this.node % world.nodes.length];
    const report = pack(this.report());
    const sent =
      now < this.muteUntil
        ? sleep(4_000, null)
        : call(node.listen, 'POST', '/v1/report', report, 4_000, this.agent);
    const received = await sent;
    // Answers that come after 4 s are dropped, also where the machine hung meanwhile.
    const answer =
      performance.now() < Math.max(this.deafUntil, this.hangsUntil) || performance.now() > now + 4_500
        ? null
        : received;
    this.reporting = false;
    if (!this.alive || shift !== this.shift) return;
    world.onReportAnswered?.(this, node, answer?.status ?? null);
    if (!this.alive) return;
    const body = answer === null || answer.status === 503 ? {} : unpack(answer.body);
    if (answer?.status === 200) {
      if (body.baton === undefined || body.baton < this.baton) return;
      this.see(body.baton);
      this.renewedAt = now;
      for (const order of body.orders ?? []) this.execute(order, 'report');
      return;
    }
    const foreman =
      answer?.status === 421 ? world.nodes.findIndex(({ member }) => member === body.foreman) : -1;
    if (foreman >= 0 && foreman !== this.node % world.nodes.length) {
      this.node = foreman;
      this.nextReportAt = Math.max(performance.now() + 100, this.lastReportAt + MIN_REPORT_GAP_MS);
    } else {
      this.node++;
      this.nextReportAt = performance.now() + 1_000;
    }
  }
}

/** The cloud: rents machines at once, up to `capacity` of each model and hall. */
export class Cloud {
  constructor(models, capacity, world) {
    Object.assign(this, { models, capacity, world });
    this.bookings = new Map();
    this.next = 1;
  }

  async open(upAtStart) {
    this.server = await serve((request, reply) => this.handle(request, reply));
    this.address = this.server.address;
    for (const flavor of this.models)
      for (let n = 0; n < upAtStart; n++) this.add(flavor, flavor.halls[0], false, true);
  }

  close() {
    this.server?.close();
    for (const worker of this.world.workers.values()) worker.kill();
  }

  handle({ method, path, query, body }, reply) {
    if (method === 'GET' && path === '/flavors') return reply(200, { models: this.models });
    if (method === 'POST' && path === '/hosts') return this.rent(unpack(body), reply);
    if (method === 'POST' && path === '/hosts/delete') {
      for (const name of unpack(body).berths) {
        const worker = this.world.workers.get(name);
        if (worker === undefined || worker.deletedAt !== null) continue;
        this.world.record('deleted', { machine: name });
        worker.deletedAt = performance.now();
        worker.kill();
      }
      return reply(200);
    }
    if (method === 'GET' && path === '/hosts') return this.list(query, reply);
    return reply(400);
  }

  /** The list lags; a machine that died shows as running for 30 s more, then as failed until it is deleted. */
  list(query, reply) {
    const since = query.get('since') ?? '';
    const page = Math.min(500, Number(query.get('page') ?? 500));
    const then = performance.now() - this.world.settings.listLagS * 1000;
    const listed = [...this.world.workers.values()].filter(
      ({ name, bookedAt, deletedAt }) =>
        name > since && bookedAt <= then && (deletedAt === null || deletedAt > then),
    );
    const stageOf = ({ upAt, diedAt }) => {
      if (diedAt !== null && diedAt + DEAD_SHOWN_MS <= then) return 'failed';
      return upAt !== null && upAt <= then ? 'running' : 'booting';
    };
    const berths = listed.slice(0, page).map((worker) => ({
      ref: worker.name,
      address: worker.lastAddress,
      model: worker.model.sku,
      hall: worker.hall,
      loaners: worker.loaners,
      stage: stageOf(worker),
      age_s: (then - worker.bookedAt) / 1000,
    }));
    reply(200, { berths, more: listed.length > page });
  }

  rent({ booking, model, hall, loaners, count }, reply) {
    const earlier = this.bookings.get(booking);
    if (earlier !== undefined) return reply(200, { berths: earlier });
    const flavor = this.models.find(({ sku }) => sku === model);
    if (flavor === undefined || !flavor.halls.includes(hall)) return reply(400);
    const present = [...this.world.workers.values()].filter(
      (worker) => worker.alive && worker.model === flavor && worker.hall === hall,
    ).length;
    const granted = Math.min(count, 50, this.capacity - present);
    if (granted <= 0) return reply(503, { error: 'no capacity' });
    const berths = Array.from({ length: granted }, () => this.add(flavor, hall, loaners));
    this.bookings.set(booking, berths);
    return reply(200, { berths });
  }

  /** `up`: it was rented long ago, and is up. */
  add(flavor, hall, loaners, up = false) {
    const name = `m-${String(this.next++).padStart(6, '0')}`;
    const worker = new Worker(name, flavor, hall, loaners, this.world);
    this.world.workers.set(name, worker);
    if (up) {
      worker.bookedAt -= 20_000;
      void worker.boot();
      worker.upAt = worker.bookedAt;
    }
    this.world.record(up ? 'up at the start' : 'rented', { machine: name, model: flavor.sku, hall });
    if (!up)
      setTimeout(() => {
        if (worker.alive) void worker.boot();
      }, BOOT_MS);
    return name;
  }
}
