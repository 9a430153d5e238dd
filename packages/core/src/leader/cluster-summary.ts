/** Logs a summary of capacity and waiting work for operators. */
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Machines of the same type, zone and kind (spot or on-demand). */
interface PoolSummary {
  up: number;
  booting: number;
  /** Free cores; like `gpus`, over all machines that are up. */
  cores: number;
  gpus: number;
  tasks: number;
}

const summarizePools = ({ context, cluster }: LeaderTerm): Record<string, PoolSummary> => {
  const pools: Record<string, PoolSummary> = {};
  for (const machine of cluster.machines.values()) {
    const key = `${machine.type}/${machine.zone}${machine.spot ? '/spot' : ''}`;
    const pool = (pools[key] ??= { up: 0, booting: 0, cores: 0, gpus: 0, tasks: 0 });
    const type = context.machineTypes.get(machine.type);
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

const summarizeWaitingJobs = ({ cluster }: LeaderTerm): Record<string, { jobs: number; tasks: number }> => {
  const waiting: Record<string, { jobs: number; tasks: number }> = {};
  for (const job of cluster.jobs.values()) {
    if (job.phase !== 'active' || job.blockedOnDependencies || job.waitingCount <= 0) continue;
    const sums = (waiting[job.spec.class] ??= { jobs: 0, tasks: 0 });
    sums.jobs++;
    sums.tasks += job.waitingCount;
  }
  return waiting;
};

/** Logs the free capacity of each pool and the waiting work of each job class, if verbose logging is enabled. */
export const logClusterSummary = (term: LeaderTerm): void => {
  if (!term.context.verbose) return;
  term.context.debug('cluster.summarized', {
    fleet: summarizePools(term),
    waiting: summarizeWaitingJobs(term),
  });
};
