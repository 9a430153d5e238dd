/**
 * The meetings of the operators' second list, each by itself, then pairs and triples of them, on the emulated world. Each rule is
 * judged from the world's own truth; that a meeting took place is counted, not assumed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  BASIC_SCENARIOS,
  play,
  SECOND_BOUNDS,
  EXTENDED_SCENARIOS,
  type Outcome,
} from '@shaleyoke/emulator/fault-scenarios';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { checkOutcome } from './scenario-assertions.js';

const NAMES = Object.keys(EXTENDED_SCENARIOS);
const ALL = { ...BASIC_SCENARIOS, ...EXTENDED_SCENARIOS };
const every = Object.keys(ALL);

/** More by hand: `SECOND_SEEDS=1-100 node --import tsx --test packages/core/test/second-meetings.test.ts`. */
const [from, to] = (process.env['SECOND_SEEDS'] ?? '1-3').split('-').map(Number) as [number, number];

/** What must have taken place in three seeds, at least. */
const TOOK_PLACE: Readonly<Record<string, readonly [string, number][]>> = {
  'a question, a repetition or a cancellation meets the end of the last task': [['met the end', 15]],
  'old reports kept for the next leader': [
    ['moved', 3],
    ['ends', 5],
    ['kept', 60],
  ],
  'every team at its limit, jobs cancelled whose machines are cut off or hang, the leader changes': [
    ['disturbed', 8],
    ['called off', 10],
    ['ends', 5],
  ],
  'cancelled as the office changes hands': [['called off', 12]],
  'new machines at once while writes lag, and the leader ends': [
    ['new machines', 5],
    ['ended at a write', 4],
  ],
  'mute and deaf machines': [['mute', 10]],
  'machines are taken with notice, and jobs cancelled while they save': [
    ['taken', 5],
    ['cancelled while saving', 2],
    ['saves: begun', 4],
    ['saves: cut', 1],
    ['saves: ended', 1],
  ],
  'one-task jobs four a second, a quarter cancelled': [['small jobs', 300]],
  'ten changes of leader in two minutes': [['changes', 20]],
  'all controllers are away for longer than a lease': [['away', 6]],
  'a zone with workers and a controller is cut off for longer than a lease': [['zones', 6]],
  'jobs bound to one zone lose machines': [['lost', 3]],
  'more work than room, urgent and not, over slow links': [['bursts', 6]],
  'close looks': [
    ['looks: accepted', 100],
    ['looks: done', 50],
    ['looks: cancelled', 50],
  ],
  'only the answer is lost': [
    ['unanswered: j/', 5],
    ['unanswered: delete', 5],
    ['unanswered: lead', 1],
    ['unanswered: q/', 5],
  ],
};

const counted = (sum: Map<string, number>, o: Outcome): void => {
  const add = (what: string, n: number): void => {
    sum.set(what, (sum.get(what) ?? 0) + n);
  };
  for (const [what, n] of o.counts) add(what, n);
  for (const [word, n] of o.w.users.looks) add(`looks: ${word}`, n);
  for (const [key, n] of o.w.unanswered) add(`unanswered: ${key}`, n);
  add('kept', o.w.keptArrived);
  for (const [what, n] of Object.entries(o.w.machines.saves)) add(`saves: ${what}`, n);
};

for (const name of NAMES)
  test(`${name}: no rule breaks, all work ends, nothing is forgotten`, () => {
    const sum = new Map<string, number>();
    for (let seed = from; seed <= to; seed++) {
      const o = play(seed, [EXTENDED_SCENARIOS[name]!], 3, SECOND_BOUNDS);
      checkOutcome(o, `seed ${seed}`);
      counted(sum, o);
    }
    for (const [what, least] of TOOK_PLACE[name] ?? [])
      assert.ok((sum.get(what) ?? 0) >= least, `${what}: ${sum.get(what) ?? 0} of ${least}`);
  });

test('a leader that the state service does not answer starts nothing: others may be told of a cancellation', () => {
  let called = 0;
  let before = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const w = new ClusterSimulation(
      new Random(seed * 113),
      3,
      '[[cluster.teams]]\nname = "t"\ncpus_max = 16.0\n',
      16,
      4,
    );
    w.stand(4);
    w.runFor(3 * SECOND);
    // Short tasks: something is started all the time, on machines that are on record for the job.
    for (let i = 0; i < 4; i++)
      w.submit(specOf(`run-${seed}${i}`, { tasks: 400, estimatedRunUs: 900 * MILLI }));
    w.runFor(20 * SECOND);
    const { starts } = w;
    w.runFor(5 * SECOND);
    before += w.starts - starts;
    w.refuse(w.nodes[w.leader()]!.name, 20 * SECOND);
    // It learns that with its next renewal.
    w.runFor(2 * SECOND);
    for (let i = 0; i < 4; i++) {
      w.cancel(`run-${seed}${i}`);
      w.runFor(700 * MILLI);
    }
    called += w.users.cancelledAt.size;
    w.runFor(60 * SECOND);
    assert.deepEqual(w.machines.startedAfter, [], `seed ${seed}`);
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
  assert.ok(called > 12 && before > 50, `cancelled: ${called}; started in 5 s: ${before}`);
});

test('a right counts from the sending of its renewal, however late that is answered', () => {
  let won = 0;
  for (let seed = 1; seed <= 12; seed++) {
    const r = new Random(seed * 2_027);
    const w = new ClusterSimulation(r, 3, undefined, undefined, 4);
    w.onLog = (_n, event) => {
      if (event === 'leader.elected') won++;
    };
    w.runFor(3 * SECOND);
    for (let i = 0; i < 5; i++) {
      w.answersSlow = 1_190 * MILLI;
      w.runFor((4_000 + r.below(3_000)) * MILLI);
      const i = w.leader();
      if (i < 0) continue;
      // Its last renewal was carried out, and answered late; nothing reaches it from now on.
      w.network.cut(w.nodes[i]!.name, 'state', 15 * SECOND);
      w.answersSlow = 0;
      w.runFor(20 * SECOND);
    }
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
  assert.ok(won > 40, `offices: ${won}`);
});

test('a flood of small jobs beside repeats and odd requests: ends and cancellations are told in time', () => {
  // Of the smallest site: 25 writes a second for all nodes. A job takes three of them, besides the leader's pages.
  const all = { done: 0, late: 0, cancelled: 0, slow: 0 };
  for (let seed = 1; seed <= 2; seed++) {
    const r = new Random(seed * 521);
    const w = new ClusterSimulation(r, 3, '[[cluster.teams]]\nname = "t"\ncpus_max = 40.0\n', 40, 6);
    w.stand(10);
    w.runFor(3 * SECOND);
    w.state.writesPerSecond = 25;
    const ids: string[] = [];
    w.work.onDone = (id) => {
      w.later(3 * SECOND, () => {
        if (w.users.asked.has(id)) return;
        all.done++;
        w.poll(id);
        w.later(SECOND, () => {
          if (w.stageOf(id) !== 'done') all.late++;
        });
      });
    };
    for (let t = 0; t < 480; t++) {
      const spec = specOf(`run-${seed}${String(t).padStart(4, '0')}`, {
        tasks: 1,
        estimatedRunUs: (1 + r.below(5)) * SECOND,
      });
      ids.push(spec.id);
      w.submit(spec);
      if (r.chance(0.25))
        w.later(SECOND + r.below(4_000) * MILLI, () => {
          w.cancel(spec.id);
          all.cancelled++;
          w.later(3 * SECOND, () => {
            if (!['cancelled', 'done'].includes(w.stageOf(spec.id) ?? '')) all.slow++;
          });
        });
      // What is repeated, and what is odd: jobs that are done are cancelled, and some name no team that there is.
      const other = ids[r.below(ids.length)]!;
      const known = w.work.specs.get(other)!;
      if (r.chance(0.5)) w.submit(known);
      if (w.stageOf(other) === 'done') w.cancel(other);
      if (r.chance(0.3)) w.users.submit({ ...spec, id: `run-9${seed}${t}`, team: 'nobody' }, 1_000);
      w.runFor(250 * MILLI);
    }
    w.state.writesPerSecond = Infinity;
    w.runFor(60 * SECOND);
    for (const id of ids) w.poll(id);
    w.runFor(3 * SECOND);
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
    assert.deepEqual(
      ids.filter((id) => !['done', 'cancelled'].includes(w.stageOf(id) ?? '')),
      [],
      `seed ${seed}: work that did not end`,
    );
  }
  assert.ok(all.done > 500 && all.cancelled > 150);
  assert.ok(all.late <= all.done * 0.02, `told late: ${all.late} of ${all.done}`);
  assert.ok(all.slow <= all.cancelled * 0.02, `cancelled late: ${all.slow} of ${all.cancelled}`);
});

test('pairs and triples of both lists: no rule breaks, all work ends, nothing is forgotten', () => {
  let won = 0;
  for (let seed = from; seed <= to * 3; seed++) {
    const r = new Random(seed * 811 + 7);
    const names = Array.from({ length: 2 + (seed % 2) }, () => every[r.below(every.length)]!);
    const o = play(
      2_000 + seed,
      names.map((n) => ALL[n]!),
      2,
      SECOND_BOUNDS,
    );
    checkOutcome(o, `seed ${seed}: ${names.join('; ')}`);
    won += o.won;
  }
  assert.ok(won > to * 3, `offices: ${won}`);
});
