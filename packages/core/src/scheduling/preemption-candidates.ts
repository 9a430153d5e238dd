/** Capacity for work of higher priority, or for a team's guarantee, from attempts that may be preempted for it. */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { mayPreempt, type PreemptionPolicy } from '../cluster/preemption-policy.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { addTo, type Amounts, fits, placeAllowed, takeFrom } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import { taskKind } from './plan-input.js';

/** A start followed by a stop within half a minute was worth nothing: younger attempts are left alone. */
export const MIN_RUN_BEFORE_STOP: Micros = 35 * SECOND;

/** What to stop, and the machines on which all tasks then fit. */
export interface PreemptionChoice {
  readonly victims: readonly TaskAttempt[];
  readonly machines: ReadonlySet<string>;
}

/** Capacity for one task on a machine. */
interface PreemptionCandidate {
  readonly machine: Machine;
  /** To stop for this task, beside what the machine's earlier candidates stop. */
  readonly victims: readonly TaskAttempt[];
  /** Number of victims; never less than that of the machine's earlier candidates, which it builds on. */
  readonly cost: number;
}

/** Whether the attempt runs and can be stopped without losing more than its progress since the last checkpoint. */
export const isRunningWithCheckpoints = ({ job, state, stopping, runningAt }: TaskAttempt): boolean =>
  stopping === null &&
  state === 'running' &&
  runningAt !== null &&
  job.spec.shape === 'array' &&
  job.spec.checkpointIntervalUs > 0;

/** Takes the fewest attempts off the front until the task fits; `free` grows by them. */
const takeVictims = (spec: JobSpec, free: Amounts, stoppable: TaskAttempt[]): TaskAttempt[] => {
  const victims: TaskAttempt[] = [];
  while (!fits(spec, free) && stoppable.length > 0) {
    const victim = stoppable.shift()!;
    victims.push(victim);
    addTo(free, victim.job.spec);
  }
  return victims;
};

/**
 * What one plan may preempt. The machines are gone through once for each kind of task; jobs take from that in their order.
 * Only attempts that can save their progress are taken, and tasks go where the fewest need to be stopped for them.
 */
export class PreemptionCandidates {
  /** By kind of task, then by zone. */
  private readonly listsByKind = new Map<string, Map<string, PreemptionCandidate[]>>();
  private readonly takenMachines = new Set<Machine>();

  constructor(
    private readonly machines: readonly Machine[],
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly policy: PreemptionPolicy,
    /** Whether stopping it costs nothing that its own objectives need. */
    private readonly isExpendable: (attempt: TaskAttempt) => boolean,
  ) {}

  /** The fewest attempts to stop so that all `count` tasks of the job fit, or null. Their machines are taken then. */
  take(job: ActiveJob, count: number): PreemptionChoice | null {
    let best: PreemptionChoice | null = null;
    let chosen: readonly PreemptionCandidate[] = [];
    for (const list of this.candidatesFor(job).values()) {
      const candidates = this.firstAvailable(list, count);
      if (candidates.length < count) continue;
      const victims = candidates.flatMap((candidate) => candidate.victims);
      if (best !== null && victims.length >= best.victims.length) continue;
      best = { victims, machines: new Set(candidates.map((candidate) => candidate.machine.name)) };
      chosen = candidates;
    }
    for (const { machine } of chosen) this.takenMachines.add(machine);
    return best;
  }

  /** Up to `count` candidates on machines that no other job took. */
  private firstAvailable(list: readonly PreemptionCandidate[], count: number): PreemptionCandidate[] {
    const available: PreemptionCandidate[] = [];
    for (const candidate of list) {
      if (available.length >= count) break;
      if (!this.takenMachines.has(candidate.machine)) available.push(candidate);
    }
    return available;
  }

  /** Candidates by zone (or all in one list, for jobs that may spread), cheapest first. */
  private candidatesFor(job: ActiveJob): Map<string, PreemptionCandidate[]> {
    const key = this.kindOf(job);
    let byZone = this.listsByKind.get(key);
    if (byZone !== undefined) return byZone;
    byZone = new Map<string, PreemptionCandidate[]>();
    this.listsByKind.set(key, byZone);
    const { spec } = job;
    for (const machine of this.machines) {
      const { type: typeName, zone, spot } = machine;
      const type = this.types.get(typeName);
      if (type === undefined || !machine.isUsable() || !placeAllowed(spec, typeName, zone, spot)) continue;
      if (!fits(spec, type)) continue;
      const zoneKey = spec.sameZone ? zone : '';
      const list = byZone.get(zoneKey) ?? [];
      byZone.set(zoneKey, list);
      this.addCandidates(job, machine, type, list);
    }
    for (const list of byZone.values()) list.sort((one, other) => one.cost - other.cost);
    return byZone;
  }

  /** Equal for jobs whose tasks have the same candidates. */
  private kindOf(job: ActiveJob): string {
    const { spec, priority } = job;
    const { team, sameZone } = spec;
    return [team, priority, this.policy.isGuaranteed(job), sameZone, taskKind(spec)].join('|');
  }

  /** Adds a candidate for each task of the job that the machine can take, the youngest attempts stopped first. */
  private addCandidates(
    job: ActiveJob,
    machine: Machine,
    type: MachineType,
    list: PreemptionCandidate[],
  ): void {
    const { spec } = job;
    const attempts = [...machine.attempts.values()];
    const free = machine.freeOf(type);
    for (const attempt of attempts) if (attempt.stopping !== null) addTo(free, attempt.job.spec);
    const stoppable = attempts
      .filter(
        (attempt) =>
          isRunningWithCheckpoints(attempt) &&
          this.isExpendable(attempt) &&
          mayPreempt(job, attempt, this.policy),
      )
      .sort((one, other) => other.runningAt! - one.runningAt!);
    let cost = 0;
    for (;;) {
      const victims = takeVictims(spec, free, stoppable);
      if (!fits(spec, free)) break;
      takeFrom(free, spec);
      cost = Math.max(cost, victims.length);
      list.push({ machine, victims, cost });
    }
  }
}
