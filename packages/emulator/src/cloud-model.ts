/** The cloud as a model: what is rented, listed and charged for. The machines themselves are the workers'. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { ListedMachine } from '@shaleyoke/core/domain/machine';
import type { Micros } from '@shaleyoke/core/domain/time';

import { TYPE } from './site.js';

/** What the cloud needs of the machines. */
export interface Machines {
  /** How many there are in a zone. */
  inZone(zone: string): number;
  /** A new one begins to boot; its name. */
  boot(zone: string, spot: boolean, bootUs?: Micros): string;
  end(name: string): void;
  list(): ListedMachine[];
}

export class CloudModel {
  downUntil: Micros = 0;
  /** How long new machines take to boot; null: as their type says, more or less. */
  bootUs: (() => Micros) | null = null;
  /** What is charged for, by machine: from the request for it until it is gone. */
  readonly bills = new Map<string, { from: Micros; to: Micros | null; spot: boolean }>();
  private readonly bookings = new Map<string, string[]>();

  constructor(
    private readonly now: () => Micros,
    private readonly machines: Machines,
    /** Machines that there are in each zone. */
    public perZone: number,
  ) {}

  apply(op: CloudOperation): CloudReply {
    if (this.now() < this.downUntil) return { kind: 'failed', reason: 'trouble' };
    switch (op.kind) {
      case 'types':
        return { kind: 'types', types: [TYPE] };
      case 'rent': {
        const old = this.bookings.get(op.request);
        if (old !== undefined) return { kind: 'rented', machines: old };
        const count = Math.min(op.count, this.perZone - this.machines.inZone(op.zone));
        if (count <= 0) return { kind: 'noCapacity' };
        const names = Array.from({ length: count }, () =>
          this.machines.boot(op.zone, op.spot, this.bootUs?.()),
        );
        for (const name of names) this.bills.set(name, { from: this.now(), to: null, spot: op.spot });
        this.bookings.set(op.request, names);
        return { kind: 'rented', machines: names };
      }
      case 'delete':
        for (const name of op.machines) this.machines.end(name);
        return { kind: 'deleted' };
      case 'list':
        return { kind: 'listed', more: false, machines: this.machines.list() };
    }
  }

  /** The machine is gone, by whatever cause: nothing more is charged for it. */
  ended(name: string): void {
    const bill = this.bills.get(name);
    if (bill !== undefined) bill.to ??= this.now();
  }
}
