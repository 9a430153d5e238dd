/** Network links between named endpoints, each direction separately. A partition delays messages until it ends. */
import type { Micros } from '@shaleyoke/core/domain/time';

/** The partitions of a simulated network. */
export class Network {
  private readonly heldUntil = new Map<string, Micros>();

  constructor(private readonly now: () => Micros) {}

  /** Partitions two endpoints from each other, in both directions. */
  partition(from: string, to: string, length: Micros): void {
    this.partitionOneWay(from, to, length);
    this.partitionOneWay(to, from, length);
  }

  /** Partitions one direction only. */
  partitionOneWay(from: string, to: string, length: Micros): void {
    this.heldUntil.set(`${from}>${to}`, this.now() + length);
  }

  /** For how long a message sent now is delayed. */
  delay(from: string, to: string): Micros {
    return Math.max(0, (this.heldUntil.get(`${from}>${to}`) ?? 0) - this.now());
  }
}
