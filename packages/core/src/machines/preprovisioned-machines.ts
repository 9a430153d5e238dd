/**
 * Which machines were there before any was requested: those of the first list, as long as no request was ever sent. They are put
 * on record, and after them that this is finished, before the first request. So it does not depend on the first leader's
 * surviving its start: one that was back within a second, or the next one, once took all pre-provisioned machines for
 * provisioned ones, and returned those that were idle.
 */
import type { Machine } from '../cluster/cluster-model.js';
import { TERM_KEY } from '../codecs/keys.js';
import { encodeTerm } from '../codecs/leadership-codec.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { FencedWriter } from '../storage/fenced-writer.js';
import type { MachineStore } from '../storage/machine-store.js';

/** A record that is not confirmed by then is left to the machine's next one: scale-out can't wait for it for ever. */
const CONFIRMATION_TIMEOUT: Micros = 10 * SECOND;

/** Records the pre-provisioned machines once in the life of a cluster; until then nothing is provisioned. */
export class PreprovisionedMachines {
  private state: 'open' | 'recording' | 'closing' | 'closed';

  /** `closed` is called once machines may be provisioned. */
  constructor(
    private readonly term: LeaderTerm,
    private readonly store: MachineStore,
    private readonly writer: FencedWriter,
    private readonly closed: () => void,
  ) {
    this.state = term.lease.firstTerm ? 'open' : 'closed';
    // The same transaction wrote both keys.
    writer.rememberVersion(TERM_KEY, term.lease.keyVersion);
  }

  /** Whether a list that comes now shows the pre-provisioned machines. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether machines may be provisioned. */
  get canProvision(): boolean {
    return this.state === 'closed';
  }

  /** Records the machines of the first list; none where it did not come in time. */
  recordFirstList(machines: readonly Machine[]): void {
    if (this.state !== 'open') return;
    this.state = 'recording';
    const unconfirmed = new Set(machines);
    for (const machine of machines) {
      machine.preprovisioned = true;
      this.store.put(machine, () => {
        if (machine.recorded === 'no') machine.recorded = 'yes';
        unconfirmed.delete(machine);
        if (unconfirmed.size === 0) this.close();
      });
    }
    if (unconfirmed.size === 0) this.close();
    else
      this.term.after(CONFIRMATION_TIMEOUT, () => {
        this.close();
      });
  }

  /** Puts on record that the pre-provisioned machines are known. */
  private close(): void {
    if (this.state !== 'recording') return;
    this.state = 'closing';
    this.writer.put(
      TERM_KEY,
      () => encodeTerm({ number: this.term.number, first: false }),
      () => {
        this.state = 'closed';
        this.logRecorded();
        this.closed();
      },
    );
  }

  private logRecorded(): void {
    let machines = 0;
    for (const machine of this.term.cluster.machines.values()) if (machine.preprovisioned) machines++;
    this.term.context.info('autoscaler.preprovisioned_recorded', { machines });
  }
}
