/** Room for work of higher priority, or for a team's guarantee, from what may be stopped for it. */
import type { Attempt, Machine } from './cluster.js';
import type { ActiveJob } from './jobs.js';
import type { MachineType, Micros, Team } from './model.js';
import { SECOND } from './model.js';
import { addTo, fits, placeAllowed, takeFrom } from './room.js';

/** A start followed by a stop within half a minute was worth nothing: younger attempts are left alone. */
const SETTLED: Micros = 35 * SECOND;

/** What to stop, and the machines on which all tasks then fit. */
export interface Clearing {
  readonly victims: readonly Attempt[];
  readonly machines: ReadonlySet<string>;
}

export interface TeamUse {
  readonly cores: number;
  readonly gpus: number;
}

/** Whether a team uses more than it is guaranteed. */
const beyond = (team: Team | undefined, use: TeamUse | undefined): boolean =>
  team !== undefined && use !== undefined && (use.cores > team.cores + 1e-6 || use.gpus > team.gpus + 1e-6);

export interface Rights {
  readonly teams: readonly Team[];
  readonly use: ReadonlyMap<string, TeamUse>;
  /** Jobs that fit into their team's guarantee along with its earlier unfinished jobs. */
  readonly guaranteed: (job: ActiveJob) => boolean;
}

/** In every other case, work does not preempt work of the same or a higher priority. */
export const mayPreempt = (job: ActiveJob, victim: Attempt, rights: Rights): boolean => {
  const v = victim.job.spec;
  if (v.priority < job.spec.priority) return true;
  if (v.team === job.spec.team || !rights.guaranteed(job)) return false;
  return beyond(
    rights.teams.find((t) => t.name === v.team),
    rights.use.get(v.team),
  );
};

const stoppable = (a: Attempt, now: Micros): boolean =>
  a.stopping === null &&
  a.state === 'running' &&
  a.runningAt !== null &&
  now - a.runningAt >= SETTLED &&
  a.job.spec.shape === 'array' &&
  a.job.spec.checkpointUs > 0;

/**
 * The fewest attempts to stop so that all `count` tasks of the job fit, or null. Only attempts that can
 * save their progress are taken. Tasks go where the fewest need to be stopped for them.
 */
export const victimsFor = (
  job: ActiveJob,
  count: number,
  machines: Iterable<Machine>,
  types: ReadonlyMap<string, MachineType>,
  rights: Rights,
  now: Micros,
): Clearing | null => {
  const { spec } = job;
  const byZone = new Map<string, { machine: Machine; victims: Attempt[] }[]>();
  for (const m of machines) {
    const type = types.get(m.type);
    if (type === undefined || !m.usable() || !placeAllowed(spec, m.type, m.zone, m.spot)) continue;
    if (!fits(spec, type)) continue;
    const free = m.freeOf(type);
    for (const a of m.attempts.values()) if (a.stopping !== null) addTo(free, a.job.spec);
    const open = [...m.attempts.values()]
      .filter((a) => stoppable(a, now) && mayPreempt(job, a, rights))
      .sort((a, b) => b.runningAt! - a.runningAt!);
    const zone = spec.sameZone ? m.zone : '';
    const list = byZone.get(zone) ?? [];
    byZone.set(zone, list);
    for (let k = 0; k < count; k++) {
      const victims: Attempt[] = [];
      while (!fits(spec, free) && open.length > 0) {
        const v = open.shift()!;
        victims.push(v);
        addTo(free, v.job.spec);
      }
      if (!fits(spec, free)) break;
      takeFrom(free, spec);
      list.push({ machine: m, victims });
    }
  }
  let best: Clearing | null = null;
  for (const places of byZone.values()) {
    if (places.length < count) continue;
    places.sort((a, b) => a.victims.length - b.victims.length);
    const taken = places.slice(0, count);
    const victims = taken.flatMap((p) => p.victims);
    if (best === null || victims.length < best.victims.length)
      best = { victims, machines: new Set(taken.map((p) => p.machine.name)) };
  }
  return best;
};
