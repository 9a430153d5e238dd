/** The registry of the machines known in a leader term. */
import type { Machine, MachineObserver } from './cluster-model.js';

/** A map of machines by name that notifies an observer when a machine is added, changed or removed. */
export class MachineRegistry extends Map<string, Machine> {
  /** The observer of all machines; must be set before the first machine is added. */
  observer: MachineObserver | null = null;

  override set(name: string, machine: Machine): this {
    const previous = this.get(name);
    if (previous !== undefined && previous !== machine) this.release(previous);
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
