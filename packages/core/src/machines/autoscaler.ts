/** Scale-out and scale-in of machines. The placement search also decides which machines to provision. */
import type { Machine } from '../cluster/cluster-model.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { SearchResult } from '../scheduling/placement-search.js';
import type { CapacityOffer, TaskGroup } from '../scheduling/plan-input.js';
import { TotalCapacity } from '../scheduling/total-capacity.js';
import type { AutoscalerHost } from './autoscaler-host.js';
import { CapacityOffers } from './capacity-offers.js';
import { CloudInventory } from './cloud-inventory.js';
import { DeletionQueue } from './deletion-queue.js';
import { DemandForecast } from './demand-forecast.js';
import { ScaleOut } from './scale-out.js';

export type { AutoscalerHost } from './autoscaler-host.js';

/** Idle machines are kept this many times as long if the cluster isn't cost-sensitive. */
const IDLE_FACTOR_WITHOUT_COST_PRESSURE = 6;
/** A machine that is not up after this many boot times of its type, plus a margin, has failed to boot. */
const MAX_BOOT_TIMES = 3;
const BOOT_MARGIN: Micros = 15 * SECOND;
/** How often the machine types are refreshed. */
const TYPES_REFRESH_INTERVAL: Micros = 60 * SECOND;
/** Urgency of machine type requests; lower values are sent first. */
const TYPES_URGENCY = 2;

/** Provisions and retires machines during one leader's term, and tracks the cloud's inventory. */
export class Autoscaler {
  private readonly forecast: DemandForecast;
  private readonly offers: CapacityOffers;
  private readonly scaleOut: ScaleOut;
  private readonly deletions: DeletionQueue;
  private readonly inventory: CloudInventory;

  constructor(
    private readonly context: NodeContext,
    private readonly host: AutoscalerHost,
  ) {
    this.forecast = new DemandForecast(context, () => host.isCostSensitive());
    this.offers = new CapacityOffers(context, () => host.machines());
    this.scaleOut = new ScaleOut(context, host, this.offers);
    this.deletions = new DeletionQueue(context, host, this.offers);
    this.inventory = new CloudInventory(context, host, (name) => {
      this.deletions.add(name);
    });
  }

  /** Starts polling the cloud's machines and machine types. */
  start(): void {
    this.inventory.start();
    this.refreshTypes();
  }

  private refreshTypes(): void {
    this.context.after(TYPES_REFRESH_INTERVAL, () => {
      if (!this.host.isActive()) return;
      this.context.requestCloud({ kind: 'types' }, TYPES_URGENCY, (reply) => {
        if (reply.kind === 'types' && reply.types.length > 0)
          this.context.machineTypes = new Map(reply.types.map((type) => [type.name, type]));
      });
      this.refreshTypes();
    });
  }

  /**
   * Counts a newly arrived job in the demand forecast; the job must be startable. A gang that can't run says nothing about the
   * capacity that further jobs will need.
   */
  recordArrival(spec: JobSpec): void {
    if (spec.shape !== 'gang' || this.totalCapacity().holdsAtOnce(spec, spec.tasks))
      this.forecast.recordArrival(spec);
  }

  /** What all machines and offers hold at the same time. */
  private totalCapacity(): TotalCapacity {
    const totalCapacity = new TotalCapacity();
    for (const { type: typeName, zone, spot, retirementReason } of this.host.machines()) {
      const type = this.context.machineTypes.get(typeName);
      if (type !== undefined && retirementReason === null) totalCapacity.addMachine({ type, zone, spot });
    }
    for (const offer of [...this.availableOffers(), ...this.offersInFlight()]) totalCapacity.addOffer(offer);
    return totalCapacity;
  }

  /** The largest job of each class with recent arrivals. */
  recentSpecs(): JobSpec[] {
    return this.forecast.recentSpecs();
  }

  /** Spare capacity for expected arrivals of classes that must start sooner than a machine boots. */
  headroom(): TaskGroup[] {
    return this.forecast.headroom();
  }

  /** Capacity kept free for urgent work, which can't wait until tasks of other jobs end. */
  reservedForUrgent(): TaskGroup[] {
    return this.forecast.reservedForUrgent();
  }

  /** Whether a job is urgent: it can't wait until running tasks end. */
  mustStartAtOnce(spec: JobSpec): boolean {
    return this.forecast.mustStartAtOnce(spec);
  }

  /** Capacity that may be requested now, by machine type, zone and kind. */
  availableOffers(): CapacityOffer[] {
    return this.offers.available();
  }

  /** Capacity that was requested, without an answer so far. */
  offersInFlight(): CapacityOffer[] {
    return this.offers.inFlight();
  }

  /** Provisions the machines that a plan uses but that don't exist yet. */
  scaleOutFor(decision: SearchResult): void {
    // Existing machines are listed and recorded as pre-provisioned first, since those are never scaled in.
    if (this.inventory.awaitsFirstList) return;
    const { preprovisioned } = this.host;
    const { provisioned: wanted } = decision.snapshot;
    if (preprovisioned.acceptsFirstList && wanted.size > 0) preprovisioned.recordFirstList([]);
    if (!preprovisioned.canProvision) return;
    for (const [capacity, count] of wanted) if (count > 0) this.scaleOut.request(capacity, count);
  }

  /** Deletes a machine that is recorded as retiring; the cloud's answer proves that everything on it is gone. */
  deleteMachine(name: string): void {
    this.deletions.add(name);
  }

  /** Retires machines that failed to boot, and idle ones, except those in `needed`, which the last plan uses. */
  scaleIn(needed: ReadonlySet<string>): void {
    const { now, settings } = this.context;
    const idleFactor = this.host.isCostSensitive() ? 1 : IDLE_FACTOR_WITHOUT_COST_PRESSURE;
    const maxIdle = settings.tuning.idleScaleInUs * idleFactor;
    for (const machine of this.host.machines()) {
      if (machine.retirementReason !== null) continue;
      const type = this.context.machineTypes.get(machine.type);
      if (type === undefined) continue;
      if (this.failedToBoot(machine, type)) this.host.retire(machine, 'never came up');
      else if (canScaleIn(machine) && !needed.has(machine.name) && now - machine.idleSince > maxIdle)
        this.host.retire(machine, 'idle');
    }
  }

  private failedToBoot(machine: Machine, type: MachineType): boolean {
    return (
      !machine.up &&
      machine.agentEpoch === 0 &&
      !machine.awaitingReconciliation &&
      this.context.now - machine.provisionedAt > MAX_BOOT_TIMES * type.bootUs + BOOT_MARGIN
    );
  }
}

/** Whether the machine is usable, was provisioned by this service, and runs no task. */
const canScaleIn = (machine: Machine): boolean =>
  machine.isUsable() && !machine.preprovisioned && machine.attempts.size === 0;
