/** Small pictures for tests of plans: machines, groups of waiting tasks, and what tasks are predicted to take. */
import type { TaskGroup, ClusterSnapshot, CapacityOffer } from '@shaleyoke/core/scheduling/plan-input';
import type { ActiveJob, TaskAttempt, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { attemptKey } from '@shaleyoke/core/cluster/task-attempt';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { TYPE } from '@shaleyoke/emulator/site';

export const typeOf = (name: string, more: Partial<MachineType> = {}): MachineType => ({
  ...TYPE,
  name,
  ...more,
});

export const slotOf = (key: string, type: MachineType, more: Partial<MachineSlot> = {}): MachineSlot => ({
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
  ...more,
});

export const groupOf = (spec: JobSpec, more: Partial<TaskGroup> = {}): TaskGroup => ({
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
  ...more,
});

/** Run times by machine type, in seconds. */
export const pictureOf = (
  slots: MachineSlot[],
  run: Record<string, number>,
  offers: CapacityOffer[] = [],
): ClusterSnapshot => ({
  now: 0,
  slots,
  offers,
  rented: new Map(),
  types: slots.map((s) => s.type),
  predictor: { runTime: (_spec, type) => (run[type.name] ?? 10) * SECOND },
});

/** A task of the job runs on the machine from now on. */
export const runTask = (job: ActiveJob, index: number, machine: Machine, proven = true): void => {
  const attempt: TaskAttempt = {
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
    confirmed: proven,
    stopping: null,
  };
  job.liveAttempts.set(index, attempt);
  machine.attempts.set(attemptKey(job.id, index), attempt);
  machine.markChanged();
};
