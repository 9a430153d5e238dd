/** For operators, in the log: where room is, and who waits for it. */
import type { Term } from '../leadership/leader-term.js';

interface PoolSummary {
  up: number;
  booting: number;
  /** Free amounts. */
  cores: number;
  gpus: number;
  tasks: number;
}

const poolsOf = ({ ctx, estate }: Term): Record<string, PoolSummary> => {
  const pools: Record<string, PoolSummary> = {};
  for (const machine of estate.machines.values()) {
    const key = `${machine.type}/${machine.zone}${machine.spot ? '/spot' : ''}`;
    const pool = (pools[key] ??= { up: 0, booting: 0, cores: 0, gpus: 0, tasks: 0 });
    const type = ctx.types.get(machine.type);
    if (type === undefined) continue;
    if (!machine.up) {
      pool.booting++;
      continue;
    }
    pool.up++;
    const free = machine.freeOf(type);
    pool.cores += Math.round(free.cores);
    pool.gpus += Math.round(free.gpus);
    pool.tasks += machine.attempts.size;
  }
  return pools;
};

const waitingOf = ({ estate }: Term): Record<string, { jobs: number; tasks: number }> => {
  const waiting: Record<string, { jobs: number; tasks: number }> = {};
  for (const job of estate.jobs.values()) {
    if (job.phase !== 'active' || job.held || job.waiting <= 0) continue;
    const sums = (waiting[job.spec.class] ??= { jobs: 0, tasks: 0 });
    sums.jobs++;
    sums.tasks += job.waiting;
  }
  return waiting;
};

export const logClusterSummary = (term: Term): void => {
  if (!term.ctx.verbose) return;
  term.ctx.debug('summary', { fleet: poolsOf(term), waiting: waitingOf(term) });
};
