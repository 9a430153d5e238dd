/** Scale-out and scale-in. What to provision comes from the same simulation that places tasks. */
import type { Machine } from '../cluster/cluster-model.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { Decision } from '../scheduling/placement-search.js';
import type { CapacityOffer, TaskGroup } from '../scheduling/plan-input.js';
import type { AutoscalerHost } from './autoscaler-host.js';
import { CapacityOffers } from './capacity-offers.js';
import { CloudInventory } from './cloud-inventory.js';
import { DeletionQueue } from './deletion-queue.js';
import { DemandForecast } from './demand-forecast.js';
import { ScaleOut } from './scale-out.js';

export type { AutoscalerHost } from './autoscaler-host.js';

/** Where capacity isn't saved, idle machines are kept this many times as long. */
const IDLE_FACTOR_WITHOUT_COST_PRESSURE = 6;
/** A machine that is not up after so many times its type's boot time, and a margin, never comes up. */
const MAX_BOOTS = 3;
const BOOT_MARGIN: Micros = 15 * SECOND;
/** How often the machine types are read anew. */
const TYPES_INTERVAL: Micros = 60 * SECOND;
/** Urgency of reading machine types. */
const TYPES_URGENCY = 2;

/** Provisions and retires machines during one leader's term, and follows the cloud's inventory. */
export class Autoscaler {
  private readonly forecast: DemandForecast;
  private readonly offers: CapacityOffers;
  private readonly scaleOut: ScaleOut;
  private readonly deletions: DeletionQueue;
  private readonly inventory: CloudInventory;

  constructor(
    private readonly ctx: NodeContext,
    private readonly host: AutoscalerHost,
  ) {
    this.forecast = new DemandForecast(ctx, () => host.isCostSensitive());
    this.offers = new CapacityOffers(ctx);
    this.scaleOut = new ScaleOut(ctx, host, this.offers);
    this.deletions = new DeletionQueue(ctx, host, this.offers);
    this.inventory = new CloudInventory(ctx, host, (name) => {
      this.deletions.add(name);
    });
  }

  /** Begins to follow the cloud's machines and machine types. */
  start(): void {
    this.inventory.start();
    this.refreshTypes();
  }

  private refreshTypes(): void {
    this.ctx.after(TYPES_INTERVAL, () => {
      if (!this.host.isActive()) return;
      this.ctx.requestCloud({ kind: 'types' }, TYPES_URGENCY, (reply) => {
        if (reply.kind === 'types' && reply.types.length > 0)
          this.ctx.types = new Map(reply.types.map((type) => [type.name, type]));
      });
      this.refreshTypes();
    });
  }

  // ---- demand ------------------------------------------------------------------------------------

  /** A job arrived that may begin at once. */
  recordArrival(spec: JobSpec): void {
    this.forecast.recordArrival(spec);
  }

  /** The largest recent job of each class that came lately. */
  recentSpecs(): JobSpec[] {
    return this.forecast.recentSpecs();
  }

  /** Room for arrivals of classes that must start sooner than a machine boots. */
  headroom(): TaskGroup[] {
    return this.forecast.headroom();
  }

  /** Room kept free for work that must start sooner than the tasks end that others would put there. */
  reservedForUrgent(): TaskGroup[] {
    return this.forecast.reservedForUrgent();
  }

  /** Whether this is work that can't wait for the next tasks to end. */
  mustStartAtOnce(spec: JobSpec): boolean {
    return this.forecast.mustStartAtOnce(spec);
  }

  // ---- scale-out ---------------------------------------------------------------------------------

  /** What can be provisioned now, by type, zone and kind. */
  availableOffers(): CapacityOffer[] {
    return this.offers.available();
  }

  /** Provisions the machines that the plan used and that are not there. */
  scaleOutFor(decision: Decision): void {
    // First the machines that are there are listed and put on record: what is pre-provisioned is never returned.
    if (this.inventory.awaitsFirstList) return;
    const { preprovisioned: preprovisioned } = this.host;
    const { provisioned: wanted } = decision.snapshot;
    if (preprovisioned.isOpen && wanted.size > 0) preprovisioned.recordFirstList([]);
    if (!preprovisioned.canProvision) return;
    for (const [capacity, count] of wanted) if (count > 0) this.scaleOut.request(capacity, count);
  }

  // ---- scale-in ----------------------------------------------------------------------------------

  /** Deletes a machine that is on record as retiring; everything on it is gone once that is answered. */
  deleteMachine(name: string): void {
    this.deletions.add(name);
  }

  /** Retires machines that never boot, and idle ones. `needed` are those that the plan counts on. */
  scaleIn(needed: ReadonlySet<string>): void {
    const { now, settings } = this.ctx;
    const idleFactor = this.host.isCostSensitive() ? 1 : IDLE_FACTOR_WITHOUT_COST_PRESSURE;
    const maxIdle = settings.tuning.idleScaleInUs * idleFactor;
    for (const machine of this.host.machines()) {
      if (machine.retirementReason !== null) continue;
      const type = this.ctx.types.get(machine.type);
      if (type === undefined) continue;
      if (this.neverCameUp(machine, type)) this.host.retire(machine, 'never came up');
      else if (canScaleIn(machine) && !needed.has(machine.name) && now - machine.idleSince > maxIdle)
        this.host.retire(machine, 'idle');
    }
  }

  private neverCameUp(machine: Machine, type: MachineType): boolean {
    return (
      !machine.up &&
      machine.agentEpoch === 0 &&
      !machine.awaitingReconciliation &&
      this.ctx.now - machine.provisionedAt > MAX_BOOTS * type.bootUs + BOOT_MARGIN
    );
  }
}

/** Whether the machine is in use, was provisioned by this service, and holds no task. */
const canScaleIn = (machine: Machine): boolean =>
  machine.isUsable() && !machine.preprovisioned && machine.attempts.size === 0;
