/** A digest of the messages that controllers send: their bytes, order and simulated times. */
import { createHash } from 'node:crypto';

import type { CoreEffect } from '@shaleyoke/core/domain/effects';
import type { Micros } from '@shaleyoke/core/domain/time';

import { encodeEffect, type FeatureAnswerEncoder } from './message-encoding.js';

/** Accumulates the digest, and counts messages by kind. */
export class MessageDigest {
  private readonly hash = createHash('sha256');
  /** Number of messages of each kind in the digest. */
  readonly counts = new Map<CoreEffect['kind'], number>();

  constructor(
    private readonly encodeFeatureAnswer: FeatureAnswerEncoder,
    /** Receives a line for each message, for a comparison message by message; null for the digest alone. */
    private readonly trace: ((line: string) => void) | null = null,
  ) {}

  /** Adds the message of an effect; effects that send nothing are ignored. */
  add(atUs: Micros, node: string, effect: CoreEffect): void {
    const message = encodeEffect(effect, this.encodeFeatureAnswer);
    if (message === null) return;
    this.counts.set(effect.kind, (this.counts.get(effect.kind) ?? 0) + 1);
    const header = `${atUs} ${node} ${message.header} ${message.body.length}\n`;
    this.hash.update(header);
    this.hash.update(message.body);
    // Latin-1 preserves every byte and keeps names in MessagePack bodies readable.
    this.trace?.(`${header.trimEnd()} ${JSON.stringify(message.body.toString('latin1'))}`);
  }

  /** Total number of messages in the digest. */
  get messageCount(): number {
    let sum = 0;
    for (const count of this.counts.values()) sum += count;
    return sum;
  }

  /** Returns the digest of all added messages; may be called only once. */
  finish(): string {
    return this.hash.digest('hex').slice(0, 32);
  }
}
