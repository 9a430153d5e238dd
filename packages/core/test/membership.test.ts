/** Failure detection between controllers: when a peer is suspected, when it no longer is, and what depends on it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';
import type { MembershipSettings } from '@shaleyoke/core/domain/settings';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { type PeerChange, PeerFailureDetector } from '@shaleyoke/core/membership/peer-failure-detector';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { peerHeartbeatOf } from '@shaleyoke/emulator/peer-heartbeat-fixture';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

const ENABLED: MembershipSettings = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
const NAMES = ['n0', 'n1', 'n2'];

/** A failure detector for the single peer `p`, with a clock and heartbeats that the test controls. */
class DetectorFixture {
  /** The time of the fixture's clock. */
  now: Micros = 0;
  /** The detector under test. */
  readonly detector = new PeerFailureDetector(ENABLED, ['p'], () => this.now);
  /** All changes that the detector returned while the clock advanced. */
  readonly changes: PeerChange[] = [];
  private readonly inbox: { at: Micros; heartbeat: PeerHeartbeat }[] = [];
  private lastCheckAt: Micros = 0;

  /** Schedules a heartbeat sent at `at` to arrive after `delay`. */
  send(at: Micros, delay: Micros, heartbeat: PeerHeartbeat): void {
    this.inbox.push({ at: at + delay, heartbeat });
  }

  /** Advances the clock; the detector checks for silent peers once a second, and its own timers fire `timerDelay` late. */
  advanceTo(end: Micros, timerDelay: Micros = 0): void {
    this.inbox.sort((a, b) => a.at - b.at);
    for (; this.now < end;) {
      const next = this.inbox[0];
      const nextCheckAt = this.lastCheckAt + SECOND + timerDelay;
      if (next !== undefined && next.at <= Math.min(nextCheckAt, end)) {
        this.now = Math.max(this.now, next.at);
        this.inbox.shift();
        const change = this.detector.receive(next.heartbeat);
        if (change !== null) this.changes.push(change);
      } else if (nextCheckAt <= end) {
        this.now = nextCheckAt;
        this.lastCheckAt = nextCheckAt;
        this.changes.push(...this.detector.suspectOverduePeers(timerDelay));
      } else this.now = end;
    }
  }

  /** How often the peer was suspected so far. */
  get suspicions(): number {
    return this.changes.filter((change) => change.kind === 'suspected').length;
  }
}

test('a peer that stops is suspected within five seconds, and one heartbeat clears the suspicion', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const fixture = new DetectorFixture();
    // Lost packets are retransmitted, so that their heartbeats arrive late.
    for (let i = 1; i <= 60; i++)
      fixture.send(
        i * SECOND,
        (random.chance(0.02) ? 250 : 1 + random.below(20)) * MILLISECOND,
        peerHeartbeatOf('p', i),
      );
    fixture.advanceTo(60 * SECOND);
    assert.equal(fixture.suspicions, 0, `seed ${seed}`);
    fixture.advanceTo(65 * SECOND);
    assert.equal(fixture.detector.stateOf('p'), 'suspected', `seed ${seed}`);
    fixture.send(70 * SECOND, 0, peerHeartbeatOf('p', 61));
    fixture.advanceTo(71 * SECOND);
    assert.equal(fixture.detector.stateOf('p'), 'alive');
    assert.equal(fixture.changes.at(-1)?.kind, 'alive');
  }
});

test('a peer with irregular heartbeats is suspected later', () => {
  let shortestLimitUs = Infinity;
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed);
    const fixture = new DetectorFixture();
    // A peer on a processor several times slower sends a heartbeat every one to three seconds.
    let sentAt = 0;
    let lastSentAt = 0;
    for (let i = 1; i <= 40; i++) {
      sentAt += (1_000 + random.below(1_900)) * MILLISECOND;
      lastSentAt = sentAt;
      fixture.send(sentAt, 0, peerHeartbeatOf('p', i, { timerDelayUs: SECOND }));
    }
    fixture.advanceTo(lastSentAt);
    assert.equal(fixture.suspicions, 0, `seed ${seed}`);
    fixture.advanceTo(lastSentAt + 13 * SECOND);
    const change = fixture.changes.at(-1);
    assert.equal(change?.kind, 'suspected', 'it is suspected eventually');
    if (change?.kind === 'suspected') shortestLimitUs = Math.min(shortestLimitUs, change.timeoutUs);
  }
  assert.ok(shortestLimitUs > 3 * SECOND);
});

test('a node whose own timers are late, or that was frozen, suspects peers later', () => {
  const fixture = new DetectorFixture();
  for (let i = 1; i <= 20; i++) fixture.send(i * SECOND, 0, peerHeartbeatOf('p', i));
  fixture.advanceTo(20 * SECOND);
  // The node was frozen for 9 s; the peer's heartbeats are in the socket and are read only after the timers.
  fixture.now = 29 * SECOND;
  assert.deepEqual(fixture.detector.suspectOverduePeers(9 * SECOND), []);
  assert.equal(
    fixture.detector.suspectOverduePeers(0).length,
    1,
    'a node whose timers are on time suspects the peer',
  );
});

test('heartbeats that were delayed or came from a replaced process are ignored', () => {
  const fixture = new DetectorFixture();
  assert.equal(fixture.detector.receive(peerHeartbeatOf('p', 5))?.kind, 'alive');
  assert.equal(fixture.detector.receive(peerHeartbeatOf('p', 4)), null);
  assert.equal(fixture.detector.receive(peerHeartbeatOf('p', 5)), null);
  assert.equal(fixture.detector.receive(peerHeartbeatOf('stranger', 9)), null);
  assert.equal(fixture.detector.receive(peerHeartbeatOf('p', 1, { incarnation: 2 }))?.kind, 'restarted');
  fixture.now = 4 * SECOND;
  assert.equal(fixture.detector.suspectOverduePeers(0).length, 1);
  assert.equal(fixture.detector.receive(peerHeartbeatOf('p', 6)), null);
  assert.equal(fixture.detector.stateOf('p'), 'suspected', 'a late heartbeat does not clear the suspicion');
  assert.equal(fixture.detector.receive(peerHeartbeatOf('p', 2, { incarnation: 2 }))?.kind, 'alive');
});

test('a process with a lower incarnation than its predecessor is accepted, a burst of old heartbeats is not', () => {
  const fixture = new DetectorFixture();
  fixture.detector.receive(peerHeartbeatOf('p', 1, { incarnation: 9 }));
  fixture.now = 4 * SECOND;
  assert.equal(fixture.detector.suspectOverduePeers(0).length, 1);
  for (let i = 1; i < 9; i++) {
    fixture.now += 10 * MILLISECOND;
    assert.equal(
      fixture.detector.receive(peerHeartbeatOf('p', i, { incarnation: 3 })),
      null,
      'a burst counts as delayed heartbeats',
    );
  }
  const changes: (PeerChange | null)[] = [];
  for (let i = 9; i < 12; i++) {
    fixture.now += SECOND;
    changes.push(fixture.detector.receive(peerHeartbeatOf('p', i, { incarnation: 3 })));
  }
  assert.deepEqual(
    changes.map((change) => change?.kind),
    [undefined, 'restarted', undefined],
  );
  assert.equal(fixture.detector.stateOf('p'), 'alive');
});

test('a peer counts as having reached the state service when its own heartbeat says it did', () => {
  const fixture = new DetectorFixture();
  fixture.now = 10 * SECOND;
  fixture.detector.receive(peerHeartbeatOf('p', 1, { storeAnswerAgeUs: 2 * SECOND }));
  assert.equal(fixture.detector.peerWithStoreAnswerAfter(7 * SECOND), 'p');
  assert.equal(fixture.detector.peerWithStoreAnswerAfter(8 * SECOND), null);
  fixture.detector.receive(peerHeartbeatOf('p', 2, { storeAnswerAgeUs: null }));
  assert.equal(fixture.detector.peerWithStoreAnswerAfter(0), null);
});

/** The kind of a node's answer to a health request; `none` if it does not answer. */
const healthOf = (simulation: ClusterSimulation, node: number): string => {
  let kind = 'none';
  simulation.users.host.sendRequest(
    node,
    { kind: 'health' },
    (response) => (kind = response?.kind ?? 'none'),
  );
  return kind;
};

/** A cluster with membership enabled and running tasks, and the log of its nodes. */
const startSimulation = (seed: number): { simulation: ClusterSimulation; log: string[] } => {
  const teams = '[[cluster.teams]]\nname = "t"\n';
  const simulation = new ClusterSimulation(new Random(seed), 3, teams, 1e9, 12, '', () => [], 0, ENABLED);
  const log: string[] = [];
  simulation.onLog = (node, event, { of: peer }) =>
    log.push(`${node} ${event} ${typeof peer === 'string' ? peer : ''}`);
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 4; i++)
    simulation.submit(makeJobSpec(`run-${i}`, { tasks: 6, estimatedRunUs: 200 * SECOND }));
  simulation.runFor(30 * SECOND);
  return { simulation, log };
};

test('nodes that lost the state service while a peer reaches it report unavailable; in an outage all stay healthy', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const { simulation } = startSimulation(seed);
    simulation.stateOutage(12 * SECOND);
    for (let i = 0; i < 16; i++) {
      simulation.runFor(SECOND);
      assert.deepEqual(
        [0, 1, 2].map((node) => healthOf(simulation, node)),
        ['healthy', 'healthy', 'healthy'],
        `${i} s`,
      );
    }
    for (const node of [0, 1]) simulation.network.partition(`n${node}`, 'state', 30 * SECOND);
    simulation.runFor(9 * SECOND);
    for (let i = 0; i < 20; i++) {
      simulation.runFor(SECOND);
      assert.deepEqual(
        [0, 1, 2].map((node) => healthOf(simulation, node)),
        ['unavailable', 'unavailable', 'healthy'],
        `seed ${seed}, ${i} s`,
      );
    }
    simulation.runFor(8 * SECOND);
    assert.deepEqual(
      [0, 1, 2].map((node) => healthOf(simulation, node)),
      ['healthy', 'healthy', 'healthy'],
    );
    // Without heartbeats from peers, every node reports healthy.
    for (const first of NAMES)
      for (const second of NAMES)
        if (first < second) simulation.network.partition(first, second, 30 * SECOND);
    simulation.network.partition('n0', 'state', 30 * SECOND);
    simulation.runFor(15 * SECOND);
    assert.equal(healthOf(simulation, 0), 'healthy');
    simulation.runFor(30 * SECOND);
    assert.deepEqual([...new Set(simulation.violations)], []);
  }
});

test('crashes of peers, partitions between them and their ends are detected; the leader does not change', () => {
  const { simulation, log } = startSimulation(9);
  const leader = simulation.nodes.findIndex((node) => node.core?.canActAsLeader());
  const [crashed, other] = [0, 1, 2].filter((i) => i !== leader) as [number, number];
  log.length = 0;
  simulation.crash(crashed, 8 * SECOND);
  simulation.runFor(7 * SECOND);
  for (const observer of [leader, other]) assert.ok(log.includes(`n${observer} peer.suspected n${crashed}`));
  simulation.runFor(6 * SECOND);
  for (const observer of [leader, other]) assert.ok(log.includes(`n${observer} peer.restarted n${crashed}`));
  log.length = 0;
  simulation.network.partition(`n${leader}`, `n${other}`, 10 * SECOND);
  simulation.runFor(14 * SECOND);
  assert.deepEqual(
    log.filter((line) => line.includes('peer.')).sort(),
    [
      `n${other} peer.alive n${leader}`,
      `n${other} peer.suspected n${leader}`,
      `n${leader} peer.alive n${other}`,
      `n${leader} peer.suspected n${other}`,
    ].sort(),
  );
  assert.deepEqual(
    log.filter((line) => line.includes('leader.')),
    [],
    'a suspicion does not change the leader',
  );
  assert.deepEqual(simulation.violations, []);
});

test('a process that restarts at once is accepted at once, even if the wall clock was set back', () => {
  // When incarnations came from the wall clock alone, a process whose clock was up to 100 ms behind its predecessor's was
  // ignored until the peers had suspected it.
  for (const [seed, clockStepMs] of [0, 40, 100, 3_000].entries()) {
    const simulation = new ClusterSimulation(new Random(seed), 5, '[[cluster.teams]]\nname = "t"\n');
    simulation.wallStart = 60 * SECOND;
    simulation.membership = ENABLED;
    for (let i = 0; i < 5; i++) simulation.crash(i, 1);
    simulation.runFor(10 * SECOND);
    const log: string[] = [];
    simulation.onLog = (node, event, fields) => {
      if (event.startsWith('peer.')) log.push(`${node} ${event} ${String(fields['of'])}`);
    };
    // The old incarnation is the wall-clock time of its start; the new one is `clockStepMs` before that.
    simulation.wallStart = 60 * SECOND - simulation.now - clockStepMs * MILLISECOND;
    simulation.crash(2, 50 * MILLISECOND);
    simulation.runFor(4 * SECOND);
    for (const other of ['n0', 'n1', 'n3', 'n4'])
      assert.ok(log.includes(`${other} peer.restarted n2`), `${clockStepMs} ms back: ${log.join('; ')}`);
    assert.equal(log.filter((line) => line.includes('suspected')).length, 0, log.join('; '));
    assert.deepEqual(simulation.violations, []);
  }
});

test('without membership settings no heartbeats are sent', () => {
  const simulation = new ClusterSimulation(new Random(1));
  const kinds = new Set<string>();
  for (const node of simulation.nodes) {
    const { core } = node;
    const step = core!.step.bind(core);
    core!.step = (now, input) => {
      if (input.kind === 'peerMessage') kinds.add(input.message.kind);
      return step(now, input);
    };
  }
  simulation.runFor(10 * SECOND);
  assert.deepEqual([...kinds], ['progress']);
});
