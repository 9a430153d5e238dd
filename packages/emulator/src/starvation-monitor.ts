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
    const { simulation } = this;
    const stage = simulation.stageOf(id);
    if (
      stage === undefined ||
      stage === 'done' ||
      stage === 'cancelled' ||
      simulation.users.cancelRequested.has(id)
    )
      return false;
    if (
      simulation.work.isDone(id) ||
      spec.dependsOn.some((dependency) => !simulation.work.isDone(dependency))
    )
      return false;
    const zones = new Map<string, number>();
    const placed = new Set<number>();
    for (const worker of simulation.workers.values())
      if (worker.alive)
        for (const task of worker.tasks)
          if (task.job === id && task.state !== 'exited') {
            placed.add(task.index);
            zones.set(worker.zone, (zones.get(worker.zone) ?? 0) + 1);
          }
    const done = simulation.work.completed.get(id) ?? new Set<number>();
    let waiting = 0;
    for (let i = 0; i < spec.tasks; i++) if (!placed.has(i) && !done.has(i)) waiting++;
    const isGang = spec.shape === 'gang';
    if (waiting === 0 || (isGang && placed.size > 0)) return false;
    const needed = isGang ? spec.tasks : 1;
    if (this.usedCoresOf(spec.team) + needed * spec.cores > this.teamCores) return false;
    const roomByZone = new Map<string, number>();
    for (const [worker, cores] of free) {
      if ((spec.zone !== null && spec.zone !== worker.zone) || (worker.spot && !spec.spot)) continue;
      if (spec.sameZone && [...zones.keys()].some((z) => z !== worker.zone)) continue;
      if (spec.spreadAcrossZones && (zones.get(worker.zone) ?? 0) >= Math.ceil(spec.tasks / 2)) continue;
      roomByZone.set(worker.zone, (roomByZone.get(worker.zone) ?? 0) + Math.floor(cores / spec.cores));
    }
    if (!isGang) return [...roomByZone.values()].some((n) => n > 0);
    // Gangs that spread across zones aren't checked: no history has any.
    if (spec.spreadAcrossZones) return false;
    return spec.sameZone
      ? [...roomByZone.values()].some((n) => n >= needed)
      : [...roomByZone.values()].reduce((a, b) => a + b, 0) >= needed;
  }
}
