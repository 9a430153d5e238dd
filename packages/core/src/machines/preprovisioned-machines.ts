/**
 * Determines the pre-provisioned machines: those in the cloud's first list, taken before the cluster's first provisioning
 * request. They are stored, then the fact that all of them are, before that request is sent. The result therefore survives a
 * crash of the first leader: a leader that restarted within a second, or its successor, once took all pre-provisioned
 * machines for provisioned ones and deleted the idle ones.
 */
import type { Machine } from '../cluster/cluster-model.js';
import { TERM_KEY } from '../codecs/keys.js';
import { encodeTerm } from '../codecs/leadership-codec.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { FencedWriter } from '../storage/fenced-writer.js';
import type { MachineStore } from '../storage/machine-store.js';

/** Longest wait for the machine records, so that scale-out isn't blocked; unconfirmed ones are left to the next write. */
const CONFIRMATION_TIMEOUT: Micros = 10 * SECOND;

/** Records the pre-provisioned machines once in the lifetime of a cluster; until then nothing is provisioned. */
export class PreprovisionedMachines {
  /** Waiting for the first list; storing its machines; storing that they are complete; done. */
  private state: 'open' | 'recording' | 'closing' | 'closed';

  /** `onRecorded` is called once machines may be provisioned. */
  constructor(
    private readonly term: LeaderTerm,
    private readonly store: MachineStore,
    private readonly writer: FencedWriter,
    private readonly onRecorded: () => void,
  ) {
    this.state = term.lease.firstTerm ? 'open' : 'closed';
    // The transaction that wrote the leader key also wrote this one, so both have the same version.
    writer.rememberVersion(TERM_KEY, term.lease.keyVersion);
  }

  /** Whether the next list shows the pre-provisioned machines. */
  get acceptsFirstList(): boolean {
    return this.state === 'open';
  }

  /** Whether machines may be provisioned: all pre-provisioned ones are recorded. */
  get canProvision(): boolean {
    return this.state === 'closed';
  }

  /** Records the machines of the first list; `machines` is empty if the list did not arrive in time. */
  recordFirstList(machines: readonly Machine[]): void {
    if (this.state !== 'open') return;
    this.state = 'recording';
    const unconfirmed = new Set(machines);
    for (const machine of machines) {
      machine.preprovisioned = true;
      this.store.put(machine, () => {
        if (machine.recorded === 'no') machine.recorded = 'yes';
        unconfirmed.delete(machine);
        if (unconfirmed.size === 0) this.recordCompletion();
      });
    }
    if (unconfirmed.size === 0) this.recordCompletion();
    else
      this.term.after(CONFIRMATION_TIMEOUT, () => {
        this.recordCompletion();
      });
  }

  /** Records that all pre-provisioned machines are recorded. */
  private recordCompletion(): void {
    if (this.state !== 'recording') return;
    this.state = 'closing';
    this.writer.put(
      TERM_KEY,
      () => encodeTerm({ number: this.term.number, first: false }),
      () => {
        this.state = 'closed';
        this.logRecorded();
        this.onRecorded();
      },
    );
  }

  private logRecorded(): void {
    let machines = 0;
    for (const machine of this.term.cluster.machines.values()) if (machine.preprovisioned) machines++;
    this.term.context.info('autoscaler.preprovisioned_recorded', { machines });
  }
}
