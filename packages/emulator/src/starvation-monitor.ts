/**
 * Detects jobs that wait although they could run, from the state of the simulation rather than the controllers': a task is
 * neither completed nor on a machine, while a healthy machine that fits has room and the team is below its quota.
 */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';

import type { ClusterSimulation } from './cluster-simulation.js';
import { MACHINE_TYPE } from './site.js';
import type { Worker } from './workers-model.js';

/** Measures for how long jobs wait although they could run. */
export class StarvationMonitor {
  /** Since when each job has waited without interruption although it could run. */
  private readonly waitingSince = new Map<string, Micros>();
  /** The longest such wait of each job. */
  readonly longestWaits = new Map<string, Micros>();

  constructor(
    private readonly simulation: ClusterSimulation,
    private readonly teamCores: number,
  ) {}

  /** Updates the waits of these jobs; to be called every few seconds after the last fault. */
  observe(ids: readonly string[]): void {
    const { simulation } = this;
    const healthy = [...simulation.workers.values()].filter((worker) => this.isHealthy(worker));
    const free = new Map(healthy.map((worker) => [worker, this.freeCoresOf(worker)]));
    for (const id of ids) {
      const spec = simulation.work.specs.get(id);
      if (spec === undefined || !this.isLeftWaiting(id, spec, free)) {
        this.waitingSince.delete(id);
        continue;
      }
      const since = this.waitingSince.get(id) ?? simulation.now;
      this.waitingSince.set(id, since);
      this.longestWaits.set(id, Math.max(this.longestWaits.get(id) ?? 0, simulation.now - since));
    }
  }

  /** Whether the worker runs, communicates in both directions and isn't about to be taken back. */
  private isHealthy(worker: Worker): boolean {
    const { now } = this.simulation;
    return (
      worker.alive &&
      now >= worker.readyAt &&
      now >= worker.unreachableUntil &&
      now >= worker.receivesNothingUntil &&
      now >= worker.sendsNothingUntil &&
      worker.terminatesAt === null
    );
  }

  private freeCoresOf(worker: Worker): number {
    let free = MACHINE_TYPE.cores;
    for (const task of worker.tasks)
      if (task.state !== 'exited') free -= this.simulation.work.specs.get(task.job)?.cores ?? 0;
    return free;
  }

  private usedCoresOf(team: string): number {
    let cores = 0;
    for (const worker of this.simulation.workers.values())
      if (worker.alive)
        for (const task of worker.tasks) {
          const other = this.simulation.work.specs.get(task.job);
          if (task.state !== 'exited' && other?.team === team) cores += other.cores;
        }
    return cores;
  }

  private isLeftWaiting(id: string, spec: JobSpec, free: ReadonlyMap<Worker, number>): boolean {
    if (!this.mayRun(id, spec)) return false;
    const placed = this.placedTasks(id);
    const isGang = spec.shape === 'gang';
    if (this.waitingCount(id, spec, placed) === 0 || (isGang && placed.length > 0)) return false;
    const needed = isGang ? spec.tasks : 1;
    if (this.usedCoresOf(spec.team) + needed * spec.cores > this.teamCores) return false;
    const tasksByZone = countByZone(placed);
    const room = roomByZone(spec, tasksByZone, free);
    return isGang ? gangFits(spec, room) : room.some((tasks) => tasks > 0);
  }

  /** Whether the job has neither ended nor been cancelled, and all jobs that it depends on are done. */
  private mayRun(id: string, spec: JobSpec): boolean {
    const { simulation } = this;
    const stage = simulation.stageOf(id);
    if (stage === undefined || stage === 'done' || stage === 'cancelled') return false;
    if (simulation.users.cancelRequested.has(id) || simulation.work.isDone(id)) return false;
    return spec.dependsOn.every((dependency) => simulation.work.isDone(dependency));
  }

  private placedTasks(id: string): PlacedTask[] {
    const placed: PlacedTask[] = [];
    for (const worker of this.simulation.workers.values())
      if (worker.alive)
        for (const { job, index, state } of worker.tasks)
          if (job === id && state !== 'exited') placed.push({ index, zone: worker.zone });
    return placed;
  }

  private waitingCount(id: string, spec: JobSpec, placed: readonly PlacedTask[]): number {
    const started = new Set(placed.map(({ index }) => index));
    for (const index of this.simulation.work.completed.get(id) ?? []) started.add(index);
    return spec.tasks - started.size;
  }
}

/** A task that is on a machine. */
interface PlacedTask {
  readonly index: number;
  readonly zone: string;
}

const countByZone = (placed: readonly PlacedTask[]): ReadonlyMap<string, number> => {
  const tasks = new Map<string, number>();
  for (const { zone } of placed) tasks.set(zone, (tasks.get(zone) ?? 0) + 1);
  return tasks;
};

/** Number of further tasks of the job that fit, for each zone in which it may have some, given those that it has. */
const roomByZone = (
  spec: JobSpec,
  tasksByZone: ReadonlyMap<string, number>,
  free: ReadonlyMap<Worker, number>,
): number[] => {
  const room = new Map<string, number>();
  for (const [worker, cores] of free) {
    const { zone } = worker;
    if ((spec.zone !== null && spec.zone !== zone) || (worker.spot && !spec.spot)) continue;
    if (spec.sameZone && [...tasksByZone.keys()].some((other) => other !== zone)) continue;
    if (spec.spreadAcrossZones && (tasksByZone.get(zone) ?? 0) >= Math.ceil(spec.tasks / 2)) continue;
    room.set(zone, (room.get(zone) ?? 0) + Math.floor(cores / spec.cores));
  }
  return [...room.values()];
};

/** Whether a whole gang fits. Gangs that spread across zones aren't checked: no history has any. */
const gangFits = (spec: JobSpec, room: readonly number[]): boolean => {
  if (spec.spreadAcrossZones) return false;
  if (spec.sameZone) return room.some((tasks) => tasks >= spec.tasks);
  return room.reduce((sum, tasks) => sum + tasks, 0) >= spec.tasks;
};
