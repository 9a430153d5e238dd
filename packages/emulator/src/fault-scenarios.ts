/**
 * Meetings of troubles for generated histories: each is one bout of a trouble, from now on, and what it begins ends by itself.
 * What took place is counted, so that a test can tell that it did.
 */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation, type CoreOptions } from './cluster-simulation.js';
import { Random } from './random.js';
import { specOf } from './specs.js';
import { LeftWaiting } from './waiting.js';
import type { Worker } from './workers-model.js';

export interface ScenarioContext {
  readonly w: ClusterSimulation;
  readonly r: Random;
  /** Jobs that were submitted. */
  readonly ids: string[];
  readonly submit: (more?: Partial<JobSpec>) => string;
  readonly count: (what: string, by?: number) => void;
}

export type FaultScenario = (s: ScenarioContext) => void;

const ends = ({ w, r, count }: ScenarioContext, delay: Micros = 0): void => {
  w.later(delay, () => {
    const i = w.leader();
    if (i < 0) return;
    count('ends');
    w.crash(i, [50 * MILLI, 700 * MILLI, 5 * SECOND][r.below(3)]!);
  });
};

const busy = (w: ClusterSimulation): Worker[] =>
  [...w.workers.values()].filter((x) => x.alive && x.tasks.some((t) => t.state === 'running'));

/** So many machines are mute at least, whatever chance says. */
const LEAST_MUTE = 4;

/** Some of those that have tasks: cut off or hanging, deaf or mute, for shorter and longer than a lease. */
const disturb = ({ w, r, count }: ScenarioContext, share: number): void => {
  for (const x of busy(w)) {
    if (!r.chance(share)) continue;
    count('disturbed');
    const until = w.now + [3, 12, 19, 25, 45][r.below(5)]! * SECOND;
    const how = r.below(3);
    if (how === 0) x.cutUntil = until;
    else if (how === 1) x.deafUntil = until;
    else x.muteUntil = until;
  }
};

/** Cancels up to so many jobs that run, within a fifth of a second. */
const callOff = ({ w, r, count }: ScenarioContext, most: number): void => {
  const running = new Set(busy(w).flatMap((x) => x.tasks.map((t) => t.job)));
  for (const id of [...running].slice(0, most)) {
    count('called off');
    w.later(r.below(200) * MILLI, () => {
      w.cancel(id);
    });
  }
};

/** Ends the leader at one of its next writes: before it is carried out, or after. */
const endAtWrite = (s: ScenarioContext, within: number): void => {
  const { w, r, count } = s;
  const i = w.leader();
  if (i < 0) return;
  const { name } = w.nodes[i]!;
  let left = 1 + r.below(within);
  w.onWrite = (node) => {
    if (node !== name || --left > 0) return;
    w.onWrite = () => undefined;
    count('ended at a write');
    w.later(r.chance(0.5) ? 0 : 20 * MILLI, () => {
      w.crash(i, [50 * MILLI, 700 * MILLI, 5 * SECOND][r.below(3)]!);
    });
  };
};

/** The first list of meetings. */
export const BASIC_SCENARIOS: Readonly<Record<string, FaultScenario>> = {
  'commands held up': ({ w, r }) => {
    w.ordersLate = { share: 0.5, most: (1 + r.below(12)) * SECOND };
    w.later(12 * SECOND, () => {
      w.ordersLate = null;
    });
  },
  'late transactions': ({ w, r }) => {
    w.lateWrites = 0.3 + r.below(4) / 10;
    w.later(15 * SECOND, () => {
      w.lateWrites = 0;
    });
  },
  'a leader cut from state and peers': ({ w, r, count }) => {
    const i = w.leader();
    if (i < 0) return;
    const { name } = w.nodes[i]!;
    // Within its lease, after it, and long after.
    const length = [3, 8, 30][r.below(3)]! * SECOND;
    w.network.cut(name, 'state', length);
    for (const n of w.nodes) if (n.name !== name) w.network.cut(name, n.name, length);
    count('cuts');
  },
  'state slow, then refusing the leader, then down': ({ w, r }) => {
    w.stateSlow = { share: 0.5, most: 3 * SECOND };
    w.later(6 * SECOND, () => {
      const i = w.leader();
      if (i >= 0) w.refuse(w.nodes[i]!.name, (5 + r.below(20)) * SECOND);
    });
    w.later((8 + r.below(10)) * SECOND, () => {
      w.stateOutage((5 + r.below(45)) * SECOND);
    });
    w.later(12 * SECOND, () => {
      w.stateSlow = null;
    });
  },
  'the leader ends': ({ w, r, count }) => {
    const i = w.leader();
    if (i < 0) return;
    w.crash(i, [50 * MILLI, 700 * MILLI, 5 * SECOND][r.below(3)]!);
    count('ends');
  },
  'late reports and repeats': ({ w }) => {
    w.repeats = 0.4;
    w.later(15 * SECOND, () => {
      w.repeats = 0;
    });
  },
  'handed back and forth': ({ w, r }) => {
    // All end, one is back at once, the others within a second or later; again while the lease lasts.
    const first = r.below(w.nodes.length);
    const all = (): void => {
      w.nodes.forEach((_, i) => {
        w.crash(i, i === first ? r.below(300) * MILLI : (300 + r.below(6_000)) * MILLI);
      });
    };
    all();
    if (r.chance(0.5)) w.later(r.below(3_000) * MILLI, all);
  },
  'the leader ends while machines can not be reached': ({ w, r, count }) => {
    for (const x of w.workers.values())
      if (r.chance(0.5)) {
        const until = w.now + (5 + r.below(35)) * SECOND;
        if (r.chance(0.5)) x.cutUntil = until;
        else x.deafUntil = until;
        if (x.tasks.some((t) => t.state === 'running')) count('unreached with tasks');
      }
    const i = w.leader();
    if (i >= 0) w.crash(i, (1 + r.below(8)) * SECOND);
  },
};

/** The operators' second list. */
export const EXTENDED_SCENARIOS: Readonly<Record<string, FaultScenario>> = {
  'close looks': (s) => {
    const { w, r } = s;
    w.users.closeLooks = 1;
    w.later(20 * SECOND, () => {
      w.users.closeLooks = 0;
    });
    if (r.chance(0.5)) w.crash(r.below(w.nodes.length), r.below(800) * MILLI);
    if (r.chance(0.4)) {
      w.lateWrites = 0.3;
      w.later(10 * SECOND, () => {
        w.lateWrites = 0;
      });
    }
  },
  'a question, a repetition or a cancellation meets the end of the last task': ({ w, r, submit, count }) => {
    for (let i = 0; i < 4; i++) submit({ tasks: 1 + r.below(2), estimatedRunUs: (2 + r.below(8)) * SECOND });
    w.work.onDone = (id) => {
      const spec = w.work.specs.get(id);
      if (spec === undefined) return;
      count('met the end');
      // About the worker's report, the leader's write, and its answer.
      for (let i = 0; i < 3; i++)
        w.later(r.below(400) * MILLI, () => {
          const what = r.below(3);
          if (what === 0) w.poll(id);
          else if (what === 1) w.submit(spec);
          else w.cancel(id);
        });
    };
    w.later(25 * SECOND, () => {
      w.work.onDone = () => undefined;
    });
  },
  'only the answer is lost': (s) => {
    const { w, r } = s;
    w.answersLost = 0.3 + r.below(4) / 10;
    w.later(15 * SECOND, () => {
      w.answersLost = 0;
    });
    if (r.chance(0.6)) ends(s, r.below(8_000) * MILLI);
  },
  'old reports kept for the next leader': (s) => {
    const { w, r, count } = s;
    w.keepReports = 0.6;
    // Tasks move: by failures, by leases that run out, by machines that end.
    for (const x of busy(w)) {
      const t = x.tasks.find((y) => y.state === 'running');
      const how = r.below(4);
      if (how === 0 && t !== undefined) {
        t.state = 'exited';
        t.cause = 'error';
        count('moved');
      } else if (how === 1) x.cutUntil = w.now + (8 + r.below(25)) * SECOND;
    }
    w.later((6 + r.below(12)) * SECOND, () => {
      w.keepReports = 0;
      if (r.chance(0.6)) disturb(s, 0.4);
      ends(s);
    });
  },
  'every team at its limit, jobs cancelled whose machines are cut off or hang, the leader changes': (s) => {
    const { w, r } = s;
    for (let i = 0; i < 3; i++) s.submit({ tasks: 6, estimatedRunUs: 90 * SECOND });
    w.later(14 * SECOND, () => {
      s.count(
        'cores in use',
        busy(w).reduce((n, x) => n + x.tasks.length, 0),
      );
      disturb(s, 0.7);
      callOff(s, 3);
      ends(s, r.below(6_000) * MILLI);
      if (r.chance(0.5)) ends(s, (8 + r.below(8)) * SECOND);
    });
  },
  'cancelled as the office changes hands': (s) => {
    const { w, r, count } = s;
    s.submit({ tasks: 4, estimatedRunUs: 200 * SECOND });
    w.later(10 * SECOND, () => {
      const i = w.leader();
      if (i < 0) return;
      if (r.chance(0.5)) disturb(s, 0.3);
      const how = r.below(3);
      if (how === 0) {
        // Refused alone, and a second later out for longer than a cancellation may last.
        w.refuse(w.nodes[i]!.name, 70 * SECOND);
        callOff(s, 4);
        count('refused alone');
        w.later(SECOND, () => {
          w.stateOutage(46 * SECOND);
        });
      } else if (how === 1) {
        for (let k = 0; k < 5; k++)
          w.later(k * 1_300 * MILLI, () => {
            callOff(s, 1);
          });
        ends(s, r.below(4_000) * MILLI);
      } else {
        w.freeze(i, (4 + r.below(12)) * SECOND);
        for (let k = 0; k < 6; k++)
          w.later(k * 1_300 * MILLI, () => {
            callOff(s, 1);
          });
      }
    });
  },
  'new machines at once while writes lag, and the leader ends': (s) => {
    const { w, r, count } = s;
    w.cloud.bootUs = () => r.below(2_000) * MILLI;
    const before = w.workers.size;
    // Room has to come from new machines.
    for (const x of busy(w)) if (r.chance(0.6)) w.killWorker(x);
    for (let i = 0; i < 3; i++) s.submit({ tasks: 4, estimatedRunUs: (5 + r.below(30)) * SECOND });
    const lag = r.below(3);
    if (lag === 0) w.lateWrites = 0.5;
    else if (lag === 1) w.answersLost = 0.5;
    else w.state.writesPerSecond = 6;
    endAtWrite(s, 8);
    w.later(12 * SECOND, () => {
      w.onWrite = () => undefined;
      w.lateWrites = 0;
      w.answersLost = 0;
      w.state.writesPerSecond = Infinity;
      w.cloud.bootUs = null;
      count('new machines', w.workers.size - before);
    });
  },
  'mute and deaf machines': (s) => {
    const { w, r, count } = s;
    const all = r.chance(0.25);
    let mute = 0;
    for (const x of w.workers.values())
      if (x.alive && (all || mute < LEAST_MUTE || r.chance(0.4))) {
        mute++;
        x.muteUntil = w.now + (5 + r.below(45)) * SECOND;
        count('mute');
      } else if (x.alive && r.chance(0.2)) x.deafUntil = w.now + (5 + r.below(45)) * SECOND;
    ends(s, r.below(15_000) * MILLI);
  },
  'machines are taken with notice, and jobs cancelled while they save': (s) => {
    const { w, r, count } = s;
    s.submit({
      tasks: 6,
      estimatedRunUs: 120 * SECOND,
      checkpointIntervalUs: 2 * SECOND,
      checkpointDurationUs: 4 * SECOND,
    });
    w.later(14 * SECOND, () => {
      for (const x of busy(w).slice(0, 4))
        if (r.chance(0.7)) {
          x.takenAt = w.now + (5 + r.below(10)) * SECOND;
          x.nextReport = w.now;
          count('taken');
        }
      w.later(1_500 * MILLI + r.below(2_500) * MILLI, () => {
        for (const x of w.workers.values())
          for (const t of x.tasks)
            if (t.state === 'saving' && r.chance(0.7)) {
              w.cancel(t.job);
              count('cancelled while saving');
            }
      });
      if (r.chance(0.3)) ends(s, r.below(5_000) * MILLI);
    });
  },
  'one-task jobs four a second, a quarter cancelled': (s) => {
    const { w, r, count } = s;
    w.state.writesPerSecond = 25;
    for (let i = 0; i < 48; i++)
      w.later(i * 250 * MILLI, () => {
        const id = s.submit({ tasks: 1, estimatedRunUs: (1 + r.below(3)) * SECOND });
        count('small jobs');
        if (r.chance(0.25))
          w.later(r.below(4_000) * MILLI, () => {
            w.cancel(id);
          });
      });
    w.later(40 * SECOND, () => {
      w.state.writesPerSecond = Infinity;
    });
  },
  'ten changes of leader in two minutes': (s) => {
    const { w, r, count } = s;
    for (let i = 0; i < 10; i++)
      w.later(i * 12 * SECOND + r.below(4_000) * MILLI, () => {
        const leader = w.leader();
        if (leader < 0) return;
        count('changes');
        const how = r.below(3);
        if (how === 0) w.refuse(w.nodes[leader]!.name, (7 + r.below(5)) * SECOND);
        else if (how === 1) w.freeze(leader, (7 + r.below(5)) * SECOND);
        else w.crash(leader, r.below(6_000) * MILLI);
      });
    if (r.chance(0.5))
      w.later((20 + r.below(60)) * SECOND, () => {
        w.stateOutage((5 + r.below(20)) * SECOND);
      });
  },
  'all controllers are away for longer than a lease': ({ w, r, count }) => {
    count('away');
    w.nodes.forEach((_, i) => {
      w.crash(i, (21 + r.below(12)) * SECOND);
    });
  },
  'a zone with workers and a controller is cut off for longer than a lease': ({ w, r, count }) => {
    const length = (22 + r.below(15)) * SECOND;
    const inside = w.nodes[r.below(w.nodes.length)]!.name;
    const zone = r.chance(0.5) ? 'a' : 'b';
    for (const party of ['state', 'cloud', ...w.nodes.map((n) => n.name)])
      if (party !== inside) w.network.cut(inside, party, length);
    for (const x of w.workers.values())
      for (const n of w.nodes)
        if (x.zone === zone && n.name !== inside) w.network.cut(x.name, n.name, length);
    count('zones');
  },
  'jobs bound to one zone lose machines': (s) => {
    const { w, r, count } = s;
    s.submit({ tasks: 4, zone: 'a', estimatedRunUs: 20 * SECOND });
    s.submit({ shape: 'gang', tasks: 3, sameZone: true, estimatedRunUs: 20 * SECOND });
    s.submit({ tasks: 4, spreadAcrossZones: true, estimatedRunUs: 20 * SECOND });
    w.later(13 * SECOND, () => {
      for (const x of busy(w))
        if (x.zone === 'a' && r.chance(0.6)) {
          if (r.chance(0.5)) w.killWorker(x);
          else x.cutUntil = w.now + (10 + r.below(25)) * SECOND;
          count('lost');
        }
      if (r.chance(0.5)) ends(s, r.below(3_000) * MILLI);
    });
  },
  'more work than room, urgent and not, over slow links': (s) => {
    const { w, r, count } = s;
    w.stateSlow = { share: 0.5, most: 900 * MILLI };
    for (let i = 0; i < 6; i++)
      s.submit({
        tasks: 3 + r.below(4),
        priority: [0, 1, 2, 3][r.below(4)] as JobSpec['priority'],
        estimatedRunUs: (8 + r.below(15)) * SECOND,
        ...(r.chance(0.5) ? { checkpointIntervalUs: 2 * SECOND, checkpointDurationUs: 2 * SECOND } : {}),
      });
    count('bursts');
    w.later(20 * SECOND, () => {
      w.stateSlow = null;
    });
    if (r.chance(0.5)) ends(s, r.below(10_000) * MILLI);
  },
};

const shapes = (r: Random, id: string): JobSpec => {
  const pick = r.below(6);
  if (pick === 0)
    return specOf(id, { shape: 'gang', tasks: 2 + r.below(2), sameZone: true, estimatedRunUs: 20 * SECOND });
  if (pick === 1) return specOf(id, { tasks: 3, spreadAcrossZones: true, estimatedRunUs: 25 * SECOND });
  if (pick === 2)
    return specOf(id, {
      tasks: 2,
      estimatedRunUs: 40 * SECOND,
      checkpointIntervalUs: 3 * SECOND,
      checkpointDurationUs: 2 * SECOND,
    });
  // Of one to three tasks, some of them much longer than others take in all.
  return specOf(id, { tasks: 1 + r.below(3), estimatedRunUs: (4 + r.below(60)) * SECOND });
};

export interface Outcome {
  readonly w: ClusterSimulation;
  readonly broken: string[];
  /** Accepted and not ended, with how they were last told. */
  readonly open: string[];
  /** Share of all jobs that were accepted: users give up after a minute and a half of 503. */
  readonly accepted: number;
  /** Jobs about which nothing was answered for so long once all troubles were over. */
  readonly forgotten: string[];
  /** Jobs that waited for so long beside free room once all troubles were over. */
  readonly leftWaiting: string[];
  /** What took place. */
  readonly counts: ReadonlyMap<string, number>;
  readonly won: number;
}

const FORGOTTEN: Micros = 75 * SECOND;
const WAITED: Micros = 90 * SECOND;
/** What the team may use at a time. */
const CORES = 16;
/** How long bouts last once the last one has begun, and how long work may take once everybody was answered. */
export interface Bounds {
  readonly calm: Micros;
  readonly last: Micros;
}

/** Bouts of the first list end within a minute. */
export const FIRST_BOUNDS: Bounds = { calm: 60 * SECOND, last: 240 * SECOND };
/** Of the second, ten changes of leader take two minutes, and there may be as much work as room for ten. */
export const SECOND_BOUNDS: Bounds = { calm: 130 * SECOND, last: 600 * SECOND };

/** Plays these meetings one after the other, each begun while the last may still go on, and then a long calm. */
export const play = (
  seed: number,
  meetings: readonly FaultScenario[],
  rounds: number,
  bounds: Bounds,
  coreOptions: CoreOptions = {},
): Outcome => {
  const r = new Random(seed * 49_999 + 23);
  const w = new ClusterSimulation(
    r,
    seed % 4 === 0 ? 5 : 3,
    `[[cluster.teams]]\nname = "t"\ncpus_max = ${CORES}.0\n`,
    CORES,
    5,
    '',
    () => [],
    0,
    null,
    coreOptions,
  );
  if (seed % 2 === 0) w.membership = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
  const counts = new Map<string, number>();
  const count = (what: string, by = 1): void => {
    counts.set(what, (counts.get(what) ?? 0) + by);
  };
  let won = 0;
  w.onLog = (_n, event) => {
    if (event === 'leader.elected') won++;
  };
  w.runFor(2 * SECOND);
  const ids: string[] = [];
  const submit = (more?: Partial<JobSpec>): string => {
    const id = `run-${seed}${String(ids.length).padStart(4, '0')}`;
    ids.push(id);
    w.submit(more === undefined ? shapes(r, id) : specOf(id, more));
    return id;
  };
  const scene: ScenarioContext = { w, r, ids, submit, count };
  for (let i = 0; i < 5; i++) submit();
  w.runFor(20 * SECOND);
  for (let round = 0; round < rounds; round++) {
    for (const meeting of meetings) {
      meeting(scene);
      for (let step = 0; step < 6; step++) {
        if (r.chance(0.4)) submit();
        if (r.chance(0.25)) w.cancel(ids[r.below(ids.length)]!);
        for (const id of ids) if (r.chance(0.3)) w.poll(id);
        const x = w.anyWorker();
        if (x !== undefined && r.chance(0.03)) w.killWorker(x);
        w.runFor((500 + r.below(4_000)) * MILLI);
      }
    }
    w.runFor(r.below(15) * SECOND);
  }
  // All troubles end here, or within the calm.
  w.runFor(bounds.calm);
  const over = w.now;
  const waiting = new LeftWaiting(w, CORES);
  for (let t = 0; t < FORGOTTEN; t += 5 * SECOND) {
    for (const id of ids) w.poll(id);
    w.runFor(5 * SECOND);
    waiting.look(ids);
  }
  // With questions and without, until all has ended.
  const watch = (length: Micros): void => {
    for (let t = 0; t < length; t += 5 * SECOND) {
      w.runFor(5 * SECOND);
      waiting.look(ids);
    }
  };
  const forgotten = ids.filter((id) => w.users.told.has(id) && (w.users.answeredAt.get(id) ?? 0) < over);
  const isOpen = (id: string): boolean => !['done', 'cancelled', undefined].includes(w.stageOf(id));
  for (let t = 0; t < bounds.last && ids.some(isOpen); t += 20 * SECOND) {
    watch(15 * SECOND);
    for (const id of ids) w.poll(id);
    watch(5 * SECOND);
  }
  return {
    w,
    broken: [...new Set(w.broken)],
    open: ids.filter(isOpen),
    accepted: ids.filter((id) => w.users.told.has(id)).length / ids.length,
    forgotten,
    leftWaiting: [...waiting.longest].filter(([, length]) => length >= WAITED).map(([id]) => id),
    counts,
    won,
  };
};
