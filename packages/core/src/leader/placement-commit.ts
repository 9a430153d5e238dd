/** Carries out the steps of a plan, after validating them against the current cluster state. */
import type { ActiveJob, Machine } from '../cluster/cluster-model.js';
import type { QuotaUsage } from '../cluster/fair-share.js';
import {
  type Amounts,
  fits,
  isPlacementAllowed,
  maxTasksPerZone,
  subtractFrom,
} from '../domain/resources.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { PlanStep } from '../scheduling/plan-input.js';
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';

/** Steps of a plan by job, in planned order. */
export type StepsByJob = ReadonlyMap<ActiveJob, readonly PlanStep[]>;

/** Starts attempts for the steps of a plan that are still valid. */
export class PlacementCommit {
  constructor(
    private readonly term: LeaderTerm,
    private readonly attempts: Pick<AttemptLifecycle, 'startTasks'>,
  ) {}

  /** Starts the steps that are due. The cluster may have changed between slices of the plan, so each step is validated. */
  startAll(stepsByJob: StepsByJob, planNow: number): void {
    const usage = this.term.cluster.usage();
    for (const [job, steps] of stepsByJob) this.start(job, steps, planNow, usage);
  }

  private start(job: ActiveJob, steps: readonly PlanStep[], planNow: number, usage: QuotaUsage): void {
    if (!this.term.cluster.isStartable(job)) return;
    const startsNow = steps.filter((step) => step.start <= planNow && step.slot.machine !== null);
    if (startsNow.length === 0) return;
    if (job.spec.shape === 'gang' && startsNow.length !== steps.length) return;
    const team = this.term.context.settings.teams.find(({ name }) => name === job.spec.team);
    const chosen = this.machinesFor(job, startsNow).slice(0, usage.remainingTasks(job.spec, team));
    if (chosen.length === 0) return;
    const indices = job.nextWaiting(chosen.length);
    if (job.spec.shape === 'gang' && indices.length !== job.spec.tasks) return;
    usage.add(job.spec, indices.length);
    this.attempts.startTasks(
      job,
      indices.map((index, position) => ({ index, machine: chosen[position]! })),
    );
  }

  /** Machines with enough free resources that satisfy the job's constraints, one entry per task. */
  private machinesFor(job: ActiveJob, steps: readonly PlanStep[]): Machine[] {
    const { spec } = job;
    const chosen: Machine[] = [];
    const free = new Map<Machine, Amounts>();
    const zones = job.tasksByZone();
    const zoneAllows = (zone: string): boolean => {
      if (spec.sameZone && [...zones.keys()].some((other) => other !== zone)) return false;
      return !spec.spreadAcrossZones || (zones.get(zone) ?? 0) < maxTasksPerZone(spec);
    };
    for (const step of steps) {
      const machine = this.term.cluster.machines.get(step.slot.machine!);
      const type = this.term.context.machineTypes.get(step.slot.type.name);
      if (machine === undefined || type === undefined || !machine.isUsable()) continue;
      if (!isPlacementAllowed(spec, machine.type, machine.zone, machine.spot)) continue;
      const room = free.get(machine) ?? machine.freeOf(type);
      free.set(machine, room);
      for (let placed = 0; placed < step.count && fits(spec, room) && zoneAllows(machine.zone); placed++) {
        zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
        subtractFrom(room, spec);
        chosen.push(machine);
      }
    }
    return chosen;
  }
}
