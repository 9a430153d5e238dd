/** Emptying rented machines that hold little, so that they can be returned. */
import type { TaskAttempt, Machine } from '../cluster/cluster-model.js';
import type { NodeContext } from '../node/node-context.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import { SECOND, type Micros } from '../domain/time.js';
import { fits, placeAllowed } from '../domain/resources.js';

export class Defragmentation {
  private readonly ctx: NodeContext;

  constructor(
    private readonly estate: ClusterState,
    private readonly stopAttempt: (a: TaskAttempt, graceUs: Micros) => void,
    private readonly retireWhenEmpty: (m: Machine, reason: string, latest: Micros) => void,
  ) {
    this.ctx = estate.ctx;
  }

  /**
   * Moves the last tasks of a rented machine that is mostly empty to where there is room, so that it can
   * be returned. Only tasks that save, have run a while and still have a while to go.
   */
  consolidate(): void {
    const { now } = this.ctx;
    for (const j of this.estate.jobs.values()) if (this.estate.isStartable(j)) return;
    for (const m of this.estate.machines.values()) if (m.retirementReason === 'consolidated') return;
    let best: { m: Machine; share: number } | null = null;
    for (const m of this.estate.machines.values()) {
      const type = this.ctx.types.get(m.type);
      if (type === undefined || m.preprovisioned || !m.isUsable() || m.attempts.size === 0) continue;
      const free = m.freeOf(type);
      const share = 1 - (type.gpus > 0 ? free.gpus / type.gpus : free.cores / type.cores);
      if (share > 0.5 || (best !== null && share >= best.share)) continue;
      const movable = [...m.attempts.values()].every(
        (a) =>
          a.state === 'running' &&
          a.stopping === null &&
          a.runningAt !== null &&
          now - a.runningAt > 35 * SECOND &&
          a.job.spec.shape === 'array' &&
          a.job.spec.checkpointIntervalUs > 0,
      );
      const longest = Math.max(...[...m.attempts.values()].map((a) => this.estate.remainingRunTime(a)));
      if (movable && longest > 30 * SECOND && this.fitsElsewhere(m)) best = { m, share };
    }
    if (best === null) return;
    const { m } = best;
    this.ctx.info('machine.defragmented', { machine: m.name, tasks: m.attempts.size });
    m.retirementReason = 'consolidated';
    for (const a of [...m.attempts.values()]) this.stopAttempt(a, a.job.spec.checkpointDurationUs + SECOND);
    this.retireWhenEmpty(m, 'consolidated', now + 20 * SECOND);
  }

  /** Whether everything on a machine has room on fuller ones. */
  private fitsElsewhere(m: Machine): boolean {
    const rooms: { machine: Machine; free: ReturnType<Machine['freeOf']> }[] = [];
    for (const o of this.estate.machines.values()) {
      const type = this.ctx.types.get(o.type);
      if (o === m || type === undefined || !o.isUsable() || o.attempts.size < m.attempts.size) continue;
      rooms.push({ machine: o, free: o.freeOf(type) });
    }
    for (const a of m.attempts.values()) {
      const { spec } = a.job;
      const r = rooms.find(
        (x) => placeAllowed(spec, x.machine.type, x.machine.zone, x.machine.spot) && fits(spec, x.free),
      );
      if (r === undefined) return false;
      r.free.cores -= spec.cores;
      r.free.gpus -= spec.gpus;
      r.free.memoryGb -= spec.memoryGb;
    }
    return true;
  }
}
