/**
 * The detector by itself: how soon a peer that ended is suspected, and how often one that lives is, by loss, freezes and slowness.
 * Prints a table. Beats go over a link that sends a lost packet again after 0.2 s, twice as long each time, as TCP does.
 *
 *     npx tsx packages/emulator/tools/detector.ts [HOURS]
 */
import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';
import type { MembershipSettings } from '@shaleyoke/core/domain/settings';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { PeerFailureDetector } from '@shaleyoke/core/membership/peer-failure-detector';

import { beatOf } from '../src/beats.js';
import { Random } from '../src/random.js';

const ON: MembershipSettings = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };

interface Case {
  readonly name: string;
  /** Chance that a packet is lost. */
  readonly loss: number;
  /** How much longer than a second the sender takes from beat to beat, at most. */
  readonly slow: Micros;
  /** The sender stands still that long, once in two minutes. */
  readonly freeze: Micros;
  /** How late the watcher's own timers fire, at most. */
  readonly late: Micros;
}

const quiet: Case = { name: 'nothing', loss: 0.0003, slow: 20 * MILLI, freeze: 0, late: 20 * MILLI };
const CASES: Case[] = [
  quiet,
  { ...quiet, name: 'loss 1%', loss: 0.01 },
  { ...quiet, name: 'loss 5%', loss: 0.05 },
  { ...quiet, name: 'sender 2 times slower', slow: SECOND },
  { ...quiet, name: 'sender 8 times slower', slow: 7 * SECOND },
  { ...quiet, name: 'watcher late by up to 2 s', late: 2 * SECOND },
  { ...quiet, name: 'sender stands still for 1 s', freeze: SECOND },
  { ...quiet, name: 'sender stands still for 5 s', freeze: 5 * SECOND },
  { ...quiet, name: 'sender stands still for 33 s', freeze: 33 * SECOND },
  { name: 'loss 5%, 2 times slower, late by 1 s', loss: 0.05, slow: SECOND, freeze: 0, late: SECOND },
];

interface Heard {
  readonly at: Micros;
  readonly beat: PeerHeartbeat;
}

/** The beats of a sender that ends at `end`, as they arrive. */
const beats = (c: Case, r: Random, end: Micros): Heard[] => {
  const out: Heard[] = [];
  let at: Micros = 0;
  let nextFreeze: Micros = c.freeze > 0 ? 60 * SECOND : Infinity;
  let last: Micros = 0;
  for (let seq = 1; ; seq++) {
    at += SECOND + r.below(c.slow + 1);
    if (at >= nextFreeze) {
      at += c.freeze;
      nextFreeze += 120 * SECOND;
    }
    if (at >= end) return out;
    let delay = 1 * MILLI;
    for (let again = 200 * MILLI; r.chance(c.loss); again *= 2) delay += again;
    // One connection: what comes after a lost packet waits for it.
    last = Math.max(last, at + delay);
    out.push({ at: last, beat: beatOf('p', seq) });
  }
};

const play = (c: Case, r: Random, end: Micros): { wrong: number; found: Micros } => {
  let now: Micros = 0;
  const members = new PeerFailureDetector(ON, ['p'], () => now);
  const inbox = beats(c, r, end);
  let wrong = 0;
  for (let i = 0, look = SECOND; ;) {
    const next = inbox[i];
    if (next !== undefined && next.at <= look) {
      now = next.at;
      members.receive(next.beat);
      i++;
      continue;
    }
    now = look;
    const late = r.below(c.late + 1);
    if (members.suspectSilentPeers(late).length > 0) {
      if (now >= end) return { wrong, found: now - end };
      wrong++;
    } else if (now >= end && members.stateOf('p') === 'suspected') return { wrong, found: 0 };
    look += SECOND + late;
  }
};

const hours = Number(process.argv[2] ?? 20);
console.log('| case | suspected wrongly, an hour | a peer that ended: median | worst |');
console.log('| --- | --- | --- | --- |');
for (const [k, c] of CASES.entries()) {
  const found: Micros[] = [];
  let wrong = 0;
  for (let h = 0; h < hours; h++) {
    const p = play(c, new Random(1_000 * k + h + 1), 3_600 * SECOND + ((h * 377) % 1_000) * MILLI);
    wrong += p.wrong;
    found.push(p.found);
  }
  found.sort((a, b) => a - b);
  const s = (us: Micros): string => (us / SECOND).toFixed(1);
  console.log(
    `| ${c.name} | ${(wrong / hours).toFixed(2)} | ${s(found[Math.floor(found.length / 2)]!)} s | ${s(found.at(-1)!)} s |`,
  );
}
