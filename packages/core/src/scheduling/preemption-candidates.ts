/** Finds attempts that may be preempted for work of higher priority or within a team's guarantee. */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { mayPreempt, type PreemptionPolicy } from '../cluster/preemption-policy.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { addTo, type Amounts, fits, isPlacementAllowed, subtractFrom } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import { taskKind } from './task-kind.js';

/** Minimum run time before an attempt is stopped: a start followed by a stop within half a minute achieves nothing. */
export const MIN_RUN_BEFORE_STOP: Micros = 35 * SECOND;

/** Attempts to stop, and the machines on which all tasks fit afterwards. */
export interface PreemptionChoice {
  /** Attempts to stop. */
  readonly victims: readonly TaskAttempt[];
  /** Names of the machines. */
  readonly machines: ReadonlySet<string>;
}

/** Capacity for one task on a machine, after some attempts are stopped. */
interface PreemptionCandidate {
  readonly machine: Machine;
  /** Attempts to stop for this task, in addition to those of the machine's earlier candidates. */
  readonly victims: readonly TaskAttempt[];
  /** Number of victims, but at least the cost of the machine's earlier candidates, which this one depends on. */
  readonly cost: number;
}

/** Whether the attempt is running and, if stopped, loses no more than its progress since the last checkpoint. */
export const isRunningWithCheckpoints = ({ job, state, stopping, runningAt }: TaskAttempt): boolean =>
  stopping === null &&
  state === 'running' &&
  runningAt !== null &&
  job.spec.shape === 'array' &&
  job.spec.checkpointIntervalUs > 0;

/** Removes attempts from the front of `stoppable` until the task fits, and adds their capacity to `free`. */
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
 * Attempts that one plan may preempt. The machines are scanned once for each kind of task; jobs take candidates from the
 * result in their order. Only attempts that can save their progress are stopped, and each job takes the candidates with
 * the fewest victims.
 */
export class PreemptionCandidates {
  /** Candidate lists by kind of task, then by zone. */
  private readonly listsByKind = new Map<string, Map<string, PreemptionCandidate[]>>();
  private readonly takenMachines = new Set<Machine>();

  constructor(
    private readonly machines: readonly Machine[],
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly policy: PreemptionPolicy,
    /** Whether stopping the attempt doesn't endanger the objectives of its own job. */
    private readonly isExpendable: (attempt: TaskAttempt) => boolean,
  ) {}

  /** The cheapest choice of victims so that all `count` tasks fit, or null. Its machines are then unavailable to others. */
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

  /** Up to `count` candidates on machines that no other job has taken. */
  private firstAvailable(list: readonly PreemptionCandidate[], count: number): PreemptionCandidate[] {
    const available: PreemptionCandidate[] = [];
    for (const candidate of list) {
      if (available.length >= count) break;
      if (!this.takenMachines.has(candidate.machine)) available.push(candidate);
    }
    return available;
  }

  /** Candidates sorted by cost: one list for each zone if the job must stay in one zone, otherwise a single list. */
  private candidatesFor(job: ActiveJob): Map<string, PreemptionCandidate[]> {
    const key = this.candidateKey(job);
    let byZone = this.listsByKind.get(key);
    if (byZone !== undefined) return byZone;
    byZone = new Map<string, PreemptionCandidate[]>();
    this.listsByKind.set(key, byZone);
    const { spec } = job;
    for (const machine of this.machines) {
      const { type: typeName, zone, spot } = machine;
      const type = this.types.get(typeName);
      if (type === undefined || !machine.isUsable() || !isPlacementAllowed(spec, typeName, zone, spot))
        continue;
      if (!fits(spec, type)) continue;
      const zoneKey = spec.sameZone ? zone : '';
      const list = byZone.get(zoneKey) ?? [];
      byZone.set(zoneKey, list);
      this.addCandidates(job, machine, type, list);
    }
    for (const list of byZone.values()) list.sort((one, other) => one.cost - other.cost);
    return byZone;
  }

  /** Cache key: equal for jobs whose tasks have the same candidates. */
  private candidateKey(job: ActiveJob): string {
    const { spec, priority } = job;
    const { team, sameZone } = spec;
    return [team, priority, this.policy.isGuaranteed(job), sameZone, taskKind(spec)].join('|');
  }

  /** Adds a candidate for each task of the job that fits on the machine; the youngest attempts are stopped first. */
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
      subtractFrom(free, spec);
      cost = Math.max(cost, victims.length);
      list.push({ machine, victims, cost });
    }
  }
}
