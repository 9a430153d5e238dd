/** Defragmentation: empties provisioned machines that hold little, so that they can be scaled in. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import type { MachineType } from '../domain/machine.js';
import { type Amounts, fits, placeAllowed, takeFrom } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { isRunningWithCheckpoints, MIN_RUN_BEFORE_STOP } from './preemption-candidates.js';

/** Retirement reason of a machine that is being emptied. */
const RETIREMENT_REASON = 'consolidated';
/** A machine of which more than this share is in use is left alone. */
const MAX_USED_SHARE = 0.5;
/** Tasks that end sooner than this are left to end. */
const MIN_REMAINING_RUN: Micros = 30 * SECOND;
/** The machine is scaled in by then, empty or not. */
const EMPTYING_TIME: Micros = 20 * SECOND;
/** Beyond its checkpoint, a stopped task has so much time to exit. */
const STOP_GRACE: Micros = SECOND;

interface FreeCapacity {
  readonly machine: Machine;
  readonly free: Amounts;
}

/** Share of the scarce unit of the machine that is in use. */
const usedShare = (machine: Machine, type: MachineType): number => {
  const free = machine.freeOf(type);
  return 1 - (type.gpus > 0 ? free.gpus / type.gpus : free.cores / type.cores);
};

/** Moves tasks off machines that are mostly empty. */
export class Defragmentation {
  private readonly context: NodeContext;

  constructor(
    private readonly cluster: ClusterState,
    private readonly stopAttempt: (attempt: TaskAttempt, graceUs: Micros) => void,
    private readonly retireWhenEmpty: (machine: Machine, reason: string, latest: Micros) => void,
  ) {
    this.context = cluster.context;
  }

  /**
   * Moves the last tasks of a provisioned machine that is mostly empty to where they fit, so that it can be scaled in.
   * Only tasks that checkpoint, have run a while and still have a while to go; only while no job waits, and one machine
   * at a time.
   */
  consolidate(): void {
    for (const job of this.cluster.jobs.values()) if (this.cluster.isStartable(job)) return;
    for (const machine of this.cluster.machines.values())
      if (machine.retirementReason === RETIREMENT_REASON) return;
    const machine = this.leastUsedMovable();
    if (machine === null) return;
    this.context.info('machine.defragmented', { machine: machine.name, tasks: machine.attempts.size });
    machine.retirementReason = RETIREMENT_REASON;
    for (const attempt of [...machine.attempts.values()])
      this.stopAttempt(attempt, attempt.job.spec.checkpointDurationUs + STOP_GRACE);
    this.retireWhenEmpty(machine, RETIREMENT_REASON, this.context.now + EMPTYING_TIME);
  }

  /** The machine with the smallest share in use whose tasks can all be moved; null: none. */
  private leastUsedMovable(): Machine | null {
    let best: { machine: Machine; share: number } | null = null;
    for (const machine of this.cluster.machines.values()) {
      const type = this.context.types.get(machine.type);
      if (type === undefined || machine.preprovisioned) continue;
      if (!machine.isUsable() || machine.attempts.size === 0) continue;
      const share = usedShare(machine, type);
      if (share > MAX_USED_SHARE || (best !== null && share >= best.share)) continue;
      if (this.isWorthMoving(machine) && this.fitsElsewhere(machine)) best = { machine, share };
    }
    return best?.machine ?? null;
  }

  private isWorthMoving(machine: Machine): boolean {
    const attempts = [...machine.attempts.values()];
    if (!attempts.every((attempt) => this.isMovable(attempt))) return false;
    const longest = Math.max(...attempts.map((attempt) => this.cluster.remainingRunTime(attempt)));
    return longest > MIN_REMAINING_RUN;
  }

  private isMovable(attempt: TaskAttempt): boolean {
    return isRunningWithCheckpoints(attempt) && this.context.now - attempt.runningAt! > MIN_RUN_BEFORE_STOP;
  }

  /** Whether everything on a machine fits on others with at least as many attempts. */
  private fitsElsewhere(source: Machine): boolean {
    const targets = this.targetsFor(source);
    for (const { job } of source.attempts.values()) {
      const { spec } = job;
      const target = targets.find(
        ({ machine, free }) =>
          placeAllowed(spec, machine.type, machine.zone, machine.spot) && fits(spec, free),
      );
      if (target === undefined) return false;
      takeFrom(target.free, spec);
    }
    return true;
  }

  private targetsFor(source: Machine): FreeCapacity[] {
    const targets: FreeCapacity[] = [];
    for (const machine of this.cluster.machines.values()) {
      const type = this.context.types.get(machine.type);
      if (machine === source || type === undefined) continue;
      if (!machine.isUsable() || machine.attempts.size < source.attempts.size) continue;
      targets.push({ machine, free: machine.freeOf(type) });
    }
    return targets;
  }
}
