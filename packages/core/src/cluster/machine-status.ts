/** The parts of a machine's state that sums over machines depend on; each change is reported to an observer. */

/** Status of a machine as known to the leader. Each setter calls `notifyObserver` if the value changes. */
export abstract class MachineStatus {
  private isUp = false;
  private isPreprovisioned = false;
  private currentRetirementReason: string | null = null;
  private isAwaitingReconciliation = false;
  private unknownTasks = 0;

  /** Reports a change of the status to the machine's observer. */
  abstract notifyObserver(): void;

  /** Whether the machine's agent sends heartbeats and holds its lease. */
  get up(): boolean {
    return this.isUp;
  }

  /** Affects the free capacity in the sums over machines. */
  set up(value: boolean) {
    if (value === this.isUp) return;
    this.isUp = value;
    this.notifyObserver();
  }

  /** Whether the machine existed before this service first scaled out; such a machine is kept when idle. */
  get preprovisioned(): boolean {
    return this.isPreprovisioned;
  }

  /** Affects whether plans weigh the price of machines. */
  set preprovisioned(value: boolean) {
    if (value === this.isPreprovisioned) return;
    this.isPreprovisioned = value;
    this.notifyObserver();
  }

  /** Why the machine is being scaled in, which means no further tasks start on it; null if it is not. */
  get retirementReason(): string | null {
    return this.currentRetirementReason;
  }

  /** A machine that is being scaled in no longer counts as capacity. */
  set retirementReason(value: string | null) {
    if (value === this.currentRetirementReason) return;
    this.currentRetirementReason = value;
    this.notifyObserver();
  }

  /** Whether it may run tasks from before this term that no heartbeat has listed yet. */
  get awaitingReconciliation(): boolean {
    return this.isAwaitingReconciliation;
  }

  /** Until the machine is reconciled, its free capacity counts as unverified usage. */
  set awaitingReconciliation(value: boolean) {
    if (value === this.isAwaitingReconciliation) return;
    this.isAwaitingReconciliation = value;
    this.notifyObserver();
  }

  /** Number of reported tasks on it that this leader can't match to an attempt. */
  get unknownTaskCount(): number {
    return this.unknownTasks;
  }

  /** While it is positive, the machine's free capacity counts as unverified usage. */
  set unknownTaskCount(value: number) {
    if (value === this.unknownTasks) return;
    this.unknownTasks = value;
    this.notifyObserver();
  }
}
