/** Failure detection between controllers: suspicion, its end, and what follows from it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';
import type { MembershipSettings } from '@shaleyoke/core/domain/settings';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { type PeerChange, PeerFailureDetector } from '@shaleyoke/core/membership/peer-failure-detector';
import { beatOf } from '@shaleyoke/emulator/beats';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';

const ENABLED: MembershipSettings = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
const NAMES = ['n0', 'n1', 'n2'];

/** A failure detector that observes one peer, with a clock of its own. */
class Watch {
  now: Micros = 0;
  readonly members = new PeerFailureDetector(ENABLED, ['p'], () => this.now);
  readonly changes: PeerChange[] = [];
  private readonly inbox: { at: Micros; heartbeat: PeerHeartbeat }[] = [];
  private checked: Micros = 0;

  /** The heartbeat arrives after `delay`. */
  send(at: Micros, delay: Micros, heartbeat: PeerHeartbeat): void {
    this.inbox.push({ at: at + delay, heartbeat });
  }

  /** Advances the clock; the detector checks for silence once a second, and its own timers are `late`. */
  advanceTo(end: Micros, late: Micros = 0): void {
    this.inbox.sort((a, b) => a.at - b.at);
    for (; this.now < end;) {
      const next = this.inbox[0];
      const look = this.checked + SECOND + late;
      if (next !== undefined && next.at <= Math.min(look, end)) {
        this.now = Math.max(this.now, next.at);
        this.inbox.shift();
        const change = this.members.receive(next.heartbeat);
        if (change !== null) this.changes.push(change);
      } else if (look <= end) {
        this.now = look;
        this.checked = look;
        this.changes.push(...this.members.suspectSilentPeers(late));
      } else this.now = end;
    }
  }

  get suspicions(): number {
    return this.changes.filter((change) => change.kind === 'suspected').length;
  }
}

test('a peer that stops is suspected within five seconds, and one heartbeat ends the suspicion', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const watch = new Watch();
    // Lost packets are sent again: that heartbeat arrives late, but it does arrive.
    for (let i = 1; i <= 60; i++)
      watch.send(i * SECOND, (random.chance(0.02) ? 250 : 1 + random.below(20)) * MILLI, beatOf('p', i));
    watch.advanceTo(60 * SECOND);
    assert.equal(watch.suspicions, 0, `seed ${seed}`);
    watch.advanceTo(65 * SECOND);
    assert.equal(watch.members.stateOf('p'), 'suspected', `seed ${seed}`);
    watch.send(70 * SECOND, 0, beatOf('p', 61));
    watch.advanceTo(71 * SECOND);
    assert.equal(watch.members.stateOf('p'), 'alive');
    assert.equal(watch.changes.at(-1)?.kind, 'alive');
  }
});

test('a peer with uneven heartbeats is given more time', () => {
  let least = Infinity;
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed);
    const watch = new Watch();
    // A peer that computes several times slower: a heartbeat every one to three seconds.
    let at = 0;
    let last = 0;
    for (let i = 1; i <= 40; i++) {
      at += (1_000 + random.below(1_900)) * MILLI;
      last = at;
      watch.send(at, 0, beatOf('p', i, { timerDelayUs: SECOND }));
    }
    watch.advanceTo(last);
    assert.equal(watch.suspicions, 0, `seed ${seed}`);
    watch.advanceTo(last + 13 * SECOND);
    const change = watch.changes.at(-1);
    assert.equal(change?.kind, 'suspected', 'but not for ever');
    if (change?.kind === 'suspected') least = Math.min(least, change.timeoutUs);
  }
  assert.ok(least > 3 * SECOND);
});

test('a node that is late itself, or was frozen, suspects others later', () => {
  const watch = new Watch();
  for (let i = 1; i <= 20; i++) watch.send(i * SECOND, 0, beatOf('p', i));
  watch.advanceTo(20 * SECOND);
  // Frozen for 9 s; the peer's heartbeats wait in the socket and are read after the timers.
  watch.now = 29 * SECOND;
  assert.deepEqual(watch.members.suspectSilentPeers(9 * SECOND), []);
  assert.equal(
    watch.members.suspectSilentPeers(0).length,
    1,
    'a node whose timers are in time would not wait',
  );
});

test('heartbeats that were delayed, or of a process that was replaced, are ignored', () => {
  const watch = new Watch();
  assert.equal(watch.members.receive(beatOf('p', 5))?.kind, 'alive');
  assert.equal(watch.members.receive(beatOf('p', 4)), null);
  assert.equal(watch.members.receive(beatOf('p', 5)), null);
  assert.equal(watch.members.receive(beatOf('stranger', 9)), null);
  assert.equal(watch.members.receive(beatOf('p', 1, { incarnation: 2 }))?.kind, 'restarted');
  watch.now = 4 * SECOND;
  assert.equal(watch.members.suspectSilentPeers(0).length, 1);
  assert.equal(watch.members.receive(beatOf('p', 6)), null);
  assert.equal(watch.members.stateOf('p'), 'suspected', 'a late heartbeat does not end the suspicion');
  assert.equal(watch.members.receive(beatOf('p', 2, { incarnation: 2 }))?.kind, 'alive');
});

test('a process whose clock is behind that of the one before is accepted, a burst of old heartbeats is not', () => {
  const watch = new Watch();
  watch.members.receive(beatOf('p', 1, { incarnation: 9 }));
  watch.now = 4 * SECOND;
  assert.equal(watch.members.suspectSilentPeers(0).length, 1);
  for (let i = 1; i < 9; i++) {
    watch.now += 10 * MILLI;
    assert.equal(watch.members.receive(beatOf('p', i, { incarnation: 3 })), null, 'all at once: delayed');
  }
  const changes: (PeerChange | null)[] = [];
  for (let i = 9; i < 12; i++) {
    watch.now += SECOND;
    changes.push(watch.members.receive(beatOf('p', i, { incarnation: 3 })));
  }
  assert.deepEqual(
    changes.map((change) => change?.kind),
    [undefined, 'restarted', undefined],
  );
  assert.equal(watch.members.stateOf('p'), 'alive');
});

test('whether a peer reaches the state service is known as of its own report', () => {
  const watch = new Watch();
  watch.now = 10 * SECOND;
  watch.members.receive(beatOf('p', 1, { storeAnswerAgeUs: 2 * SECOND }));
  assert.equal(watch.members.peerWithStoreAnswerAfter(7 * SECOND), 'p');
  assert.equal(watch.members.peerWithStoreAnswerAfter(8 * SECOND), null);
  watch.members.receive(beatOf('p', 2, { storeAnswerAgeUs: null }));
  assert.equal(watch.members.peerWithStoreAnswerAfter(0), null);
});

// ---- whole clusters ------------------------------------------------------------------------------

const healthy = (simulation: ClusterSimulation, node: number): string => {
  let kind = 'none';
  simulation.users.host.ask(node, { kind: 'health' }, (response) => (kind = response?.kind ?? 'none'));
  return kind;
};

const startSimulation = (seed: number): { simulation: ClusterSimulation; log: string[] } => {
  const teams = '[[cluster.teams]]\nname = "t"\n';
  const simulation = new ClusterSimulation(new Random(seed), 3, teams, 1e9, 12, '', () => [], 0, ENABLED);
  const log: string[] = [];
  simulation.onLog = (node, event, { of: peer }) =>
    log.push(`${node} ${event} ${typeof peer === 'string' ? peer : ''}`);
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 4; i++)
    simulation.submit(specOf(`run-${i}`, { tasks: 6, estimatedRunUs: 200 * SECOND }));
  simulation.runFor(30 * SECOND);
  return { simulation, log };
};

test('a node that alone lost the state service sends its clients away; in an outage all nodes stay healthy', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const { simulation } = startSimulation(seed);
    simulation.stateOutage(12 * SECOND);
    for (let i = 0; i < 16; i++) {
      simulation.runFor(SECOND);
      assert.deepEqual(
        [0, 1, 2].map((node) => healthy(simulation, node)),
        ['healthy', 'healthy', 'healthy'],
        `${i} s`,
      );
    }
    for (const node of [0, 1]) simulation.network.cut(`n${node}`, 'state', 30 * SECOND);
    simulation.runFor(9 * SECOND);
    for (let i = 0; i < 20; i++) {
      simulation.runFor(SECOND);
      assert.deepEqual(
        [0, 1, 2].map((node) => healthy(simulation, node)),
        ['unavailable', 'unavailable', 'healthy'],
        `seed ${seed}, ${i} s`,
      );
    }
    simulation.runFor(8 * SECOND);
    assert.deepEqual(
      [0, 1, 2].map((node) => healthy(simulation, node)),
      ['healthy', 'healthy', 'healthy'],
    );
    // Without heartbeats of peers every node stays healthy.
    for (const first of NAMES)
      for (const second of NAMES) if (first < second) simulation.network.cut(first, second, 30 * SECOND);
    simulation.network.cut('n0', 'state', 30 * SECOND);
    simulation.runFor(15 * SECOND);
    assert.equal(healthy(simulation, 0), 'healthy');
    simulation.runFor(30 * SECOND);
    assert.deepEqual([...new Set(simulation.broken)], []);
  }
});

test('crashes and partitions between peers are detected, and their ends; the leader stays', () => {
  const { simulation, log } = startSimulation(9);
  const leader = simulation.nodes.findIndex((node) => node.core?.leads());
  const [crashed, other] = [0, 1, 2].filter((i) => i !== leader) as [number, number];
  log.length = 0;
  simulation.crash(crashed, 8 * SECOND);
  simulation.runFor(7 * SECOND);
  for (const observer of [leader, other]) assert.ok(log.includes(`n${observer} peer.suspected n${crashed}`));
  simulation.runFor(6 * SECOND);
  for (const observer of [leader, other]) assert.ok(log.includes(`n${observer} peer.restarted n${crashed}`));
  log.length = 0;
  simulation.network.cut(`n${leader}`, `n${other}`, 10 * SECOND);
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
    'suspicion changes no leader',
  );
  assert.deepEqual(simulation.broken, []);
});

test('a process that restarts at once is accepted at once, whatever the time of day did meanwhile', () => {
  // Its number came from the time of day alone: up to 100 ms behind, it was dropped until it had been suspected.
  for (const [seed, back] of [0, 40, 100, 3_000].entries()) {
    const simulation = new ClusterSimulation(new Random(seed), 5, '[[cluster.teams]]\nname = "t"\n');
    simulation.wallStart = 60 * SECOND;
    simulation.membership = ENABLED;
    for (let i = 0; i < 5; i++) simulation.crash(i, 1);
    simulation.runFor(10 * SECOND);
    const log: string[] = [];
    simulation.onLog = (node, event, fields) => {
      if (event.startsWith('peer.')) log.push(`${node} ${event} ${String(fields['of'])}`);
    };
    // Its old number is its time of day then; the new one is `back` behind it.
    simulation.wallStart = 60 * SECOND - simulation.now - back * MILLI;
    simulation.crash(2, 50 * MILLI);
    simulation.runFor(4 * SECOND);
    for (const other of ['n0', 'n1', 'n3', 'n4'])
      assert.ok(log.includes(`${other} peer.restarted n2`), `${back} ms back: ${log.join('; ')}`);
    assert.equal(log.filter((line) => line.includes('suspected')).length, 0, log.join('; '));
    assert.deepEqual(simulation.broken, []);
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
