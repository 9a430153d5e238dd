/** Controllers notice one another: suspicion, what refutes it, and what is done upon it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerFailureDetector, type PeerChange } from '@shaleyoke/core/membership/peer-failure-detector';
import type { PeerHeartbeat } from '@shaleyoke/core/domain/peer';
import type { MembershipSettings } from '@shaleyoke/core/domain/settings';
import { MILLI, SECOND, type Micros } from '@shaleyoke/core/domain/time';
import { beatOf } from '@shaleyoke/emulator/beats';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

const ON: MembershipSettings = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
const NAMES = ['n0', 'n1', 'n2'];

/** One watcher of one peer, with time in hand. */
class Watch {
  now: Micros = 0;
  readonly members = new PeerFailureDetector(ON, ['p'], () => this.now);
  readonly changes: PeerChange[] = [];
  private readonly inbox: { at: Micros; beat: PeerHeartbeat }[] = [];
  private checked: Micros = 0;

  /** The beat comes after `delay`. */
  send(at: Micros, delay: Micros, beat: PeerHeartbeat): void {
    this.inbox.push({ at: at + delay, beat });
  }

  /** Plays to a moment; the watcher looks once a second, and is itself `late`. */
  to(end: Micros, late: Micros = 0): void {
    this.inbox.sort((a, b) => a.at - b.at);
    for (; this.now < end;) {
      const next = this.inbox[0];
      const look = this.checked + SECOND + late;
      if (next !== undefined && next.at <= Math.min(look, end)) {
        this.now = Math.max(this.now, next.at);
        this.inbox.shift();
        const c = this.members.receive(next.beat);
        if (c !== null) this.changes.push(c);
      } else if (look <= end) {
        this.now = look;
        this.checked = look;
        this.changes.push(...this.members.suspectSilentPeers(late));
      } else this.now = end;
    }
  }

  get suspicions(): number {
    return this.changes.filter((c) => c.kind === 'suspected').length;
  }
}

test('a peer that stops is suspected within five seconds, and one beat refutes it', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const r = new Random(seed);
    const w = new Watch();
    // Lost packets are sent again: that beat comes late, not never.
    for (let i = 1; i <= 60; i++)
      w.send(i * SECOND, (r.chance(0.02) ? 250 : 1 + r.below(20)) * MILLI, beatOf('p', i));
    w.to(60 * SECOND);
    assert.equal(w.suspicions, 0, `seed ${seed}`);
    w.to(65 * SECOND);
    assert.equal(w.members.levelOf('p'), 'suspected', `seed ${seed}`);
    w.send(70 * SECOND, 0, beatOf('p', 61));
    w.to(71 * SECOND);
    assert.equal(w.members.levelOf('p'), 'alive');
    assert.equal(w.changes.at(-1)?.kind, 'alive');
  }
});

test('beats that come unevenly give a peer more time', () => {
  let least = Infinity;
  for (let seed = 1; seed <= 20; seed++) {
    const r = new Random(seed);
    const w = new Watch();
    // A peer that computes several times slower: a beat every one to four seconds.
    let at = 0;
    let last = 0;
    for (let i = 1; i <= 40; i++) {
      at += (1_000 + r.below(1_900)) * MILLI;
      last = at;
      w.send(at, 0, beatOf('p', i, { timerDelayUs: SECOND }));
    }
    w.to(last);
    assert.equal(w.suspicions, 0, `seed ${seed}`);
    w.to(last + 13 * SECOND);
    const c = w.changes.at(-1);
    assert.equal(c?.kind, 'suspected', 'but not for ever');
    if (c?.kind === 'suspected') least = Math.min(least, c.limitUs);
  }
  assert.ok(least > 3 * SECOND);
});

test('who is late itself, or stood still, doubts itself first', () => {
  const w = new Watch();
  for (let i = 1; i <= 20; i++) w.send(i * SECOND, 0, beatOf('p', i));
  w.to(20 * SECOND);
  // Stood still for 9 s; the peer's beats wait in the socket and are read after the timers.
  w.now = 29 * SECOND;
  assert.deepEqual(w.members.suspectSilentPeers(9 * SECOND), []);
  assert.equal(w.members.suspectSilentPeers(0).length, 1, 'which a node that is in time would not wait for');
});

test('beats that were held back, or of a process that was replaced, tell nothing', () => {
  const w = new Watch();
  assert.equal(w.members.receive(beatOf('p', 5))?.kind, 'alive');
  assert.equal(w.members.receive(beatOf('p', 4)), null);
  assert.equal(w.members.receive(beatOf('p', 5)), null);
  assert.equal(w.members.receive(beatOf('stranger', 9)), null);
  assert.equal(w.members.receive(beatOf('p', 1, { incarnation: 2 }))?.kind, 'restarted');
  w.now = 4 * SECOND;
  assert.equal(w.members.suspectSilentPeers(0).length, 1);
  assert.equal(w.members.receive(beatOf('p', 6)), null);
  assert.equal(w.members.levelOf('p'), 'suspected', 'a late beat refutes nothing');
  assert.equal(w.members.receive(beatOf('p', 2, { incarnation: 2 }))?.kind, 'alive');
});

test('a process whose clock is behind that of the one before is heard all the same, a burst of old beats is not', () => {
  const w = new Watch();
  w.members.receive(beatOf('p', 1, { incarnation: 9 }));
  w.now = 4 * SECOND;
  assert.equal(w.members.suspectSilentPeers(0).length, 1);
  for (let i = 1; i < 9; i++) {
    w.now += 10 * MILLI;
    assert.equal(w.members.receive(beatOf('p', i, { incarnation: 3 })), null, 'all at once: held back');
  }
  const changes: (PeerChange | null)[] = [];
  for (let i = 9; i < 12; i++) {
    w.now += SECOND;
    changes.push(w.members.receive(beatOf('p', i, { incarnation: 3 })));
  }
  assert.deepEqual(
    changes.map((c) => c?.kind),
    [undefined, 'restarted', undefined],
  );
  assert.equal(w.members.levelOf('p'), 'alive');
});

test('what a peer reaches is known as of its own word', () => {
  const w = new Watch();
  w.now = 10 * SECOND;
  w.members.receive(beatOf('p', 1, { storeAnswerAgeUs: 2 * SECOND }));
  assert.equal(w.members.peerWithStoreAnswerAfter(7 * SECOND), 'p');
  assert.equal(w.members.peerWithStoreAnswerAfter(8 * SECOND), null);
  w.members.receive(beatOf('p', 2, { storeAnswerAgeUs: null }));
  assert.equal(w.members.peerWithStoreAnswerAfter(0), null);
});

// ---- whole services ------------------------------------------------------------------------------

const healthy = (w: ClusterSimulation, node: number): string => {
  let kind = 'none';
  w.users.host.ask(node, { kind: 'health' }, (a) => (kind = a?.kind ?? 'none'));
  return kind;
};

const world = (seed: number): { w: ClusterSimulation; log: string[] } => {
  const teams = '[[cluster.teams]]\nname = "t"\n';
  const w = new ClusterSimulation(new Random(seed), 3, teams, 1e9, 12, '', () => [], 0, ON);
  const log: string[] = [];
  w.onLog = (node, event, f) => log.push(`${node} ${event} ${String(f['of'] ?? '')}`);
  w.runFor(3 * SECOND);
  for (let i = 0; i < 4; i++) w.submit(specOf(`run-${i}`, { tasks: 6, estimatedRunUs: 200 * SECOND }));
  w.runFor(30 * SECOND);
  return { w, log };
};

test('a node that alone lost the state service sends its users away; in an outage all nodes stay', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const { w } = world(seed);
    w.stateOutage(12 * SECOND);
    for (let i = 0; i < 16; i++) {
      w.runFor(SECOND);
      assert.deepEqual(
        [0, 1, 2].map((n) => healthy(w, n)),
        ['healthy', 'healthy', 'healthy'],
        `${i} s`,
      );
    }
    for (const n of [0, 1]) w.network.cut(`n${n}`, 'state', 30 * SECOND);
    w.runFor(9 * SECOND);
    for (let i = 0; i < 20; i++) {
      w.runFor(SECOND);
      assert.deepEqual(
        [0, 1, 2].map((n) => healthy(w, n)),
        ['unavailable', 'unavailable', 'healthy'],
        `seed ${seed}, ${i} s`,
      );
    }
    w.runFor(8 * SECOND);
    assert.deepEqual(
      [0, 1, 2].map((n) => healthy(w, n)),
      ['healthy', 'healthy', 'healthy'],
    );
    // Where nobody can tell, the rule of before.
    for (const a of NAMES) for (const b of NAMES) if (a < b) w.network.cut(a, b, 30 * SECOND);
    w.network.cut('n0', 'state', 30 * SECOND);
    w.runFor(15 * SECOND);
    assert.equal(healthy(w, 0), 'healthy');
    w.runFor(30 * SECOND);
    assert.deepEqual([...new Set(w.broken)], []);
  }
});

test('crashes and cuts between peers are noticed by the others, and refuted; the office stays where it is', () => {
  const { w, log } = world(9);
  const leader = w.nodes.findIndex((n) => n.core?.leads());
  const [a, b] = [0, 1, 2].filter((i) => i !== leader) as [number, number];
  log.length = 0;
  w.crash(a, 8 * SECOND);
  w.runFor(7 * SECOND);
  for (const by of [leader, b]) assert.ok(log.includes(`n${by} peer.suspected n${a}`));
  w.runFor(6 * SECOND);
  for (const by of [leader, b]) assert.ok(log.includes(`n${by} peer.restarted n${a}`));
  log.length = 0;
  w.network.cut(`n${leader}`, `n${b}`, 10 * SECOND);
  w.runFor(14 * SECOND);
  assert.deepEqual(
    log.filter((l) => l.includes('peer.')).sort(),
    [
      `n${b} peer.alive n${leader}`,
      `n${b} peer.suspected n${leader}`,
      `n${leader} peer.alive n${b}`,
      `n${leader} peer.suspected n${b}`,
    ].sort(),
  );
  assert.deepEqual(
    log.filter((l) => l.includes('leader.')),
    [],
    'suspicion moves no office',
  );
  assert.deepEqual(w.broken, []);
});

test('a process that is back at once is heard at once, whatever the time of day did meanwhile', () => {
  // Its number came from the time of day alone: up to 100 ms behind, it was dropped until it had been suspected.
  for (const [seed, back] of [0, 40, 100, 3_000].entries()) {
    const w = new ClusterSimulation(new Random(seed), 5, '[[cluster.teams]]\nname = "t"\n');
    w.wallStart = 60 * SECOND;
    w.membership = ON;
    for (let i = 0; i < 5; i++) w.crash(i, 1);
    w.runFor(10 * SECOND);
    const log: string[] = [];
    w.onLog = (node, event, fields) => {
      if (event.startsWith('peer.')) log.push(`${node} ${event} ${String(fields['of'])}`);
    };
    // Its old number is its time of day then; the new one is `back` behind it.
    w.wallStart = 60 * SECOND - w.now - back * MILLI;
    w.crash(2, 50 * MILLI);
    w.runFor(4 * SECOND);
    for (const other of ['n0', 'n1', 'n3', 'n4'])
      assert.ok(log.includes(`${other} peer.restarted n2`), `${back} ms back: ${log.join('; ')}`);
    assert.equal(log.filter((l) => l.includes('suspected')).length, 0, log.join('; '));
    assert.deepEqual(w.broken, []);
  }
});

test('switched off, nothing is sent', () => {
  const w = new ClusterSimulation(new Random(1));
  const kinds = new Set<string>();
  for (const n of w.nodes) {
    const { core } = n;
    const step = core!.step.bind(core);
    core!.step = (now, input) => {
      if (input.kind === 'peerMessage') kinds.add(input.message.kind);
      return step(now, input);
    };
  }
  w.runFor(10 * SECOND);
  assert.deepEqual([...kinds], ['progress']);
});
