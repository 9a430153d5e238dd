/** What a leader stores for its successors and for starting controllers: learned run times and machine types. */
import { MACHINE_TYPES_KEY, RUNTIME_SUMMARY_KEY } from '../codecs/keys.js';
import { encodeMachineTypes } from '../codecs/machine-type-codec.js';
import { bytesOf } from '../codecs/value-size.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { MachineType } from '../domain/machine.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { FencedWriter } from '../storage/fenced-writer.js';
import { pageRoom } from '../storage/packed-pages.js';
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';

const ignoreConfirmation = (): void => undefined;

/** Loads and stores what outlasts a term beside jobs and machines. */
export class TermRecords {
  constructor(
    private readonly term: LeaderTerm,
    private readonly writer: FencedWriter,
    private readonly attempts: Pick<AttemptLifecycle, 'learnedRuns'>,
  ) {}

  private get largestValue(): number {
    return pageRoom(this.term.context.settings.maxValueBytes);
  }

  /** Takes over what an earlier leader had learned of run times; null: nothing is stored. */
  loadRuntimeEstimates(item: StoredItem | null): void {
    if (item === null) return;
    this.term.cluster.runtimeEstimates.load(item.value);
    this.writer.rememberVersion(RUNTIME_SUMMARY_KEY, item.version);
  }

  /** Stores the run times if any were learned since the last time. */
  saveRuntimeEstimates(): void {
    if (this.attempts.learnedRuns === 0) return;
    this.attempts.learnedRuns = 0;
    const value = this.term.cluster.runtimeEstimates.summary(this.largestValue);
    this.writer.put(RUNTIME_SUMMARY_KEY, () => value, ignoreConfirmation, { urgency: 'later' });
  }

  /** Stores the machine types for controllers that start while the cloud is out. */
  saveMachineTypes(types: readonly MachineType[]): void {
    const value = encodeMachineTypes(types);
    // Some of them would be worse than none: jobs would be refused as fitting nowhere.
    if (bytesOf(value) > this.largestValue) return;
    this.writer.put(MACHINE_TYPES_KEY, () => value, ignoreConfirmation, { checked: false, urgency: 'later' });
  }
}
