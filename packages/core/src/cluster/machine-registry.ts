/** The machines of a leader term, by name. */
import type { Machine, MachineObserver } from './cluster-model.js';

/** A map of machines that notifies an observer of each that is added, changes or is removed. */
export class MachineRegistry extends Map<string, Machine> {
  /** Set before the first machine is added. */
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
