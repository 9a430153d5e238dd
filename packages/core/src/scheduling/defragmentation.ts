/** Defragmentation: empties provisioned machines that are mostly idle, so that they can be scaled in. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import type { MachineType } from '../domain/machine.js';
import { type Amounts, fits, isPlacementAllowed, subtractFrom } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { isRunningWithCheckpoints, MIN_RUN_BEFORE_STOP } from './preemption-candidates.js';

/** Retirement reason of a machine that is being emptied by defragmentation. */
const RETIREMENT_REASON = 'consolidated';
/** Machines with more than this share of their capacity in use are not emptied. */
const MAX_USED_SHARE = 0.5;
/** A machine whose tasks all end sooner than this is not emptied. */
const MIN_REMAINING_RUN: Micros = 30 * SECOND;
/** Time after which the machine is scaled in even if it is not empty. */
const DRAIN_TIME: Micros = 20 * SECOND;
/** Time that a stopped task has to exit, in addition to its checkpoint duration. */
const STOP_GRACE: Micros = SECOND;

/** A machine that tasks can be moved to, with its remaining free capacity. */
interface MoveTarget {
  readonly machine: Machine;
  readonly free: Amounts;
}

/** Share of the machine's GPUs that is in use, or of its cores if it has no GPUs. */
const usedShare = (machine: Machine, type: MachineType): number => {
  const free = machine.freeOf(type);
  return 1 - (type.gpus > 0 ? free.gpus / type.gpus : free.cores / type.cores);
};

/** Moves tasks off machines that are mostly idle. */
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
   * Stops the tasks of a provisioned machine that is mostly idle, if they fit on other machines, and retires the machine.
   * Only tasks that checkpoint and have run for a while are moved, only if some of them has a while to go, only while no
   * job waits, and from one machine at a time.
   */
  consolidate(): void {
    for (const job of this.cluster.jobs.values()) if (this.cluster.isStartable(job)) return;
    for (const machine of this.cluster.machines.values())
      if (machine.retirementReason === RETIREMENT_REASON) return;
    const machine = this.leastUsedMovableMachine();
    if (machine === null) return;
    this.context.info('machine.defragmented', { machine: machine.name, tasks: machine.attempts.size });
    machine.retirementReason = RETIREMENT_REASON;
    for (const attempt of [...machine.attempts.values()])
      this.stopAttempt(attempt, attempt.job.spec.checkpointDurationUs + STOP_GRACE);
    this.retireWhenEmpty(machine, RETIREMENT_REASON, this.context.now + DRAIN_TIME);
  }

  /** The machine with the smallest share in use whose tasks can all be moved; null if there is none. */
  private leastUsedMovableMachine(): Machine | null {
    let best: { machine: Machine; share: number } | null = null;
    for (const machine of this.cluster.machines.values()) {
      const type = this.context.machineTypes.get(machine.type);
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

  /** Whether all tasks of the machine fit on other machines with at least as many attempts. */
  private fitsElsewhere(source: Machine): boolean {
    const targets = this.targetsFor(source);
    for (const { job } of source.attempts.values()) {
      const { spec } = job;
      const target = targets.find(
        ({ machine, free }) =>
          isPlacementAllowed(spec, machine.type, machine.zone, machine.spot) && fits(spec, free),
      );
      if (target === undefined) return false;
      subtractFrom(target.free, spec);
    }
    return true;
  }

  private targetsFor(source: Machine): MoveTarget[] {
    const targets: MoveTarget[] = [];
    for (const machine of this.cluster.machines.values()) {
      const type = this.context.machineTypes.get(machine.type);
      if (machine === source || type === undefined) continue;
      if (!machine.isUsable() || machine.attempts.size < source.attempts.size) continue;
      targets.push({ machine, free: machine.freeOf(type) });
    }
    return targets;
  }
}
