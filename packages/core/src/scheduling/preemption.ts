/** Room for work of higher priority, or for a team's guarantee, from what may be stopped for it. */
import type { TaskAttempt, Machine, ActiveJob } from '../cluster/cluster-model.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';
import { mayPreempt, type PreemptionPolicy } from '../cluster/preemption-policy.js';
import { addTo, fits, placeAllowed, takeFrom } from '../domain/resources.js';

/** A start followed by a stop within half a minute was worth nothing: younger attempts are left alone. */
export const SETTLED: Micros = 35 * SECOND;

/** What to stop, and the machines on which all tasks then fit. */
export interface Clearing {
  readonly victims: readonly TaskAttempt[];
  readonly machines: ReadonlySet<string>;
}

interface Place {
  readonly machine: Machine;
  /** To stop for this place, beside what the machine's earlier places stop. */
  readonly victims: readonly TaskAttempt[];
  /** Never less than that of the machine's earlier places, which it builds on. */
  readonly cost: number;
}

/**
 * What one plan may clear. The machines are gone through once for each kind of task; jobs take from that in
 * their order. Only attempts that can save their progress are taken, and tasks go where the fewest need to
 * be stopped for them.
 */
export class Clearings {
  private readonly lists = new Map<string, Map<string, Place[]>>();
  private readonly taken = new Set<Machine>();

  constructor(
    private readonly machines: readonly Machine[],
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly rights: PreemptionPolicy,
    /** Whether stopping it costs nothing that its own aims need. */
    private readonly spare: (a: TaskAttempt) => boolean,
  ) {}

  private stoppable(a: TaskAttempt): boolean {
    return (
      a.stopping === null &&
      a.state === 'running' &&
      a.runningAt !== null &&
      a.job.spec.shape === 'array' &&
      a.job.spec.checkpointIntervalUs > 0 &&
      this.spare(a)
    );
  }

  /** Places by zone (or all in one list, for jobs that may spread), cheapest first. */
  private places(job: ActiveJob): Map<string, Place[]> {
    const { spec } = job;
    const key = [
      spec.team,
      job.priority,
      this.rights.isGuaranteed(job),
      spec.cores,
      spec.gpus,
      spec.memoryGb,
      spec.machineTypes?.join('+') ?? '*',
      spec.zone ?? '*',
      spec.spot,
      spec.sameZone,
    ].join('|');
    let byZone = this.lists.get(key);
    if (byZone !== undefined) return byZone;
    byZone = new Map();
    this.lists.set(key, byZone);
    for (const m of this.machines) {
      const type = this.types.get(m.type);
      if (type === undefined || !m.isUsable() || !placeAllowed(spec, m.type, m.zone, m.spot)) continue;
      if (!fits(spec, type)) continue;
      const free = m.freeOf(type);
      for (const a of m.attempts.values()) if (a.stopping !== null) addTo(free, a.job.spec);
      const open = [...m.attempts.values()]
        .filter((a) => this.stoppable(a) && mayPreempt(job, a, this.rights))
        .sort((a, b) => b.runningAt! - a.runningAt!);
      const zone = spec.sameZone ? m.zone : '';
      const list = byZone.get(zone) ?? [];
      byZone.set(zone, list);
      let cost = 0;
      for (;;) {
        const victims: TaskAttempt[] = [];
        while (!fits(spec, free) && open.length > 0) {
          const v = open.shift()!;
          victims.push(v);
          addTo(free, v.job.spec);
        }
        if (!fits(spec, free)) break;
        takeFrom(free, spec);
        cost = Math.max(cost, victims.length);
        list.push({ machine: m, victims, cost });
      }
    }
    for (const list of byZone.values()) list.sort((a, b) => a.cost - b.cost);
    return byZone;
  }

  /** The fewest attempts to stop so that all `count` tasks of the job fit, or null. */
  take(job: ActiveJob, count: number): Clearing | null {
    let best: Clearing | null = null;
    let chosen: readonly Place[] = [];
    for (const all of this.places(job).values()) {
      const places: Place[] = [];
      for (const p of all) {
        if (places.length >= count) break;
        if (!this.taken.has(p.machine)) places.push(p);
      }
      if (places.length < count) continue;
      const victims = places.flatMap((p) => p.victims);
      if (best !== null && victims.length >= best.victims.length) continue;
      best = { victims, machines: new Set(places.map((p) => p.machine.name)) };
      chosen = places;
    }
    for (const p of chosen) this.taken.add(p.machine);
    return best;
  }
}
