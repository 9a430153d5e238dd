/** Loads the machine types when a node starts: from the store, or from the cloud API if they are not stored yet. */
import { MACHINE_TYPES_KEY } from '../codecs/keys.js';
import { decodeMachineTypes } from '../codecs/machine-type-codec.js';
import type { MachineType } from '../domain/machine.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from './node-context.js';

/** First retry delay, and the amount by which it grows with each attempt. */
const RETRY_DELAY_STEP_US: Micros = 400 * MILLISECOND;
const MAX_RETRY_DELAY_US: Micros = 2 * SECOND;

/** Loads the machine types, with retries until they are known. */
export class MachineTypeLoader {
  /** Whether the types are in the store, as far as this node knows. */
  private stored = false;

  constructor(
    private readonly context: NodeContext,
    /** Called once the types are known. */
    private readonly onLoaded: () => void,
    /** Starts to store the types. Returns false if this node does not lead, since only a leader may write them. */
    private readonly save: (types: readonly MachineType[]) => boolean,
  ) {}

  /** Starts loading; does nothing once the types are known. */
  load(): void {
    this.loadFromStore(0);
  }

  private loadFromStore(failedAttempts: number): void {
    if (this.context.machineTypes.size > 0) return;
    this.context.requestStore({ kind: 'get', key: MACHINE_TYPES_KEY }, 1, (reply) => {
      const types = reply.kind === 'item' ? decodeMachineTypes(reply.item.value) : null;
      if (types !== null && types.length > 0) {
        this.applyTypes(types);
        this.stored = true;
      } else this.loadFromCloud(failedAttempts);
    });
  }

  private loadFromCloud(failedAttempts: number): void {
    this.context.requestCloud({ kind: 'types' }, 0, (reply) => {
      if (reply.kind === 'types' && reply.types.length > 0) {
        this.applyTypes(reply.types);
        this.storeIfMissing();
      } else this.retry(failedAttempts);
    });
  }

  private retry(failedAttempts: number): void {
    this.context.after(Math.min(MAX_RETRY_DELAY_US, (1 + failedAttempts) * RETRY_DELAY_STEP_US), () => {
      this.loadFromStore(failedAttempts + 1);
    });
  }

  private applyTypes(types: readonly MachineType[]): void {
    this.context.machineTypes = new Map(types.map((type) => [type.name, type]));
    this.context.info('machine_types.loaded', { types: types.map((type) => type.name) });
    this.onLoaded();
  }

  /** Stores the types if they are known but not stored yet. Also called when this node becomes leader. */
  storeIfMissing(): void {
    if (this.stored || this.context.machineTypes.size === 0) return;
    this.stored = this.save([...this.context.machineTypes.values()]);
  }
}
