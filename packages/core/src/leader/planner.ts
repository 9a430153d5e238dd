/** Plans: which waiting work begins where now, by a search over the newest picture; only that is done. */
import { stagesAhead } from '../decision/ahead.js';
import type { Attempts } from '../attempts/attempts.js';
import type { Group, Step } from '../decision/plan-input.js';
import type { Clearing } from '../decision/clearing.js';
import type { ActiveJob, Machine } from '../picture/cluster.js';
import type { Dependencies } from '../jobs/dependencies.js';
import { HANDOVER } from '../picture/estate.js';
import type { Fleet } from '../machines/fleet.js';
import type { Imaging } from '../decision/imaging.js';
import { MILLI, SECOND, type Micros } from '../model.js';
import type { Ordering } from '../decision/ordering.js';
import { fits, placeAllowed, takeFrom } from '../base/room.js';
import { search } from '../decision/search.js';
import type { Term } from '../office/term.js';

/** Tasks of one job that a play-out represents. */
const MAX_REPRESENTED = 160;
/** Plans pause for this many times what the last one took: users and workers must get through between. */
const PLAN_PAUSE = 6;
/** A new leader plans little while workers turn to it, until all but this share is known. */
const REBUILD_SHARE = 0.1;
const CHAINS_FRESH = 2 * SECOND;
/** Plans are put off no longer while this node is behind with its answers. */
const BEHIND_AT_MOST = 6 * SECOND;
/** Tasks of one service, and services that come together, are planned for together. */
const HURRY = 20 * MILLI;

export interface PlannerParts {
  readonly ordering: Ordering;
  readonly imaging: Imaging;
  readonly clearing: Clearing;
  readonly attempts: Attempts;
  readonly deps: Dependencies;
  readonly fleet: Fleet;
  /** Whether this node is late with its work. */
  behind(): boolean;
}

export class Planner {
  /** Machines that the last plan counts on. */
  needed: ReadonlySet<string> = new Set();
  private planning = false;
  private hurrying = false;
  /** Something changed while no plan could be made. */
  private again = false;
  private lastPlan: Micros = 0;
  /** Of all that waits. */
  private lastWhole: Micros = 0;
  /** What the last plan took: the next one waits a multiple of it, so that users' requests get through. */
  private planCost: Micros = 0;
  private chainsAt: Micros = 0;

  constructor(
    private readonly term: Term,
    private readonly parts: PlannerParts,
  ) {}

  /** A change came while a plan was under way, or none could be made yet. */
  get owes(): boolean {
    return this.again;
  }

  soon(): void {
    const { ctx } = this.term;
    if (this.planning || !this.term.ready || this.term.stopped) {
      this.again = true;
      return;
    }
    this.planning = true;
    // Events that come together are planned for together.
    const gap = Math.max(
      15 * MILLI,
      this.lastPlan + Math.max(80 * MILLI, PLAN_PAUSE * this.planCost) - ctx.now,
    );
    ctx.after(gap, () => {
      this.planning = false;
      this.again = false;
      if (!this.term.stopped) this.plan();
    });
  }

  /** Something came that must start at once: it does not wait for the pause after the last plan, which costs much more. */
  hurry(): void {
    if (this.hurrying) return;
    this.hurrying = true;
    this.term.after(HURRY, () => {
      this.hurrying = false;
      if (this.term.ready && this.term.mayStart() && this.term.ctx.types.size > 0) this.planOnce(true);
    });
  }

  private groups(few: boolean): { groups: Group[]; jobs: Map<Group, ActiveJob> } {
    const { ctx, estate } = this.term;
    const { ordering } = this.parts;
    const usage = estate.usage();
    const jobs = new Map<Group, ActiveJob>();
    const groups: Group[] = [];
    const order = ordering.inOrder();
    const lowest = order.reduce((least, j) => Math.min(least, j.priority), 3);
    // Work with and without GPUs is limited apart: many waiting gangs must not keep arrays from the plan.
    const taken = [0, 0];
    for (const job of order) {
      if (few && !this.parts.fleet.mustStartAtOnce(job.spec)) continue;
      const spec = job.priority === job.spec.priority ? job.spec : { ...job.spec, priority: job.priority };
      const kind = spec.gpus > 0 ? 1 : 0;
      if (taken[kind]! >= ctx.settings.tuning.searchGroups) continue;
      const team = ctx.settings.teams.find((t) => t.name === spec.team);
      const room = usage.room(spec, team);
      const want = Math.min(job.waiting, room, spec.shape === 'gang' ? Infinity : MAX_REPRESENTED);
      if (want <= 0 || (spec.shape === 'gang' && want < spec.tasks)) continue;
      usage.add(spec, want);
      const promised = job.promisedUntil > ctx.now;
      const group: Group = {
        spec,
        count: want,
        zones: job.zones(),
        avoid: new Set(job.failedOn.keys()),
        credit: job.credit.get(-1) ?? 0,
        margin: estate.marginOf(job),
        patience: estate.patienceOf(job),
        reserve: spec.priority > lowest || promised || ordering.hasTurn(job),
        only: promised ? job.promisedOn : null,
        phantom: false,
        runs: new Map(),
        dear: new Map(),
      };
      jobs.set(group, job);
      groups.push(group);
      taken[kind]!++;
    }
    return { groups, jobs };
  }

  /** What the next stages will need while a machine could boot for them. */
  private groupsAhead(): Group[] {
    const { deps } = this.parts;
    const { ctx, estate } = this.term;
    if (deps.heldCount === 0) return [];
    const { now } = ctx;
    let boot = 0;
    for (const t of ctx.types.values()) boot = Math.max(boot, t.bootUs);
    const endOf = (job: ActiveJob): Micros => {
      let left = job.waiting > 0 ? estate.expectedOf(job) : 0;
      for (const a of job.live.values()) left = Math.max(left, estate.remaining(a));
      return now + left + HANDOVER;
    };
    const ahead = stagesAhead(estate.jobs.values(), deps, (id) => estate.jobs.get(id), endOf, now + boot);
    return ahead.map(({ job, ready }) => ({
      spec: { ...job.spec, shape: 'array', sameZone: false, spread: false, priority: job.priority },
      count: Math.min(job.spec.tasks, MAX_REPRESENTED),
      zones: new Map(),
      avoid: new Set(),
      credit: 0,
      margin: estate.marginOf(job),
      patience: estate.patienceOf(job),
      only: null,
      reserve: false,
      phantom: true,
      notBefore: ready,
      runs: new Map(),
      dear: new Map(),
    }));
  }

  /**
   * A new leader rebuilds from reports first. Machines that have not reported to it are not in its picture: it
   * would rent for all that waits beside them, and did so at each change of leader, the dearest types too.
   */
  private rebuilding(): boolean {
    const { estate } = this.term;
    if (!this.term.accounting) return false;
    let all = 0;
    let unknown = 0;
    for (const m of estate.machines.values()) {
      if (m.recorded !== 'yes' || m.retiring !== null) continue;
      all++;
      if (m.unresolved) unknown++;
    }
    return unknown > REBUILD_SHARE * all;
  }

  private plan(): void {
    const { ctx } = this.term;
    if (ctx.types.size === 0) return;
    // Owed until the right comes back: a plan rents, and stops some for others. And answers to those who turn to a new
    // leader come before its first plans: on a sixth of a core the starts of these once held up hundreds of workers
    // until their leases ran out. Only the few that must start at once do, where there is room on what is known.
    // So do they later: each plan brings starts and their reports with it, and a node that is behind loses its workers.
    const behind = this.parts.behind() && ctx.now < this.lastWhole + BEHIND_AT_MOST;
    const few = this.rebuilding() || behind;
    if (!this.term.mayStart() || (few && !this.urgentWaits())) {
      this.again = true;
      return;
    }
    const began = ctx.stopwatch();
    this.planOnce(few);
    this.again ||= few;
    this.planCost = ctx.stopwatch() - began;
    this.lastPlan = ctx.now;
    if (!few) this.lastWhole = ctx.now;
  }

  private urgentWaits(): boolean {
    const { estate } = this.term;
    for (const job of estate.jobs.values())
      if (this.parts.fleet.mustStartAtOnce(job.spec) && estate.startable(job)) return true;
    return false;
  }

  /** `few`: only what must start at once, and nothing is stopped for it. */
  private planOnce(few: boolean): void {
    const { ctx } = this.term;
    const { deps, imaging, fleet, clearing } = this.parts;
    const t0 = ctx.stopwatch();
    // Predictions change with what is learned.
    deps.refresh(ctx.now - this.chainsAt > CHAINS_FRESH);
    if (ctx.now - this.chainsAt > CHAINS_FRESH) this.chainsAt = ctx.now;
    const { groups, jobs } = this.groups(few);
    const t1 = ctx.stopwatch();
    const { tuning } = ctx.settings;
    const decision = search(
      imaging.picture(fleet.rentable(), fleet.kinds()),
      few ? groups : [...groups, ...fleet.kept(), ...fleet.headroom(), ...this.groupsAhead()],
      {
        budgetUs: tuning.searchBudgetUs,
        width: tuning.searchWidth,
        depth: tuning.searchDepth,
        toleranceUs: tuning.searchToleranceUs,
      },
      ctx.stopwatch,
    );
    const t2 = ctx.stopwatch();
    const byJob = new Map<ActiveJob, Step[]>();
    for (const s of decision.steps) {
      const job = jobs.get(s.group);
      if (job === undefined) continue;
      const steps = byJob.get(job) ?? [];
      steps.push(s);
      byJob.set(job, steps);
    }
    for (const [job, steps] of byJob) this.act(job, steps);
    if (few) return;
    clearing.preempt(byJob);
    fleet.rentFor(decision);
    this.needed = new Set(
      decision.picture.slots.filter((s) => s.used && s.machine !== null).map((s) => s.machine!),
    );
    if (groups.length > 0)
      ctx.debug('plan', {
        groupsUs: t1 - t0,
        searchUs: t2 - t1,
        actUs: ctx.stopwatch() - t2,
        groups: groups.length,
        steps: decision.steps.length,
        searched: decision.searched,
        fellBack: decision.fellBack,
        looks: decision.looks,
      });
  }

  /** Starts what the plan starts now. Room, zone and kind are checked again against the newest picture. */
  private act(job: ActiveJob, steps: readonly Step[]): void {
    const { ctx, estate } = this.term;
    const { now } = ctx;
    if (job.held || job.barred !== null) return;
    const startsNow = steps.filter((s) => s.start <= now && s.slot.machine !== null);
    if (startsNow.length === 0) return;
    if (job.spec.shape === 'gang' && startsNow.length !== steps.length) return;
    const chosen: Machine[] = [];
    const free = new Map<Machine, ReturnType<Machine['freeOf']>>();
    const zones = job.zones();
    for (const s of startsNow) {
      const m = estate.machines.get(s.slot.machine!);
      const type = ctx.types.get(s.slot.type.name);
      if (m === undefined || type === undefined || !m.usable()) continue;
      if (!placeAllowed(job.spec, m.type, m.zone, m.spot)) continue;
      const room = free.get(m) ?? m.freeOf(type);
      free.set(m, room);
      for (let k = 0; k < s.count; k++) {
        if (!fits(job.spec, room)) break;
        if (job.spec.sameZone && [...zones.keys()].some((z) => z !== m.zone)) break;
        if (job.spec.spread && (zones.get(m.zone) ?? 0) >= Math.ceil(job.spec.tasks / 2)) break;
        zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
        takeFrom(room, job.spec);
        chosen.push(m);
      }
    }
    if (chosen.length === 0) return;
    const indices = job.takeWaiting(chosen.length);
    if (job.spec.shape === 'gang' && indices.length !== job.spec.tasks) return;
    this.parts.attempts.begin(
      job,
      indices.map((index, k) => ({ index, machine: chosen[k]! })),
    );
  }
}
