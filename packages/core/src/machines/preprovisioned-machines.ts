/**
 * Which machines stood ready before anything was rented: those of the first list, as long as no booking was ever sent. They
 * are put on record, and that this is done with, before the first booking. So it does not hang on the first leader's living
 * through its start: one that was back within a second, or the next one, once took all that stood ready for rented machines,
 * and returned what was idle.
 */
import { TERM } from '../codecs/keys.js';
import { SECOND, type Micros } from '../domain/time.js';
import { encodeTerm } from '../codecs/leadership-codec.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Machine } from '../cluster/cluster-model.js';
import type { MachineStore } from '../storage/machine-store.js';
import type { FencedWriter } from '../storage/fenced-writer.js';

/** A record that is not confirmed by then is left to the machine's next one: renting can't wait for it for ever. */
const CONFIRMED: Micros = 10 * SECOND;

export class PreprovisionedMachines {
  private state: 'open' | 'recording' | 'closing' | 'closed';

  constructor(
    private readonly term: LeaderTerm,
    private readonly roster: MachineStore,
    private readonly writer: FencedWriter,
    private readonly closed: () => void,
  ) {
    this.state = term.lease.firstTerm ? 'open' : 'closed';
    // The same transaction wrote both keys.
    writer.rememberVersion(TERM, term.lease.keyVersion);
  }

  /** A list that comes now shows what stood ready. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Anything may be rented. */
  get canProvision(): boolean {
    return this.state === 'closed';
  }

  /** The machines of the first list; none where it did not come in time. */
  recordFirstList(machines: readonly Machine[]): void {
    if (this.state !== 'open') return;
    this.state = 'recording';
    const open = new Set(machines);
    for (const m of machines) {
      m.preprovisioned = true;
      this.roster.put(m, () => {
        if (m.recorded === 'no') m.recorded = 'yes';
        open.delete(m);
        if (open.size === 0) this.close();
      });
    }
    if (open.size === 0) this.close();
    else
      this.term.after(CONFIRMED, () => {
        this.close();
      });
  }

  private close(): void {
    if (this.state !== 'recording') return;
    this.state = 'closing';
    this.writer.put(
      TERM,
      () => encodeTerm({ number: this.term.number, first: false }),
      () => {
        this.state = 'closed';
        this.term.ctx.info('autoscaler.preprovisioned_recorded', {
          machines: [...this.term.cluster.machines.values()].filter((m) => m.preprovisioned).length,
        });
        this.closed();
      },
    );
  }
}
