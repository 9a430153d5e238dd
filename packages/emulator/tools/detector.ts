/**
 * Measures the peer failure detector in isolation, with packet loss, frozen and slow senders and delayed timers: how soon
 * it suspects a stopped peer, and how often a live one. Prints a table. Heartbeats are sent over a link that retransmits a
 * lost packet after 0.2 s and doubles the delay each time, as TCP does.
 *
 *     npx tsx packages/emulator/tools/detector.ts [HOURS]
 */
import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';
import type { MembershipSettings } from '@shaleyoke/core/domain/settings';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { PeerFailureDetector } from '@shaleyoke/core/membership/peer-failure-detector';

import { peerHeartbeatOf } from '../src/peer-heartbeat-fixture.js';
import { Random } from '../src/random.js';

const SETTINGS: MembershipSettings = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };

interface TestCase {
  readonly name: string;
  /** Probability that a packet is lost. */
  readonly lossRate: number;
  /** Upper bound of the random time by which the interval between heartbeats exceeds one second. */
  readonly extraIntervalUs: Micros;
  /** How long the sender is frozen every two minutes. */
  readonly freezeUs: Micros;
  /** Upper bound of the random delay of the detector's own timers. */
  readonly timerDelayUs: Micros;
}

const BASELINE: TestCase = {
  name: 'baseline',
  lossRate: 0.0003,
  extraIntervalUs: 20 * MILLISECOND,
  freezeUs: 0,
  timerDelayUs: 20 * MILLISECOND,
};
const CASES: TestCase[] = [
  BASELINE,
  { ...BASELINE, name: 'loss 1%', lossRate: 0.01 },
  { ...BASELINE, name: 'loss 5%', lossRate: 0.05 },
  { ...BASELINE, name: 'sender up to 2 times slower', extraIntervalUs: SECOND },
  { ...BASELINE, name: 'sender up to 8 times slower', extraIntervalUs: 7 * SECOND },
  { ...BASELINE, name: 'timers of the detector up to 2 s late', timerDelayUs: 2 * SECOND },
  { ...BASELINE, name: 'sender frozen for 1 s', freezeUs: SECOND },
  { ...BASELINE, name: 'sender frozen for 5 s', freezeUs: 5 * SECOND },
  { ...BASELINE, name: 'sender frozen for 33 s', freezeUs: 33 * SECOND },
  {
    name: 'loss 5%, sender up to 2 times slower, timers up to 1 s late',
    lossRate: 0.05,
    extraIntervalUs: SECOND,
    freezeUs: 0,
    timerDelayUs: SECOND,
  },
];

interface ReceivedHeartbeat {
  readonly at: Micros;
  readonly heartbeat: PeerHeartbeat;
}

/** Generates the heartbeats of a sender that stops at `end`, in order of arrival. */
const generateHeartbeats = (testCase: TestCase, random: Random, end: Micros): ReceivedHeartbeat[] => {
  const received: ReceivedHeartbeat[] = [];
  let at: Micros = 0;
  let nextFreeze: Micros = testCase.freezeUs > 0 ? 60 * SECOND : Infinity;
  let lastArrival: Micros = 0;
  for (let sequence = 1; ; sequence++) {
    at += SECOND + random.below(testCase.extraIntervalUs + 1);
    if (at >= nextFreeze) {
      at += testCase.freezeUs;
      nextFreeze += 120 * SECOND;
    }
    if (at >= end) return received;
    let delay = 1 * MILLISECOND;
    for (let retransmitDelay = 200 * MILLISECOND; random.chance(testCase.lossRate); retransmitDelay *= 2)
      delay += retransmitDelay;
    // All heartbeats use one connection, so later ones wait for the retransmission of a lost packet.
    lastArrival = Math.max(lastArrival, at + delay);
    received.push({ at: lastArrival, heartbeat: peerHeartbeatOf('p', sequence) });
  }
};

const simulate = (
  testCase: TestCase,
  random: Random,
  end: Micros,
): { falseSuspicions: number; detectionTime: Micros } => {
  let now: Micros = 0;
  const detector = new PeerFailureDetector(SETTINGS, ['p'], () => now);
  const heartbeats = generateHeartbeats(testCase, random, end);
  let falseSuspicions = 0;
  for (let i = 0, nextCheck = SECOND; ;) {
    const next = heartbeats[i];
    if (next !== undefined && next.at <= nextCheck) {
      now = next.at;
      detector.receive(next.heartbeat);
      i++;
      continue;
    }
    now = nextCheck;
    const timerDelay = random.below(testCase.timerDelayUs + 1);
    if (detector.suspectOverduePeers(timerDelay).length > 0) {
      if (now >= end) return { falseSuspicions, detectionTime: now - end };
      falseSuspicions++;
    } else if (now >= end && detector.stateOf('p') === 'suspected')
      return { falseSuspicions, detectionTime: 0 };
    nextCheck += SECOND + timerDelay;
  }
};

const HOURS = Number(process.argv[2] ?? 20);
console.log('| case | false suspicions per hour | detection of a stopped peer: median | worst |');
console.log('| --- | --- | --- | --- |');
for (const [caseIndex, testCase] of CASES.entries()) {
  const detectionTimes: Micros[] = [];
  let falseSuspicions = 0;
  for (let hour = 0; hour < HOURS; hour++) {
    const result = simulate(
      testCase,
      new Random(1_000 * caseIndex + hour + 1),
      3_600 * SECOND + ((hour * 377) % 1_000) * MILLISECOND,
    );
    falseSuspicions += result.falseSuspicions;
    detectionTimes.push(result.detectionTime);
  }
  detectionTimes.sort((a, b) => a - b);
  const toSeconds = (us: Micros): string => (us / SECOND).toFixed(1);
  console.log(
    `| ${testCase.name} | ${(falseSuspicions / HOURS).toFixed(2)} | ${toSeconds(detectionTimes[Math.floor(detectionTimes.length / 2)]!)} s | ${toSeconds(detectionTimes.at(-1)!)} s |`,
  );
}
