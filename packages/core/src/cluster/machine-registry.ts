/** The machines of a term by name. An observer is told of each that comes, changes or goes. */
import type { Machine, MachineObserver } from './cluster-model.js';

export class MachineRegistry extends Map<string, Machine> {
  observer: MachineObserver | null = null;

  override set(name: string, machine: Machine): this {
    const former = this.get(name);
    if (former !== undefined && former !== machine) this.release(former);
    super.set(name, machine);
    machine.observe(this.observer);
    this.observer?.changed(machine);
    return this;
  }

  override delete(name: string): boolean {
    const machine = this.get(name);
    const deleted = super.delete(name);
    if (machine !== undefined) this.release(machine);
    return deleted;
  }

  private release(machine: Machine): void {
    machine.observe(null);
    this.observer?.changed(machine);
  }
}
