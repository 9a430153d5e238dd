/** Simulated time: what is planned happens in the order of its moments, and of its planning. */
import type { Micros } from '@shaleyoke/core/model';

interface Planned {
  readonly at: Micros;
  readonly order: number;
  readonly run: () => void;
}

export class Timeline {
  now: Micros = 0;
  private queue: Planned[] = [];
  private order = 0;

  plan(delay: Micros, run: () => void): void {
    this.queue.push({ at: this.now + Math.max(1, Math.round(delay)), order: this.order++, run });
  }

  /** Plays what is planned until then. */
  playTo(target: Micros): void {
    for (;;) {
      let first: Planned | null = null;
      for (const p of this.queue)
        if (
          p.at <= target &&
          (first === null || p.at < first.at || (p.at === first.at && p.order < first.order))
        )
          first = p;
      if (first === null) break;
      this.queue.splice(this.queue.indexOf(first), 1);
      this.now = Math.max(this.now, first.at);
      first.run();
    }
    this.now = target;
  }
}
