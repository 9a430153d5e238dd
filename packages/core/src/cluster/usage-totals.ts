/**
 * Sums over machines and attempts that plans ask for: cores and GPUs in use by team, what runs by priority, and room by
 * kind of work. Kept up as machines change, so that asking costs what changed and not what there is.
 */
import type { Machine, MachineObserver } from './cluster-model.js';
import type { Priority } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { TeamUsage } from './preemption-policy.js';
import { QuotaUsage } from './fair-share.js';

/** Amounts are decimals; sums are kept in whole millionths, so that what is added and taken off again leaves nothing. */
const UNIT = 1_000_000;
const scaled = (amount: number): number => Math.round(amount * UNIT);

const PRIORITIES: readonly Priority[] = [0, 1, 2, 3];

interface Sums {
  cores: number;
  gpus: number;
}

interface TeamSums extends Sums {
  attempts: number;
  provenCores: number;
  provenGpus: number;
}

/** What one priority holds on a machine, apart by whether its tasks take GPUs. */
interface Held {
  withGpus: Sums;
  coresOnly: Sums;
}

/** Machines that are alike in all that room by kind of work depends on. */
interface MachineProfile {
  readonly type: string;
  readonly up: boolean;
  readonly held: readonly Held[];
  machines: number;
}

/** What one machine adds to the sums; kept to be taken off again. */
interface Contribution {
  readonly teams: ReadonlyMap<string, TeamSums>;
  readonly running: readonly number[];
  readonly profile: string | null;
  readonly doubtful: boolean;
  readonly standing: boolean;
}

export interface Room {
  /** What work of the kind and priority could have in all. */
  readonly total: number;
  /** What it could have now, lower priorities' room included. */
  readonly free: number;
}

const noSums = (): Sums => ({ cores: 0, gpus: 0 });
const noTeamSums = (): TeamSums => ({ cores: 0, gpus: 0, attempts: 0, provenCores: 0, provenGpus: 0 });

const heldOn = (machine: Machine): Held[] => {
  const held = PRIORITIES.map(() => ({ withGpus: noSums(), coresOnly: noSums() }));
  for (const { job } of machine.attempts.values()) {
    const level = held[job.priority]!;
    const sums = job.spec.gpus > 0 ? level.withGpus : level.coresOnly;
    sums.cores += scaled(job.spec.cores);
    sums.gpus += scaled(job.spec.gpus);
  }
  return held;
};

const teamsOn = (machine: Machine): Map<string, TeamSums> => {
  const teams = new Map<string, TeamSums>();
  for (const { job, confirmed: proven } of machine.attempts.values()) {
    const { team, cores, gpus } = job.spec;
    const sums = teams.get(team) ?? noTeamSums();
    teams.set(team, sums);
    sums.attempts++;
    sums.cores += scaled(cores);
    sums.gpus += scaled(gpus);
    if (!proven) continue;
    sums.provenCores += scaled(cores);
    sums.provenGpus += scaled(gpus);
  }
  return teams;
};

const profileKey = (machine: Machine, held: readonly Held[]): string => {
  const levels = held.map(
    ({ withGpus, coresOnly }) => `${withGpus.cores},${withGpus.gpus},${coresOnly.cores}`,
  );
  return `${machine.type}|${machine.up ? 'up' : 'down'}|${levels.join('|')}`;
};

export class UsageTotals implements MachineObserver {
  private readonly changedMachines = new Set<Machine>();
  private readonly counted = new Map<Machine, Contribution>();
  private readonly teams = new Map<string, TeamSums>();
  private readonly profiles = new Map<string, MachineProfile>();
  /** Machines on which more may run than is known. */
  private readonly doubtful = new Set<Machine>();
  private readonly running = PRIORITIES.map(() => 0);
  private standing = 0;

  /** `machines` is the registry; whoever is not in it any more counts for nothing. */
  constructor(
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly types: () => ReadonlyMap<string, MachineType>,
  ) {}

  changed(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** In use by team, for a plan that goes on counting; what is not known counts as anybody's. */
  usage(): QuotaUsage {
    this.refresh();
    const usage = new QuotaUsage();
    for (const [team, sums] of this.teams)
      usage.addAmounts(team, sums.provenCores / UNIT, sums.provenGpus / UNIT);
    for (const machine of this.doubtful) usage.doubt(this.types().get(machine.type) ?? null, machine);
    return usage;
  }

  /** In use by team, whatever it is known by. */
  teamUsage(): ReadonlyMap<string, TeamUsage> {
    this.refresh();
    const use = new Map<string, TeamUsage>();
    for (const [team, { cores, gpus }] of this.teams)
      use.set(team, { cores: cores / UNIT, gpus: gpus / UNIT });
    return use;
  }

  /** The lowest priority of all attempts; the highest there is where nothing runs. */
  lowestRunning(): Priority {
    this.refresh();
    return PRIORITIES.find((priority) => this.running[priority]! > 0) ?? 3;
  }

  get anyPreprovisioned(): boolean {
    this.refresh();
    return this.standing > 0;
  }

  /**
   * What work of this kind and priority can have: all in all, and now. GPUs count as far as there are cores beside them:
   * where work without GPUs fills machines with GPUs, more seemed to come free than did, everything seemed to be in
   * time, and in the order of latest starts nearly everything came too late (gedeeld-fleet loss: 0.18 of the arrays in
   * time, though ten jobs ended in every half minute). Cores count whole: work with GPUs leaves them to others sooner
   * or later, and taking them off was tried (krakow-next, one play each: price 2.3 -> 3.0 and 3.5 -> 4.1).
   */
  room(gpu: boolean, priority: Priority, coresEach: number): Room {
    this.refresh();
    let total = 0;
    let free = 0;
    for (const profile of this.profiles.values()) {
      const type = this.types().get(profile.type);
      if (type === undefined || (gpu && type.gpus === 0)) continue;
      const one = gpu ? gpuRoom(profile, type, priority, coresEach) : coreRoom(profile, type, priority);
      total += one.total * profile.machines;
      if (profile.up) free += one.free * profile.machines;
    }
    return { total, free };
  }

  private refresh(): void {
    for (const machine of this.changedMachines) {
      this.takeOff(machine);
      if (this.machines.get(machine.name) === machine) this.add(machine);
    }
    this.changedMachines.clear();
  }

  private add(machine: Machine): void {
    const held = heldOn(machine);
    const key = machine.retirementReason === null ? profileKey(machine, held) : null;
    const running = PRIORITIES.map(() => 0);
    let unproven = false;
    for (const { job, confirmed: proven } of machine.attempts.values()) {
      running[job.priority]!++;
      unproven ||= !proven;
    }
    const contribution: Contribution = {
      teams: teamsOn(machine),
      running,
      profile: key,
      doubtful: machine.awaitingReconciliation || machine.unknownTaskCount > 0 || unproven,
      standing: machine.preprovisioned,
    };
    this.counted.set(machine, contribution);
    this.sum(contribution, 1);
    if (contribution.doubtful) this.doubtful.add(machine);
    if (key === null) return;
    const profile = this.profiles.get(key) ?? { type: machine.type, up: machine.up, held, machines: 0 };
    profile.machines++;
    this.profiles.set(key, profile);
  }

  private takeOff(machine: Machine): void {
    const contribution = this.counted.get(machine);
    if (contribution === undefined) return;
    this.counted.delete(machine);
    this.doubtful.delete(machine);
    this.sum(contribution, -1);
    if (contribution.profile === null) return;
    const profile = this.profiles.get(contribution.profile)!;
    profile.machines--;
    if (profile.machines === 0) this.profiles.delete(contribution.profile);
  }

  private sum(contribution: Contribution, sign: 1 | -1): void {
    for (const [team, sums] of contribution.teams) {
      const all = this.teams.get(team) ?? noTeamSums();
      this.teams.set(team, all);
      all.attempts += sign * sums.attempts;
      all.cores += sign * sums.cores;
      all.gpus += sign * sums.gpus;
      all.provenCores += sign * sums.provenCores;
      all.provenGpus += sign * sums.provenGpus;
      if (all.attempts === 0) this.teams.delete(team);
    }
    contribution.running.forEach((count, priority) => {
      this.running[priority]! += sign * count;
    });
    if (contribution.standing) this.standing += sign;
  }
}

/** Beside GPUs, the cores and GPUs that this work has no right to are taken off; lower priorities' room can be had. */
const gpuRoom = (p: MachineProfile, type: MachineType, priority: Priority, coresEach: number): Room => {
  let cores = 0;
  let gpus = 0;
  let lower = 0;
  let allCores = 0;
  let allGpus = 0;
  p.held.forEach(({ withGpus, coresOnly }, level) => {
    allCores += withGpus.cores + coresOnly.cores;
    allGpus += withGpus.gpus;
    if (level < priority) {
      lower += withGpus.gpus;
      return;
    }
    cores += coresOnly.cores;
    if (level === priority) return;
    cores += withGpus.cores;
    gpus += withGpus.gpus;
  });
  const left = { cores: type.cores - allCores / UNIT, gpus: type.gpus - allGpus / UNIT };
  return {
    total: Math.min(type.gpus - gpus / UNIT, Math.max(0, type.cores - cores / UNIT) / coresEach),
    free: Math.max(0, Math.min(left.gpus, left.cores / coresEach)) + lower / UNIT,
  };
};

/** Room held by lower priorities can be had: without it, large jobs seem to come too late always. */
const coreRoom = (p: MachineProfile, type: MachineType, priority: Priority): Room => {
  let all = 0;
  let lower = 0;
  p.held.forEach(({ withGpus, coresOnly }, level) => {
    const cores = withGpus.cores + coresOnly.cores;
    all += cores;
    if (level < priority) lower += cores;
  });
  return { total: type.cores, free: Math.max(0, type.cores - all / UNIT) + lower / UNIT };
};
