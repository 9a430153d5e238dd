/** The parts of a machine's state that the sums over machines depend on: each change is reported to the observer. */

/** Status of a machine as the leader knows it. A setter notifies only when the value changes. */
export abstract class MachineStatus {
  private isUp = false;
  private isPreprovisioned = false;
  private reasonOfRetirement: string | null = null;
  private isAwaitingReconciliation = false;
  private unknownTasks = 0;

  /** Reports a change that the machine's observer has to take into account. */
  abstract notifyObserver(): void;

  /** Whether the machine's agent is in contact and holds its lease. */
  get up(): boolean {
    return this.isUp;
  }

  set up(value: boolean) {
    if (value === this.isUp) return;
    this.isUp = value;
    this.notifyObserver();
  }

  /** Existed before this service scaled out for the first time: kept when idle. */
  get preprovisioned(): boolean {
    return this.isPreprovisioned;
  }

  set preprovisioned(value: boolean) {
    if (value === this.isPreprovisioned) return;
    this.isPreprovisioned = value;
    this.notifyObserver();
  }

  /** Why it is being scaled in: nothing is started on it any more. Null: it is not being scaled in. */
  get retirementReason(): string | null {
    return this.reasonOfRetirement;
  }

  set retirementReason(value: string | null) {
    if (value === this.reasonOfRetirement) return;
    this.reasonOfRetirement = value;
    this.notifyObserver();
  }

  /** May hold tasks from before this term that no heartbeat has listed yet. */
  get awaitingReconciliation(): boolean {
    return this.isAwaitingReconciliation;
  }

  set awaitingReconciliation(value: boolean) {
    if (value === this.isAwaitingReconciliation) return;
    this.isAwaitingReconciliation = value;
    this.notifyObserver();
  }

  /** Number of tasks on it that this leader can't account for. */
  get unknownTaskCount(): number {
    return this.unknownTasks;
  }

  set unknownTaskCount(value: number) {
    if (value === this.unknownTasks) return;
    this.unknownTasks = value;
    this.notifyObserver();
  }
}
