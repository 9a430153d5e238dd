/** Links between named parties, each direction by itself. A cut holds back what is sent until it ends. */
import type { Micros } from '@shaleyoke/core/domain/time';

export class Network {
  private readonly heldUntil = new Map<string, Micros>();

  constructor(private readonly now: () => Micros) {}

  /** Holds back what `from` sends to `to` for so long, and what comes back as well. */
  cut(from: string, to: string, length: Micros): void {
    this.cutOneWay(from, to, length);
    this.cutOneWay(to, from, length);
  }

  cutOneWay(from: string, to: string, length: Micros): void {
    this.heldUntil.set(`${from}>${to}`, this.now() + length);
  }

  /** How long what is sent now is held back. */
  delay(from: string, to: string): Micros {
    return Math.max(0, (this.heldUntil.get(`${from}>${to}`) ?? 0) - this.now());
  }
}
