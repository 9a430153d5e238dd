/** Fixtures for planner tests: machine slots, task groups, cluster snapshots and running attempts. */
import type { ActiveJob, Machine, TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { attemptKey } from '@shaleyoke/core/cluster/task-attempt';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { SearchLimits } from '@shaleyoke/core/scheduling/placement-search';
import type { CapacityOffer, ClusterSnapshot, TaskGroup } from '@shaleyoke/core/scheduling/plan-input';
import { TotalCapacity } from '@shaleyoke/core/scheduling/total-capacity';
import { MACHINE_TYPE } from '@shaleyoke/emulator/site';

/** Search limits that no test reaches. */
export const SEARCH_LIMITS: SearchLimits = { budgetUs: 1e12, width: 6, depth: 12, toleranceUs: SECOND };

/** A clock that stands still, so that no search uses up its time budget. */
export const stoppedClock = (): number => 0;

/** The emulator's machine type under another name, with the given fields overridden. */
export const typeOf = (name: string, overrides: Partial<MachineType> = {}): MachineType => ({
  ...MACHINE_TYPE,
  name,
  ...overrides,
});

/** The slot of an empty machine that is up, with the given fields overridden. */
export const slotOf = (
  key: string,
  type: MachineType,
  overrides: Partial<MachineSlot> = {},
): MachineSlot => ({
  key,
  type,
  zone: 'a',
  spot: false,
  sunkCost: true,
  machine: key,
  readyAt: 0,
  free: { cores: type.cores, gpus: type.gpus, memoryGb: type.memoryGb },
  changes: [],
  images: new Set(),
  used: false,
  ...overrides,
});

/** One group with all tasks of a job, with the given fields overridden. */
export const groupOf = (spec: JobSpec, overrides: Partial<TaskGroup> = {}): TaskGroup => ({
  spec,
  count: spec.tasks,
  zones: new Map(),
  avoidedMachines: new Set(),
  checkpointedProgress: 0,
  scaleOutThreshold: 0,
  allowedDelay: 0,
  allowedMachines: null,
  reservesCapacity: false,
  hypothetical: false,
  runTimes: new Map(),
  relativePrices: new Map(),
  ...overrides,
});

const totalCapacityOf = (slots: readonly MachineSlot[], offers: readonly CapacityOffer[]): TotalCapacity => {
  const totalCapacity = new TotalCapacity();
  for (const slot of slots) totalCapacity.addSlot(slot);
  for (const offer of offers) totalCapacity.addOffer(offer);
  return totalCapacity;
};

/** A snapshot at time 0; `runSeconds` gives the predicted run time by machine type, 10 s for types not listed. */
export const snapshotOf = (
  slots: MachineSlot[],
  runSeconds: Record<string, number>,
  offers: CapacityOffer[] = [],
): ClusterSnapshot => ({
  now: 0,
  slots,
  offers,
  provisioned: new Map(),
  types: slots.map((slot) => slot.type),
  totalCapacity: totalCapacityOf(slots, offers),
  predictor: { runTime: (_spec, type) => (runSeconds[type.name] ?? 10) * SECOND },
});

/**
 * A running attempt of the job's task on the machine, with the given fields overridden. It is not yet registered with the
 * job or the machine.
 */
export const runningAttempt = (
  job: ActiveJob,
  index: number,
  machine: Machine,
  overrides: Partial<Pick<TaskAttempt, 'confirmed' | 'runningAt' | 'fencingToken'>> = {},
): TaskAttempt => ({
  job,
  index,
  number: 1,
  machine,
  agentEpoch: 1,
  state: 'running',
  fencingToken: 0,
  commandedAt: 0,
  runningAt: 0,
  startTimeKnown: true,
  confirmed: true,
  stopping: null,
  ...overrides,
});

/** Creates a running attempt of the job's task and registers it with the job and the machine. */
export const runTask = (
  job: ActiveJob,
  index: number,
  machine: Machine,
  overrides: Partial<Pick<TaskAttempt, 'confirmed' | 'runningAt'>> = {},
): void => {
  const attempt = runningAttempt(job, index, machine, overrides);
  job.liveAttempts.set(index, attempt);
  machine.attempts.set(attemptKey(job.id, index), attempt);
  machine.markChanged();
};
