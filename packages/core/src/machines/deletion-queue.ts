/** Deletes machines in the cloud, in batches; failed calls are repeated until the cloud confirms them. */
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { AutoscalerHost } from './autoscaler-host.js';
import type { CapacityOffers } from './capacity-offers.js';

/** Maximum number of machines per delete call. */
const MAX_BATCH = 100;
const RETRY_DELAY: Micros = SECOND;
/** Urgency of deletions, ahead of all other calls. */
const URGENCY = 0;

/** Queues machines for deletion and sends one delete call at a time. */
export class DeletionQueue {
  private queued: string[] = [];
  private inFlight = false;

  constructor(
    private readonly context: NodeContext,
    private readonly host: Pick<AutoscalerHost, 'find' | 'remove' | 'isActive'>,
    private readonly offers: CapacityOffers,
  ) {}

  /** Queues a machine for deletion; the cloud's answer proves that everything on it is gone. */
  add(name: string): void {
    if (!this.queued.includes(name)) this.queued.push(name);
    this.flush();
  }

  private flush(): void {
    if (this.inFlight || this.queued.length === 0) return;
    this.inFlight = true;
    const batch = this.queued.slice(0, MAX_BATCH);
    this.context.requestCloud({ kind: 'delete', machines: batch }, URGENCY, (reply) => {
      this.inFlight = false;
      if (!this.host.isActive()) return;
      if (reply.kind === 'deleted') {
        this.recordDeleted(batch);
        this.flush();
      } else
        this.context.after(RETRY_DELAY, () => {
          if (this.host.isActive()) this.flush();
        });
    });
  }

  private recordDeleted(names: readonly string[]): void {
    this.queued = this.queued.filter((name) => !names.includes(name));
    for (const name of names) {
      const machine = this.host.find(name);
      if (machine === undefined) continue;
      this.offers.recordFreed(machine);
      this.host.remove(machine, 'deleted');
    }
  }
}
