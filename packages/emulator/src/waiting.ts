/**
 * Jobs left waiting beside free room, judged from the world's own truth: a task that has not completed and is nowhere, while a
 * machine that fits is well and has room, and the team is under its limit.
 */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';

import type { ClusterSimulation } from './cluster-simulation.js';
import { TYPE } from './site.js';
import type { Worker } from './workers-model.js';

export class LeftWaiting {
  /** Since when each job has waited so without a break. */
  private readonly since = new Map<string, Micros>();
  /** The longest that each job waited so. */
  readonly longest = new Map<string, Micros>();

  constructor(
    private readonly w: ClusterSimulation,
    private readonly teamCores: number,
  ) {}

  /** To be called every few seconds once the troubles are over. */
  look(ids: readonly string[]): void {
    const { w } = this;
    const well = [...w.workers.values()].filter((x) => this.isWell(x));
    const free = new Map(well.map((x) => [x, this.freeOn(x)]));
    for (const id of ids) {
      const spec = w.work.specs.get(id);
      if (spec === undefined || !this.waits(id, spec, free)) {
        this.since.delete(id);
        continue;
      }
      const from = this.since.get(id) ?? w.now;
      this.since.set(id, from);
      this.longest.set(id, Math.max(this.longest.get(id) ?? 0, w.now - from));
    }
  }

  private isWell(x: Worker): boolean {
    const { now } = this.w;
    return (
      x.alive &&
      now >= x.upAt &&
      now >= x.cutUntil &&
      now >= x.deafUntil &&
      now >= x.muteUntil &&
      x.takenAt === null
    );
  }

  private freeOn(x: Worker): number {
    let free = TYPE.cores;
    for (const t of x.tasks) if (t.state !== 'exited') free -= this.w.work.specs.get(t.job)?.cores ?? 0;
    return free;
  }

  private used(team: string): number {
    let cores = 0;
    for (const x of this.w.workers.values())
      if (x.alive)
        for (const t of x.tasks) {
          const s = this.w.work.specs.get(t.job);
          if (t.state !== 'exited' && s?.team === team) cores += s.cores;
        }
    return cores;
  }

  private waits(id: string, spec: JobSpec, free: ReadonlyMap<Worker, number>): boolean {
    const { w } = this;
    const stage = w.stageOf(id);
    if (stage === undefined || stage === 'done' || stage === 'cancelled' || w.users.asked.has(id))
      return false;
    if (w.work.isDone(id) || spec.dependsOn.some((n) => !w.work.isDone(n))) return false;
    const zones = new Map<string, number>();
    const there = new Set<number>();
    for (const x of w.workers.values())
      if (x.alive)
        for (const t of x.tasks)
          if (t.job === id && t.state !== 'exited') {
            there.add(t.index);
            zones.set(x.zone, (zones.get(x.zone) ?? 0) + 1);
          }
    const done = w.work.completed.get(id) ?? new Set<number>();
    let waiting = 0;
    for (let i = 0; i < spec.tasks; i++) if (!there.has(i) && !done.has(i)) waiting++;
    const gang = spec.shape === 'gang';
    if (waiting === 0 || (gang && there.size > 0)) return false;
    const need = gang ? spec.tasks : 1;
    if (this.used(spec.team) + need * spec.cores > this.teamCores) return false;
    const places = new Map<string, number>();
    for (const [x, cores] of free) {
      if ((spec.zone !== null && spec.zone !== x.zone) || (x.spot && !spec.spot)) continue;
      if (spec.sameZone && [...zones.keys()].some((z) => z !== x.zone)) continue;
      if (spec.spreadAcrossZones && (zones.get(x.zone) ?? 0) >= Math.ceil(spec.tasks / 2)) continue;
      places.set(x.zone, (places.get(x.zone) ?? 0) + Math.floor(cores / spec.cores));
    }
    if (!gang) return [...places.values()].some((n) => n > 0);
    // A gang that spreads is not looked for: none is played.
    if (spec.spreadAcrossZones) return false;
    return spec.sameZone
      ? [...places.values()].some((n) => n >= need)
      : [...places.values()].reduce((a, b) => a + b, 0) >= need;
  }
}
