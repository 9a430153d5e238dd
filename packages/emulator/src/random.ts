/** Random numbers for simulations and generated tests: the same seed gives the same sequence. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A seeded random number generator (xoroshiro128+). */
export class Random {
  private readonly generator: RandomGenerator;
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }
  /** A number in [0, 1). */
  next(): number {
    return uniformFloat64(this.generator);
  }
  /** An integer in [0, limit); 0 if the limit is below 1. */
  below(limit: number): number {
    return limit <= 1 ? 0 : uniformInt(this.generator, 0, limit - 1);
  }
  /** True with this probability. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }
}
