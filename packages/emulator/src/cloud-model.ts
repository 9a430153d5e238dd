/** Model of the cloud: rents, lists and bills machines. The machines themselves belong to the model of the workers. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { ListedMachine } from '@shaleyoke/core/domain/machine';
import type { Micros } from '@shaleyoke/core/domain/time';

import { MACHINE_TYPE } from './site.js';

/** The machines, as far as the cloud manages them. */
export interface SimulatedMachines {
  /** Number of machines that exist in a zone. */
  countInZone(zone: string): number;
  /** Begins to boot a new machine, and returns its name. */
  boot(zone: string, spot: boolean, bootUs?: Micros): string;
  /** Ends a machine; unknown names are ignored. */
  terminate(name: string): void;
  /** All machines that exist. */
  list(): ListedMachine[];
}

/** The cloud of a simulated deployment. */
export class CloudModel {
  /** Until then every request fails. */
  downUntil: Micros = 0;
  /** Boot time of new machines; null: random, around that of their type. */
  bootUs: (() => Micros) | null = null;
  /** Billed time by machine: from the request until its end; `to` is null while it exists. */
  readonly bills = new Map<string, { from: Micros; to: Micros | null; spot: boolean }>();
  private readonly machinesByRequest = new Map<string, string[]>();

  constructor(
    private readonly now: () => Micros,
    private readonly machines: SimulatedMachines,
    /** Capacity of each zone. */
    public machinesPerZone: number,
  ) {}

  /** Executes a request. A repeated rent request returns the machines of the first. */
  apply(op: CloudOperation): CloudReply {
    if (this.now() < this.downUntil) return { kind: 'failed', reason: 'trouble' };
    switch (op.kind) {
      case 'types':
        return { kind: 'types', types: [MACHINE_TYPE] };
      case 'rent': {
        const earlier = this.machinesByRequest.get(op.request);
        if (earlier !== undefined) return { kind: 'rented', machines: earlier };
        const count = Math.min(op.count, this.machinesPerZone - this.machines.countInZone(op.zone));
        if (count <= 0) return { kind: 'noCapacity' };
        const names = Array.from({ length: count }, () =>
          this.machines.boot(op.zone, op.spot, this.bootUs?.()),
        );
        for (const name of names) this.bills.set(name, { from: this.now(), to: null, spot: op.spot });
        this.machinesByRequest.set(op.request, names);
        return { kind: 'rented', machines: names };
      }
      case 'delete':
        for (const name of op.machines) this.machines.terminate(name);
        return { kind: 'deleted' };
      case 'list':
        return { kind: 'listed', more: false, machines: this.machines.list() };
    }
  }

  /** Ends the billing of a machine that has ceased to exist, for whatever reason. */
  closeBill(name: string): void {
    const bill = this.bills.get(name);
    if (bill !== undefined) bill.to ??= this.now();
  }
}
