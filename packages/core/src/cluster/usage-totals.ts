/**
 * Sums over machines and attempts that plans need: cores and GPUs in use by team, attempts by priority, and capacity by kind
 * of work. They are updated incrementally, so that the cost of a query depends on the number of changed machines and not on
 * the size of the cluster.
 */
import type { Priority } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import {
  coreCapacity,
  gpuCapacity,
  type KindCapacity,
  PRIORITIES,
  type PriorityUsage,
  toUnits,
  UNITS_PER_AMOUNT,
  type UnitSums,
} from './capacity-by-kind.js';
import type { Machine, MachineObserver } from './cluster-model.js';
import { QuotaUsage, type TeamUsage } from './fair-share.js';

/** Usage by one team, with the part of it that confirmed attempts account for. */
interface TeamSums extends UnitSums {
  attempts: number;
  confirmedCores: number;
  confirmedGpus: number;
}

/** Machines with the same type, status and usage, which therefore have the same capacity for each kind of work. */
interface MachineProfile {
  readonly type: string;
  readonly up: boolean;
  readonly usage: readonly PriorityUsage[];
  machines: number;
}

/** The contribution of one machine to the sums, kept so that it can be subtracted later. */
interface Contribution {
  readonly teams: ReadonlyMap<string, TeamSums>;
  /** Number of attempts by priority. */
  readonly attempts: readonly number[];
  /** Key of the machine's profile; null if it is being scaled in. */
  readonly profile: string | null;
  readonly unverified: boolean;
  readonly preprovisioned: boolean;
}

const emptyTeamSums = (): TeamSums => ({
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
    sums.cores += toUnits(job.spec.cores);
    sums.gpus += toUnits(job.spec.gpus);
  }
  return usage;
};

const usageByTeam = (machine: Machine): Map<string, TeamSums> => {
  const teams = new Map<string, TeamSums>();
  for (const { job, confirmed } of machine.attempts.values()) {
    const { team, cores, gpus } = job.spec;
    const sums = teams.get(team) ?? emptyTeamSums();
    teams.set(team, sums);
    sums.attempts++;
    sums.cores += toUnits(cores);
    sums.gpus += toUnits(gpus);
    if (!confirmed) continue;
    sums.confirmedCores += toUnits(cores);
    sums.confirmedGpus += toUnits(gpus);
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

/** Maintains the sums. Changed machines are only recorded, and counted again by the next query. */
export class UsageTotals implements MachineObserver {
  private readonly changedMachines = new Set<Machine>();
  private readonly counted = new Map<Machine, Contribution>();
  private readonly teams = new Map<string, TeamSums>();
  private readonly profiles = new Map<string, MachineProfile>();
  /** Machines that may run unknown tasks. */
  private readonly unverified = new Set<Machine>();
  private readonly attemptsByPriority = PRIORITIES.map(() => 0);
  private preprovisioned = 0;

  constructor(
    /** The registry; machines that have been removed from it no longer count. */
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly types: () => ReadonlyMap<string, MachineType>,
  ) {}

  /** Records that the machine has to be counted again. */
  changed(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** Confirmed usage by team, to which a plan adds its own starts; unverified usage counts against every team. */
  usage(): QuotaUsage {
    this.refresh();
    const usage = new QuotaUsage();
    for (const [team, sums] of this.teams)
      usage.addAmounts(team, sums.confirmedCores / UNITS_PER_AMOUNT, sums.confirmedGpus / UNITS_PER_AMOUNT);
    for (const machine of this.unverified)
      usage.addUnverified(this.types().get(machine.type) ?? null, machine);
    return usage;
  }

  /** Usage by team, by confirmed and unconfirmed attempts. */
  teamUsage(): ReadonlyMap<string, TeamUsage> {
    this.refresh();
    const usage = new Map<string, TeamUsage>();
    for (const [team, { cores, gpus }] of this.teams)
      usage.set(team, { cores: cores / UNITS_PER_AMOUNT, gpus: gpus / UNITS_PER_AMOUNT });
    return usage;
  }

  /** The lowest priority of all attempts; the highest possible one if there are no attempts. */
  lowestLivePriority(): Priority {
    this.refresh();
    return PRIORITIES.find((priority) => this.attemptsByPriority[priority]! > 0) ?? 3;
  }

  /** Whether any machine is pre-provisioned. */
  get anyPreprovisioned(): boolean {
    this.refresh();
    return this.preprovisioned > 0;
  }

  /**
   * Capacity for work of this kind and priority, in total and now. GPUs count only as far as there are cores beside them:
   * otherwise, where work without GPUs fills machines with GPUs, the expected free capacity is too high, all jobs seem to be
   * on time, and ordered by latest start nearly all of them are late (in one simulated deployment 0.18 of the arrays on
   * time, though ten jobs ended in every half minute). Cores count in full, since work with GPUs frees them sooner or
   * later; subtracting them raised the price (on a recorded day, one run each: 2.3 -> 3.0 and 3.5 -> 4.1).
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
      const totals = this.teams.get(team) ?? emptyTeamSums();
      this.teams.set(team, totals);
      totals.attempts += sign * sums.attempts;
      totals.cores += sign * sums.cores;
      totals.gpus += sign * sums.gpus;
      totals.confirmedCores += sign * sums.confirmedCores;
      totals.confirmedGpus += sign * sums.confirmedGpus;
      if (totals.attempts === 0) this.teams.delete(team);
    }
    contribution.attempts.forEach((count, priority) => {
      this.attemptsByPriority[priority]! += sign * count;
    });
    if (contribution.preprovisioned) this.preprovisioned += sign;
  }
}
