/** A digest of all bytes that controllers send, in the order and at the simulated times at which they send them. */
import { createHash } from 'node:crypto';

import type { CoreEffect } from '@shaleyoke/core/domain/effects';
import type { Micros } from '@shaleyoke/core/domain/time';

import { encodeEffect, type FeatureAnswerEncoder } from './message-encoding.js';

export class MessageDigest {
  private readonly hash = createHash('sha256');
  /** Messages of each kind that went into the digest. */
  readonly counts = new Map<CoreEffect['kind'], number>();

  constructor(
    private readonly encodeFeatureAnswer: FeatureAnswerEncoder,
    /** Receives a line for each message; null where nobody compares them one by one. */
    private readonly trace: ((line: string) => void) | null = null,
  ) {}

  /** Adds what the effect sends, if anything. */
  add(atUs: Micros, node: string, effect: CoreEffect): void {
    const message = encodeEffect(effect, this.encodeFeatureAnswer);
    if (message === null) return;
    this.counts.set(effect.kind, (this.counts.get(effect.kind) ?? 0) + 1);
    const head = `${atUs} ${node} ${message.head} ${message.body.length}\n`;
    this.hash.update(head);
    this.hash.update(message.body);
    // Latin-1 keeps the names in a MessagePack body legible and loses no byte.
    this.trace?.(`${head.trimEnd()} ${JSON.stringify(message.body.toString('latin1'))}`);
  }

  get messages(): number {
    let sum = 0;
    for (const count of this.counts.values()) sum += count;
    return sum;
  }

  /** The digest of all that was added; may be called once. */
  finish(): string {
    return this.hash.digest('hex').slice(0, 32);
  }
}
