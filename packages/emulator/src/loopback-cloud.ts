/** Emulated cloud of a deployment on loopback: rents, lists and deletes machines whose workers run in this process. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND } from '@shaleyoke/core/domain/time';

import type { LoopbackWorker } from './loopback-workers.js';

/** Billed time of a machine. */
export interface Bill {
  /** Name of the machine. */
  readonly machine: string;
  /** Name of its machine type. */
  readonly type: string;
  /** When it was rented; booting is billed as well. */
  readonly from: Micros;
  /** When it ended; null: it exists. */
  to: Micros | null;
}

/** Interface of the deployment to the cloud. */
export interface LoopbackCloudHost {
  /** The deployment's clock. */
  now(): Micros;
  /** Whether the deployment shuts down, so that no machine may boot any more. */
  isStopping(): boolean;
  /** Machine types that it offers. */
  readonly types: readonly MachineType[];
  /** Capacity per machine type and zone. */
  readonly perZone: number;
  /** Creates the worker of a new machine, which isn't booted yet. */
  makeWorker(name: string, type: string, zone: string, spot: boolean): LoopbackWorker;
}

/** Rents machines within its capacity and bills them. */
export class LoopbackCloud {
  /** All that were ever rented, by machine name. */
  readonly workers = new Map<string, LoopbackWorker>();
  /** One for each rented machine. */
  readonly bills: Bill[] = [];
  private readonly machinesByRequest = new Map<string, string[]>();
  private nextMachine = 1;

  constructor(private readonly host: LoopbackCloudHost) {}

  /** Executes a request. A repeated rent request returns the machines of the first. */
  apply(operation: CloudOperation): CloudReply {
    switch (operation.kind) {
      case 'types':
        return { kind: 'types', types: this.host.types };
      case 'rent':
        return this.rent(operation);
      case 'delete':
        for (const name of operation.machines) this.kill(name);
        return { kind: 'deleted' };
      case 'list':
        return this.list(operation);
    }
  }

  /** Ends a machine and its billing; machines that are gone or unknown are ignored. */
  kill(name: string): void {
    const worker = this.workers.get(name);
    if (worker?.alive !== true) return;
    worker.kill();
    this.bills.find(({ machine }) => machine === name)!.to = this.host.now();
  }

  private rent(operation: CloudOperation & { kind: 'rent' }): CloudReply {
    const earlier = this.machinesByRequest.get(operation.request);
    if (earlier !== undefined) return { kind: 'rented', machines: earlier };
    const type = this.host.types.find(({ name }) => name === operation.type);
    const present = [...this.workers.values()].filter(
      (worker) => worker.alive && worker.type === operation.type && worker.zone === operation.zone,
    ).length;
    const count = Math.min(operation.count, this.host.perZone - present);
    if (type === undefined || count <= 0) return { kind: 'noCapacity' };
    const machines = Array.from({ length: count }, () => this.add(type, operation.zone, operation.spot));
    this.machinesByRequest.set(operation.request, machines);
    return { kind: 'rented', machines };
  }

  private add(type: MachineType, zone: string, spot: boolean): string {
    const name = `m-${String(this.nextMachine++).padStart(6, '0')}`;
    this.bills.push({ machine: name, type: type.name, from: this.host.now(), to: null });
    const worker = this.host.makeWorker(name, type.name, zone, spot);
    this.workers.set(name, worker);
    setTimeout(() => {
      if (worker.alive && !this.host.isStopping()) void worker.boot();
    }, type.bootUs / MILLISECOND);
    return name;
  }

  private list({ after, limit }: CloudOperation & { kind: 'list' }): CloudReply {
    const machines = [...this.workers.values()]
      .filter((worker) => worker.alive && worker.name > after)
      .map((worker) => ({
        name: worker.name,
        address: worker.address,
        type: worker.type,
        zone: worker.zone,
        spot: worker.spot,
        state: worker.address === '' ? ('booting' as const) : ('running' as const),
        ageUs: this.host.now() - this.bills.find(({ machine }) => machine === worker.name)!.from,
      }));
    return { kind: 'listed', machines: machines.slice(0, limit), more: machines.length > limit };
  }
}
