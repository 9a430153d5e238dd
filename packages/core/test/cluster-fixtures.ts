/** Small pictures for tests of plans: machines, groups of waiting tasks, and what tasks are predicted to take. */
import type { Group, Picture, Rentable } from '@shaleyoke/core/scheduling/plan-input';
import {
  attemptKey,
  type ActiveJob,
  type Attempt,
  type Machine,
} from '@shaleyoke/core/cluster/cluster-model';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { Slot } from '@shaleyoke/core/cluster/machine-slot';
import { TYPE } from '@shaleyoke/emulator/site';

export const typeOf = (name: string, more: Partial<MachineType> = {}): MachineType => ({
  ...TYPE,
  name,
  ...more,
});

export const slotOf = (key: string, type: MachineType, more: Partial<Slot> = {}): Slot => ({
  key,
  type,
  zone: 'a',
  spot: false,
  sunk: true,
  machine: key,
  ready: 0,
  free: { cores: type.cores, gpus: type.gpus, memoryGb: type.memoryGb },
  changes: [],
  images: new Set(),
  used: false,
  ...more,
});

export const groupOf = (spec: JobSpec, more: Partial<Group> = {}): Group => ({
  spec,
  count: spec.tasks,
  zones: new Map(),
  avoid: new Set(),
  credit: 0,
  margin: 0,
  patience: 0,
  only: null,
  reserve: false,
  phantom: false,
  runs: new Map(),
  dear: new Map(),
  ...more,
});

/** Run times by machine type, in seconds. */
export const pictureOf = (
  slots: Slot[],
  run: Record<string, number>,
  rentable: Rentable[] = [],
): Picture => ({
  now: 0,
  slots,
  rentable,
  rented: new Map(),
  types: slots.map((s) => s.type),
  predictor: { runTime: (_spec, type) => (run[type.name] ?? 10) * SECOND },
});

/** A task of the job runs on the machine from now on. */
export const runTask = (job: ActiveJob, index: number, machine: Machine, proven = true): void => {
  const attempt: Attempt = {
    job,
    index,
    no: 1,
    machine,
    session: 1,
    state: 'running',
    token: 0,
    orderedAt: 0,
    runningAt: 0,
    timed: true,
    proven,
    stopping: null,
  };
  job.live.set(index, attempt);
  machine.attempts.set(attemptKey(job.id, index), attempt);
  machine.touch();
};
