/**
 * Sums over machines and attempts that plans ask for: cores and GPUs in use by team, attempts by priority, and capacity by
 * kind of work. Updated incrementally as machines change, so that a query costs what changed and not what there is.
 */
import type { Priority } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import {
  coreCapacity,
  gpuCapacity,
  type KindCapacity,
  PRIORITIES,
  type PriorityUsage,
  scaled,
  type ScaledSums,
  UNIT,
} from './capacity-by-kind.js';
import type { Machine, MachineObserver } from './cluster-model.js';
import { QuotaUsage, type TeamUsage } from './fair-share.js';

interface TeamSums extends ScaledSums {
  attempts: number;
  confirmedCores: number;
  confirmedGpus: number;
}

/** Machines that are alike in all that capacity by kind of work depends on. */
interface MachineProfile {
  readonly type: string;
  readonly up: boolean;
  readonly usage: readonly PriorityUsage[];
  machines: number;
}

/** What one machine adds to the sums; kept to be subtracted again. */
interface Contribution {
  readonly teams: ReadonlyMap<string, TeamSums>;
  /** Attempts by priority. */
  readonly attempts: readonly number[];
  /** Key of its profile; null for a machine that is being scaled in. */
  readonly profile: string | null;
  readonly unverified: boolean;
  readonly preprovisioned: boolean;
}

const noTeamSums = (): TeamSums => ({
  cores: 0,
  gpus: 0,
  attempts: 0,
  confirmedCores: 0,
  confirmedGpus: 0,
});

const usageByPriority = (machine: Machine): PriorityUsage[] => {
  const usage = PRIORITIES.map(() => ({
    withGpus: { cores: 0, gpus: 0 },
    coresOnly: { cores: 0, gpus: 0 },
  }));
  for (const { job } of machine.attempts.values()) {
    const level = usage[job.priority]!;
    const sums = job.spec.gpus > 0 ? level.withGpus : level.coresOnly;
    sums.cores += scaled(job.spec.cores);
    sums.gpus += scaled(job.spec.gpus);
  }
  return usage;
};

const usageByTeam = (machine: Machine): Map<string, TeamSums> => {
  const teams = new Map<string, TeamSums>();
  for (const { job, confirmed } of machine.attempts.values()) {
    const { team, cores, gpus } = job.spec;
    const sums = teams.get(team) ?? noTeamSums();
    teams.set(team, sums);
    sums.attempts++;
    sums.cores += scaled(cores);
    sums.gpus += scaled(gpus);
    if (!confirmed) continue;
    sums.confirmedCores += scaled(cores);
    sums.confirmedGpus += scaled(gpus);
  }
  return teams;
};

const profileKey = (machine: Machine, usage: readonly PriorityUsage[]): string => {
  const levels = usage.map(
    ({ withGpus, coresOnly }) => `${withGpus.cores},${withGpus.gpus},${coresOnly.cores}`,
  );
  return `${machine.type}|${machine.up ? 'up' : 'down'}|${levels.join('|')}`;
};

const contributionOf = (machine: Machine, profile: string | null): Contribution => {
  const attempts = PRIORITIES.map(() => 0);
  let anyUnconfirmed = false;
  for (const { job, confirmed } of machine.attempts.values()) {
    attempts[job.priority]!++;
    anyUnconfirmed ||= !confirmed;
  }
  return {
    teams: usageByTeam(machine),
    attempts,
    profile,
    unverified: machine.awaitingReconciliation || machine.unknownTaskCount > 0 || anyUnconfirmed,
    preprovisioned: machine.preprovisioned,
  };
};

/** Keeps the sums. Changes are only noted when they happen, and counted with the next query. */
export class UsageTotals implements MachineObserver {
  private readonly changedMachines = new Set<Machine>();
  private readonly counted = new Map<Machine, Contribution>();
  private readonly teams = new Map<string, TeamSums>();
  private readonly profiles = new Map<string, MachineProfile>();
  /** Machines on which more may run than is known. */
  private readonly unverified = new Set<Machine>();
  private readonly attemptsByPriority = PRIORITIES.map(() => 0);
  private preprovisioned = 0;

  constructor(
    /** The registry; a machine that is not in it any more counts for nothing. */
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly types: () => ReadonlyMap<string, MachineType>,
  ) {}

  /** Has the machine counted anew. */
  changed(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** Confirmed usage by team, for a plan that counts its own starts on top; what is unverified counts as anybody's. */
  usage(): QuotaUsage {
    this.refresh();
    const usage = new QuotaUsage();
    for (const [team, sums] of this.teams)
      usage.addAmounts(team, sums.confirmedCores / UNIT, sums.confirmedGpus / UNIT);
    for (const machine of this.unverified)
      usage.addUnverified(this.types().get(machine.type) ?? null, machine);
    return usage;
  }

  /** Usage by team, confirmed or not. */
  teamUsage(): ReadonlyMap<string, TeamUsage> {
    this.refresh();
    const usage = new Map<string, TeamUsage>();
    for (const [team, { cores, gpus }] of this.teams)
      usage.set(team, { cores: cores / UNIT, gpus: gpus / UNIT });
    return usage;
  }

  /** The lowest priority of all attempts; the highest there is where there are none. */
  lowestRunning(): Priority {
    this.refresh();
    return PRIORITIES.find((priority) => this.attemptsByPriority[priority]! > 0) ?? 3;
  }

  /** Whether there is any pre-provisioned machine. */
  get anyPreprovisioned(): boolean {
    this.refresh();
    return this.preprovisioned > 0;
  }

  /**
   * What work of this kind and priority can have: all in all, and now. GPUs count as far as there are cores beside them:
   * where work without GPUs fills machines with GPUs, more seemed to become free than did, everything seemed to be in
   * time, and in the order of latest starts nearly everything came too late (gedeeld-fleet loss: 0.18 of the arrays in
   * time, though ten jobs ended in every half minute). Cores count whole: work with GPUs leaves them to others sooner
   * or later, and subtracting them was tried (krakow-next, one run each: price 2.3 -> 3.0 and 3.5 -> 4.1).
   */
  capacityFor(gpu: boolean, priority: Priority, coresEach: number): KindCapacity {
    this.refresh();
    let total = 0;
    let free = 0;
    for (const { type: typeName, up, usage, machines } of this.profiles.values()) {
      const type = this.types().get(typeName);
      if (type === undefined || (gpu && type.gpus === 0)) continue;
      const capacity = gpu
        ? gpuCapacity(usage, type, priority, coresEach)
        : coreCapacity(usage, type, priority);
      total += capacity.total * machines;
      if (up) free += capacity.free * machines;
    }
    return { total, free };
  }

  private refresh(): void {
    for (const machine of this.changedMachines) {
      this.subtract(machine);
      if (this.machines.get(machine.name) === machine) this.add(machine);
    }
    this.changedMachines.clear();
  }

  private add(machine: Machine): void {
    const usage = usageByPriority(machine);
    const key = machine.retirementReason === null ? profileKey(machine, usage) : null;
    const contribution = contributionOf(machine, key);
    this.counted.set(machine, contribution);
    this.applyContribution(contribution, 1);
    if (contribution.unverified) this.unverified.add(machine);
    if (key === null) return;
    const profile = this.profiles.get(key) ?? { type: machine.type, up: machine.up, usage, machines: 0 };
    profile.machines++;
    this.profiles.set(key, profile);
  }

  private subtract(machine: Machine): void {
    const contribution = this.counted.get(machine);
    if (contribution === undefined) return;
    this.counted.delete(machine);
    this.unverified.delete(machine);
    this.applyContribution(contribution, -1);
    if (contribution.profile === null) return;
    const profile = this.profiles.get(contribution.profile)!;
    profile.machines--;
    if (profile.machines === 0) this.profiles.delete(contribution.profile);
  }

  private applyContribution(contribution: Contribution, sign: 1 | -1): void {
    for (const [team, sums] of contribution.teams) {
      const all = this.teams.get(team) ?? noTeamSums();
      this.teams.set(team, all);
      all.attempts += sign * sums.attempts;
      all.cores += sign * sums.cores;
      all.gpus += sign * sums.gpus;
      all.confirmedCores += sign * sums.confirmedCores;
      all.confirmedGpus += sign * sums.confirmedGpus;
      if (all.attempts === 0) this.teams.delete(team);
    }
    contribution.attempts.forEach((count, priority) => {
      this.attemptsByPriority[priority]! += sign * count;
    });
    if (contribution.preprovisioned) this.preprovisioned += sign;
  }
}
