/**
 * Which machines stood ready before anything was rented: those of the first list, as long as no booking was ever sent. They
 * are put on record, and that this is done with, before the first booking. So it does not hang on the first leader's living
 * through its start: one that was back within a second, or the next one, once took all that stood ready for rented machines,
 * and returned what was idle.
 */
import { TERM } from '../codecs/keys.js';
import { SECOND, type Micros } from '../domain/time.js';
import { encodeTerm } from '../codecs/leadership-codec.js';
import type { Term } from '../leadership/leader-term.js';
import type { Machine } from '../cluster/cluster-model.js';
import type { Roster } from '../storage/machine-store.js';
import type { Writer } from '../storage/fenced-writer.js';

/** A record that is not confirmed by then is left to the machine's next one: renting can't wait for it for ever. */
const CONFIRMED: Micros = 10 * SECOND;

export class Standing {
  private state: 'open' | 'recording' | 'closing' | 'closed';

  constructor(
    private readonly term: Term,
    private readonly roster: Roster,
    private readonly writer: Writer,
    private readonly closed: () => void,
  ) {
    this.state = term.office.first ? 'open' : 'closed';
    // The same transaction wrote both keys.
    writer.know(TERM, term.office.version);
  }

  /** A list that comes now shows what stood ready. */
  get open(): boolean {
    return this.state === 'open';
  }

  /** Anything may be rented. */
  get settled(): boolean {
    return this.state === 'closed';
  }

  /** The machines of the first list; none where it did not come in time. */
  settle(machines: readonly Machine[]): void {
    if (this.state !== 'open') return;
    this.state = 'recording';
    const open = new Set(machines);
    for (const m of machines) {
      m.standing = true;
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
      () => encodeTerm({ number: this.term.no, first: false }),
      () => {
        this.state = 'closed';
        this.term.ctx.info('fleet.standing', {
          machines: [...this.term.estate.machines.values()].filter((m) => m.standing).length,
        });
        this.closed();
      },
    );
  }
}
