/** Stores runtime estimates for later leaders and machine types for controllers that start. */
import { MACHINE_TYPES_KEY, RUNTIME_SUMMARY_KEY } from '../codecs/keys.js';
import { encodeMachineTypes } from '../codecs/machine-type-codec.js';
import { jsonByteLength } from '../codecs/value-size.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { MachineType } from '../domain/machine.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { FencedWriter } from '../storage/fenced-writer.js';
import { pageCapacity } from '../storage/packed-pages.js';
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';

const ignoreConfirmation = (): void => undefined;

/** Loads and stores data that outlives a term, apart from jobs and machines. */
export class TermRecords {
  constructor(
    private readonly term: LeaderTerm,
    private readonly writer: FencedWriter,
    private readonly attempts: Pick<AttemptLifecycle, 'completedRunCount'>,
  ) {}

  private get maxValueBytes(): number {
    return pageCapacity(this.term.context.settings.maxValueBytes);
  }

  /** Loads the runtime estimates of an earlier leader; null if none are stored. */
  loadRuntimeEstimates(item: StoredItem | null): void {
    if (item === null) return;
    this.term.cluster.runtimeEstimates.restore(item.value);
    this.writer.rememberVersion(RUNTIME_SUMMARY_KEY, item.version);
  }

  /** Stores the runtime estimates if any run was added since they were last stored. */
  saveRuntimeEstimates(): void {
    if (this.attempts.completedRunCount === 0) return;
    this.attempts.completedRunCount = 0;
    const value = this.term.cluster.runtimeEstimates.toStored(this.maxValueBytes);
    this.writer.put(RUNTIME_SUMMARY_KEY, () => value, ignoreConfirmation, { urgency: 'later' });
  }

  /** Stores the machine types for controllers that start while the cloud is unavailable. */
  saveMachineTypes(types: readonly MachineType[]): void {
    const value = encodeMachineTypes(types);
    // A partial list would be worse than none: jobs that fit only an omitted type would be refused.
    if (jsonByteLength(value) > this.maxValueBytes) return;
    this.writer.put(MACHINE_TYPES_KEY, () => value, ignoreConfirmation, { checked: false, urgency: 'later' });
  }
}
