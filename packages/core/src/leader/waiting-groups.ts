/** What waits, as groups of equal tasks in the order in which a plan looks at them. */
import { stagesAhead } from '../scheduling/look-ahead.js';
import type { Ordering } from '../scheduling/queue-order.js';
import { gpuKind, taskKind, type Group } from '../scheduling/plan-input.js';
import type { Overflow } from '../scheduling/placement-search.js';
import type { Dependencies } from '../jobs/dependencies.js';
import type { Fleet } from '../machines/autoscaler.js';
import type { Team } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import { HANDOVER } from '../cluster/cluster-state.js';
import type { Usage } from '../cluster/fair-share.js';
import type { Term } from '../leadership/leader-term.js';

/** Tasks of one job that a play-out represents. */
const MAX_REPRESENTED = 160;
/** Tasks of one job that a plan places beyond those that it represents. */
const MAX_OVERFLOW = 10_000;

export interface WaitingParts {
  readonly ordering: Ordering;
  readonly deps: Dependencies;
  readonly fleet: Pick<Fleet, 'mustStartAtOnce'>;
}

/** What one plan works on. */
export interface Waiting {
  /** Compared and placed, now or later. */
  readonly groups: readonly Group[];
  /** Placed behind them, where there is room now. */
  readonly overflow: Overflow;
  jobOf(group: Group): ActiveJob | undefined;
}

export class WaitingGroups {
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(
    private readonly term: Term,
    private readonly parts: WaitingParts,
  ) {
    this.teams = new Map(term.ctx.settings.teams.map((team) => [team.name, team]));
  }

  /** All that may start, within the limits of its teams. `urgentOnly`: what must start at once. */
  collect(urgentOnly: boolean): Waiting {
    const usage = this.term.estate.usage();
    const jobs = new Map<Group, ActiveJob>();
    const groups: Group[] = [];
    const beyond: ActiveJob[] = [];
    const order = this.parts.ordering.inOrder();
    const lowest = order.reduce((least, j) => Math.min(least, j.priority), 3);
    // Work with and without GPUs is limited apart: many waiting gangs must not keep arrays from the plan.
    const taken = [0, 0];
    for (const job of order) {
      if (urgentOnly && !this.parts.fleet.mustStartAtOnce(job.spec)) continue;
      const kind = gpuKind(job.spec);
      if (taken[kind]! >= this.term.ctx.settings.tuning.maxGroupsPerPlan) {
        beyond.push(job);
        continue;
      }
      const group = this.groupOf(job, usage, lowest, MAX_REPRESENTED);
      if (group === null) continue;
      jobs.set(group, job);
      groups.push(group);
      taken[kind]!++;
      if (job.spec.shape !== 'gang' && job.waiting > MAX_REPRESENTED) beyond.push(job);
    }
    const represented = new Map([...jobs].map(([group, job]) => [job, group.count]));
    return {
      groups,
      overflow: {
        kinds: [...new Map(beyond.map((job) => [taskKind(job.spec), job.spec])).values()],
        groups: this.overflow(beyond, represented, usage, lowest, jobs),
      },
      jobOf: (group) => jobs.get(group),
    };
  }

  /** Made one by one as they are asked for, which may be a moment later: what has changed meanwhile is passed over. */
  private *overflow(
    beyond: readonly ActiveJob[],
    represented: ReadonlyMap<ActiveJob, number>,
    usage: Usage,
    lowest: number,
    jobs: Map<Group, ActiveJob>,
  ): Generator<Group> {
    for (const job of beyond) {
      if (!this.term.estate.startable(job)) continue;
      const group = this.groupOf(job, usage, lowest, MAX_OVERFLOW, represented.get(job) ?? 0);
      if (group === null) continue;
      jobs.set(group, job);
      yield group;
    }
  }

  /** Up to `most` of the job's waiting tasks behind the first `behind` of them; null: none may start. */
  private groupOf(job: ActiveJob, usage: Usage, lowest: number, most: number, behind = 0): Group | null {
    const { ctx, estate } = this.term;
    const spec = job.priority === job.spec.priority ? job.spec : { ...job.spec, priority: job.priority };
    const room = usage.room(spec, this.teams.get(spec.team));
    const waiting = job.waiting - behind;
    const count = Math.min(waiting, room, spec.shape === 'gang' ? Infinity : most);
    if (count <= 0 || (spec.shape === 'gang' && count < spec.tasks)) return null;
    usage.add(spec, count);
    const promised = job.promisedUntil > ctx.now;
    return {
      spec,
      count,
      zones: job.zones(),
      avoid: new Set(job.failedOn.keys()),
      credit: job.credit.get(-1) ?? 0,
      margin: estate.marginOf(job),
      patience: estate.patienceOf(job),
      reserve: spec.priority > lowest || promised || this.parts.ordering.hasTurn(job),
      only: promised ? job.promisedOn : null,
      phantom: false,
      runs: new Map(),
      dear: new Map(),
    };
  }

  /** What the next stages will need while a machine could boot for them. */
  ahead(): Group[] {
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
      spec: { ...job.spec, shape: 'array', sameZone: false, spreadAcrossZones: false, priority: job.priority },
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
}
