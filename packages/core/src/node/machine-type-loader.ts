/** Learns the machine types when a node starts: from the store, or, where they are not stored yet, from the cloud. */
import { MACHINE_TYPES_KEY } from '../codecs/keys.js';
import { decodeMachineTypes } from '../codecs/machine-type-codec.js';
import type { MachineType } from '../domain/machine.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from './node-context.js';

const FIRST_RETRY: Micros = 400 * MILLI;
const LONGEST_RETRY: Micros = 2 * SECOND;

/** Tries until the machine types are known. */
export class MachineTypeLoader {
  /** The types are in the store, as far as this node knows. */
  private stored = false;

  constructor(
    private readonly context: NodeContext,
    /** Called once the types are known. */
    private readonly onLoaded: () => void,
    /** Stores the types. Returns whether that could be begun: only a leader may write them. */
    private readonly save: (types: readonly MachineType[]) => boolean,
  ) {}

  /** Begins to load; does nothing once the types are known. */
  load(): void {
    this.tryToLoad(0);
  }

  private tryToLoad(tries: number): void {
    if (this.context.types.size > 0) return;
    this.context.requestStore({ kind: 'get', key: MACHINE_TYPES_KEY }, 1, (reply) => {
      const types = reply.kind === 'item' ? decodeMachineTypes(reply.item.value) : null;
      if (types !== null && types.length > 0) {
        this.use(types);
        this.stored = true;
      } else this.loadFromCloud(tries);
    });
  }

  private loadFromCloud(tries: number): void {
    this.context.requestCloud({ kind: 'types' }, 0, (reply) => {
      if (reply.kind === 'types' && reply.types.length > 0) {
        this.use(reply.types);
        this.storeIfMissing();
      } else this.retry(tries);
    });
  }

  private retry(tries: number): void {
    this.context.after(Math.min(LONGEST_RETRY, (1 + tries) * FIRST_RETRY), () => {
      this.tryToLoad(tries + 1);
    });
  }

  private use(types: readonly MachineType[]): void {
    this.context.types = new Map(types.map((type) => [type.name, type]));
    this.context.info('machine_types.loaded', { types: types.map((type) => type.name) });
    this.onLoaded();
  }

  /** To be called when this node begins to lead, too. */
  storeIfMissing(): void {
    if (this.stored || this.context.types.size === 0) return;
    this.stored = this.save([...this.context.types.values()]);
  }
}
