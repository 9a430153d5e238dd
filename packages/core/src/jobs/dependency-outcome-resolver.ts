/** Reads how jobs ended, a few at a time: after taking over, every job that something still waits for. */
import type { NodeContext } from '../node/node-context.js';
import type { JobOutcome } from './dependencies.js';
import { endedKey } from '../codecs/keys.js';
import { MILLI, SECOND, type Micros } from '../domain/time.js';
import { decodeEndedJob } from '../codecs/job-codec.js';

const AT_ONCE = 6;

export class DependencyOutcomeResolver {
  private readonly asked = new Set<string>();
  private readonly queue: string[] = [];
  private under = 0;

  constructor(
    private readonly ctx: NodeContext,
    private readonly active: () => boolean,
    /** Whether somebody still waits for it, and it has left the jobs that have not ended. */
    private readonly open: (id: string) => boolean,
    private readonly found: (id: string, end: JobOutcome) => void,
  ) {}

  ask(id: string): void {
    if (this.asked.has(id)) return;
    this.asked.add(id);
    this.queue.push(id);
    this.next();
  }

  private next(): void {
    while (this.under < AT_ONCE) {
      const id = this.queue.shift();
      if (id === undefined) return;
      this.under++;
      this.read(id);
    }
  }

  private read(id: string): void {
    this.ctx.requestStore({ kind: 'get', key: endedKey(id) }, 1, (r) => {
      if (!this.active()) return;
      this.under--;
      this.asked.delete(id);
      const rec = r.kind === 'item' ? decodeEndedJob(r.item.value) : null;
      if (rec !== null) this.found(id, { stage: rec.stage, at: rec.endedAt });
      else {
        if (r.kind === 'item') this.ctx.error('job.record_unreadable', { job: id });
        // Not there: it has not ended yet, and this leader is still to hear that it was accepted.
        const delay: Micros = r.kind === 'item' ? 10 * SECOND : 400 * MILLI;
        this.ctx.after(delay, () => {
          if (this.active() && this.open(id)) this.ask(id);
        });
      }
      this.next();
    });
  }
}
