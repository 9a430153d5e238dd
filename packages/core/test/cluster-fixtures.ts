/** Small clusters for tests of plans: machines, groups of waiting tasks, and predicted run times. */
import type { ActiveJob, Machine, TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { attemptKey } from '@shaleyoke/core/cluster/task-attempt';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { SearchLimits } from '@shaleyoke/core/scheduling/placement-search';
import type { CapacityOffer, ClusterSnapshot, TaskGroup } from '@shaleyoke/core/scheduling/plan-input';
import { TYPE } from '@shaleyoke/emulator/site';

/** Limits that a search of a test never reaches. */
export const SEARCH_LIMITS: SearchLimits = { budgetUs: 1e12, width: 6, depth: 12, toleranceUs: SECOND };

/** A stopwatch for searches that take no time. */
export const stoppedClock = (): number => 0;

/** A machine type like the emulator's, with differences. */
export const typeOf = (name: string, overrides: Partial<MachineType> = {}): MachineType => ({
  ...TYPE,
  name,
  ...overrides,
});

/** An empty machine that is up, with differences. */
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

/** All tasks of a job as one group, with differences. */
export const groupOf = (spec: JobSpec, overrides: Partial<TaskGroup> = {}): TaskGroup => ({
  spec,
  count: spec.tasks,
  zones: new Map(),
  avoid: new Set(),
  checkpointedProgress: 0,
  scaleOutThreshold: 0,
  allowedDelay: 0,
  allowedMachines: null,
  reserve: false,
  hypothetical: false,
  runTimes: new Map(),
  costPenalties: new Map(),
  ...overrides,
});

/** A snapshot at time 0; `runSeconds` are run times by machine type, 10 where there is none. */
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
  predictor: { runTime: (_spec, type) => (runSeconds[type.name] ?? 10) * SECOND },
});

/** A running attempt of the job's task on the machine, with differences; neither knows of it yet. */
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

/** Puts a running attempt of the job's task on the machine. */
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
