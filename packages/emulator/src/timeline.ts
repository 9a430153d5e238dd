/** Simulated time: what is planned happens in the order of its moments, and of its planning. */
import type { Micros } from '@shaleyoke/core/domain/time';

interface Planned {
  readonly at: Micros;
  readonly order: number;
  readonly run: () => void;
}

const before = (a: Planned, b: Planned): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

export class Timeline {
  now: Micros = 0;
  /** A binary heap, the next first: hundreds of workers plan thousands of moments. */
  private readonly queue: Planned[] = [];
  private order = 0;

  plan(delay: Micros, run: () => void): void {
    const { queue } = this;
    const p = { at: this.now + Math.max(1, Math.round(delay)), order: this.order++, run };
    let i = queue.push(p) - 1;
    for (;;) {
      const up = (i - 1) >> 1;
      if (i === 0 || !before(p, queue[up]!)) break;
      queue[i] = queue[up]!;
      i = up;
    }
    queue[i] = p;
  }

  private take(): Planned {
    const { queue } = this;
    const first = queue[0]!;
    const last = queue.pop()!;
    if (queue.length === 0) return first;
    let i = 0;
    for (;;) {
      let least = 2 * i + 1;
      if (least >= queue.length) break;
      if (least + 1 < queue.length && before(queue[least + 1]!, queue[least]!)) least++;
      if (!before(queue[least]!, last)) break;
      queue[i] = queue[least]!;
      i = least;
    }
    queue[i] = last;
    return first;
  }

  /** Plays what is planned until then. */
  playTo(target: Micros): void {
    while (this.queue.length > 0 && this.queue[0]!.at <= target) {
      const next = this.take();
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = target;
  }
}
