/** Checks of a soak's history: the rules of the protocol, judged by what users and workers saw alone. */
import type { JobSpec } from '@shaleyoke/core/domain/job';

import type { AskedEvent, SoakHistory, TaskEvent } from './history.js';

/** A broken rule. `timed`: it rests on times, so that a machine that stood still may have caused it. */
export interface Violation {
  readonly rule: string;
  readonly timed: boolean;
  readonly text: string;
}

/** Finds violations of one rule, or of a few that belong together. */
export type Checker = (history: SoakHistory) => Violation[];

const FORGOTTEN_UNDER_TROUBLES_MS = 90_000;
const FORGOTTEN_AFTER_TROUBLES_MS = 75_000;
const LEFT_WAITING_MS = 90_000;
/** Samples of waiting jobs come every second; so far apart they are of different spells. */
const SAMPLE_GAP_MS = 3_000;
const FINAL_STAGES: readonly (string | null)[] = ['done', 'withdrawn'];
const SUCCESS = 200;
const CREATED = 201;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const UNPROCESSABLE = 422;

const violation = (rule: string, text: string, timed = false): Violation => ({ rule, timed, text });

const asksOf = ({ events }: SoakHistory): AskedEvent[] =>
  events.filter((event): event is AskedEvent => event.kind === 'asked');

const tasksOf = ({ events }: SoakHistory): TaskEvent[] =>
  events.filter((event): event is TaskEvent => event.kind === 'arrived' || event.kind === 'left');

const isPositive = ({ status }: AskedEvent): boolean => status === SUCCESS || status === CREATED;

const troublesOverAt = ({ events }: SoakHistory): number =>
  events.find(({ kind }) => kind === 'troublesOver')?.at ?? Infinity;

/** When each job was first told to be accepted. */
const acceptedAt = (history: SoakHistory): Map<string, number> => {
  const accepted = new Map<string, number>();
  for (const ask of asksOf(history))
    if (isPositive(ask) && !accepted.has(ask.job)) accepted.set(ask.job, ask.at);
  return accepted;
};

/** When each job was first told to be cancelled. */
const cancelledAt = (history: SoakHistory): Map<string, number> => {
  const cancelled = new Map<string, number>();
  for (const ask of asksOf(history))
    if (ask.stage === 'withdrawn' && !cancelled.has(ask.job)) cancelled.set(ask.job, ask.at);
  return cancelled;
};

const nameOf = ({ job, index }: TaskEvent): string => `${job}/${index}`;

/** A task starts on one machine while it is on another. */
export const checkRanTwice: Checker = (history) => {
  const machines = new Map<string, string>();
  const violations: Violation[] = [];
  for (const event of tasksOf(history)) {
    const task = nameOf(event);
    const other = machines.get(task);
    if (event.kind === 'left') {
      if (other === event.machine) machines.delete(task);
    } else {
      if (other !== undefined && other !== event.machine)
        violations.push(violation('ran_twice', `${task} on ${event.machine} and ${other} at ${event.at}`));
      machines.set(task, event.machine);
    }
  }
  return violations;
};

/** A team's tasks use more than its limit. */
export const checkQuota: Checker = (history) => {
  const used = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of tasksOf(history)) {
    const spec = history.jobs.get(event.job);
    if (spec === undefined) continue;
    const cores = (used.get(spec.team) ?? 0) + (event.kind === 'arrived' ? spec.cores : -spec.cores);
    used.set(spec.team, cores);
    const limit = history.teamCores.get(spec.team) ?? Infinity;
    if (event.kind === 'arrived' && cores > limit)
      violations.push(violation('quota', `${spec.team}: ${cores} of ${limit} cores at ${event.at}`));
  }
  return violations;
};

/** A task starts on a machine, or in a zone, that its job doesn't allow. */
export const checkPlaces: Checker = (history) => {
  const zones = new Map<string, Map<string, string>>();
  const violations: Violation[] = [];
  for (const event of tasksOf(history)) {
    const spec = history.jobs.get(event.job);
    const machine = history.machines.get(event.machine);
    if (spec === undefined || machine === undefined) continue;
    const zonesOfJob = zones.get(event.job) ?? new Map<string, string>();
    zones.set(event.job, zonesOfJob);
    if (event.kind === 'left') {
      zonesOfJob.delete(nameOf(event));
      continue;
    }
    zonesOfJob.set(nameOf(event), machine.zone);
    const allowsMachine = spec.machineTypes?.includes(machine.type) !== false && (spec.spot || !machine.spot);
    const allowsZone = spec.zone === null || spec.zone === machine.zone;
    const isTogether = !spec.sameZone || new Set(zonesOfJob.values()).size === 1;
    if (!allowsMachine || !allowsZone || !isTogether)
      violations.push(violation('wrong_place', `${nameOf(event)} on ${event.machine} at ${event.at}`));
  }
  return violations;
};

/** A task is on a machine, or starts, too long after its job was told to be cancelled. */
export const checkCancelled: Checker = (history) => {
  const cancelled = cancelledAt(history);
  const present = new Map<string, TaskEvent>();
  const violations: Violation[] = [];
  const check = (task: TaskEvent, until: number): void => {
    const deadline = (cancelled.get(task.job) ?? Infinity) + history.cancelMs;
    if (until > deadline)
      violations.push(
        violation(
          'ran_cancelled',
          `${nameOf(task)} on ${task.machine} until ${until}, allowed ${deadline}`,
          true,
        ),
      );
  };
  for (const event of tasksOf(history)) {
    const key = `${nameOf(event)}@${event.machine}`;
    if (event.kind === 'arrived') present.set(key, event);
    else {
      check(event, event.at);
      present.delete(key);
    }
  }
  for (const task of present.values()) check(task, history.endedAt);
  return violations;
};

/** An accepted job gets 404, or a repeated submission of it 400 or 422. */
export const checkRefusedThoughAccepted: Checker = (history) => {
  const accepted = acceptedAt(history);
  const violations: Violation[] = [];
  for (const { job, askedAt, status, request, controller, at } of asksOf(history)) {
    if ((accepted.get(job) ?? Infinity) >= askedAt) continue;
    const isRefused = status === NOT_FOUND || status === BAD_REQUEST || status === UNPROCESSABLE;
    if (isRefused)
      violations.push(violation('forgotten', `${job}: ${status} to ${request} by ${controller} at ${at}`));
  }
  return violations;
};

/** A time in which every question about a job failed. */
interface UnansweredSpell {
  readonly job: string;
  /** When the first question was asked, and when the last one was given up. */
  readonly from: number;
  readonly to: number;
}

/** All spells in which questions about accepted jobs failed, one after the other. */
const unansweredSpells = (history: SoakHistory): UnansweredSpell[] => {
  const accepted = acceptedAt(history);
  const open = new Map<string, UnansweredSpell>();
  const spells: UnansweredSpell[] = [];
  for (const ask of asksOf(history)) {
    const { job, at, askedAt } = ask;
    if ((accepted.get(job) ?? Infinity) > askedAt) continue;
    const spell = open.get(job);
    if (!isPositive(ask)) {
      open.set(job, { job, from: spell?.from ?? askedAt, to: at });
    } else if (spell !== undefined) {
      spells.push(spell);
      open.delete(job);
    }
  }
  return [...spells, ...open.values()];
};

/** Every poll for a job fails for 90 s while most others get answers. */
export const checkUnansweredWhileOthersAre: Checker = (history) => {
  const asks = asksOf(history);
  return unansweredSpells(history)
    .filter(({ from, to }) => to - from > FORGOTTEN_UNDER_TROUBLES_MS)
    .filter(({ job, from, to }) => {
      const others = asks.filter((ask) => ask.job !== job && ask.askedAt >= from && ask.at <= to);
      return others.filter(isPositive).length * 2 > others.length;
    })
    .map(({ job, from, to }) =>
      violation('forgotten', `${job}: nothing answered from ${from} to ${to} while others were`, true),
    );
};

/** Once all troubles are over, no question about a job is answered for 75 s. */
export const checkUnansweredAfterTroubles: Checker = (history) => {
  const over = troublesOverAt(history);
  return unansweredSpells(history)
    .map(({ job, from, to }) => ({ job, from: Math.max(from, over), to }))
    .filter(({ from, to }) => to - from > FORGOTTEN_AFTER_TROUBLES_MS)
    .map(({ job, from, to }) =>
      violation('forgotten', `${job}: nothing answered from ${from} to ${to}, after all troubles`, true),
    );
};

/** A job that nobody submitted, or that can't run, is answered as accepted. */
export const checkInvented: Checker = (history) =>
  asksOf(history)
    .filter((ask) => isPositive(ask) && !history.jobs.has(ask.job))
    .map(({ job, status, controller, at }) =>
      history.impossibleJobs.has(job)
        ? violation('accepted_impossible', `${job}: ${status} by ${controller} at ${at}`)
        : violation('invented', `${job}: ${status} by ${controller} at ${at}`),
    );

const doneTasksAt = (history: SoakHistory, spec: JobSpec, at: number): number => {
  const done = tasksOf(history).filter(
    (event) => event.kind === 'left' && event.done && event.job === spec.id && event.at <= at,
  );
  // The tasks of a gang complete together: if one is done, all of them are, whenever their machines say so.
  if (spec.shape === 'gang' && done.length > 0) return spec.tasks;
  return new Set(done.map(({ index }) => index)).size;
};

/** A job is called done before all of its tasks are. */
export const checkDone: Checker = (history) => {
  const checked = new Set<string>();
  const violations: Violation[] = [];
  for (const { job, stage, at, controller } of asksOf(history)) {
    const spec = history.jobs.get(job);
    if (stage !== 'done' || spec === undefined || checked.has(job)) continue;
    checked.add(job);
    const done = doneTasksAt(history, spec, at);
    if (done < spec.tasks)
      violations.push(
        violation(
          'not_done',
          `${job} (${spec.shape}): done by ${controller} at ${at}, ${done} of ${spec.tasks} tasks`,
        ),
      );
  }
  return violations;
};

/** A job called done or cancelled is called something else, or one that nobody cancelled is called cancelled. */
export const checkStages: Checker = (history) => {
  const final = new Map<string, { stage: string | null; at: number }>();
  const asks = asksOf(history);
  const cancelAsked = new Map<string, number>();
  const violations: Violation[] = [];
  for (const { job, askedAt, request } of asks)
    if (request === 'cancel') cancelAsked.set(job, Math.min(askedAt, cancelAsked.get(job) ?? Infinity));
  for (const ask of asks) {
    if (!isPositive(ask)) continue;
    const { job, stage, askedAt, at, controller } = ask;
    const before = final.get(job);
    if (before !== undefined && before.at < askedAt && stage !== before.stage)
      violations.push(
        violation('went_back', `${job}: ${before.stage} at ${before.at}, ${stage} by ${controller} at ${at}`),
      );
    if (stage === 'withdrawn' && (cancelAsked.get(job) ?? Infinity) > at)
      violations.push(violation('went_back', `${job}: cancelled by nobody, by ${controller} at ${at}`));
    if (before === undefined && FINAL_STAGES.includes(stage)) final.set(job, { stage, at });
  }
  return violations;
};

/** No task was started. */
export const checkSomethingRan: Checker = (history) =>
  tasksOf(history).some(({ kind }) => kind === 'arrived')
    ? []
    : [violation('nothing_ran', 'no task was started')];

/** A controller has ended by itself, or has logged a broken invariant or an exception. */
export const checkControllers: Checker = ({ events }) => {
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.kind === 'controllerEnded')
      violations.push(violation('ended_by_itself', `${event.controller}: code ${event.code} at ${event.at}`));
    if (event.kind === 'errorLogged') violations.push(violation('error_logged', event.line));
  }
  return violations;
};

/** After the troubles a job waits for 90 s while a machine that fits has room. */
export const checkLeftWaiting: Checker = (history) => {
  const over = troublesOverAt(history);
  const spells = new Map<string, { from: number; last: number }>();
  const violations = new Map<string, Violation>();
  for (const event of history.events) {
    if (event.kind !== 'waitingBesideRoom' || event.at < over) continue;
    for (const job of event.jobs) {
      const spell = spells.get(job);
      const goesOn = spell !== undefined && event.at - spell.last <= SAMPLE_GAP_MS;
      const from = goesOn ? spell.from : event.at;
      spells.set(job, { from, last: event.at });
      if (event.at - from > LEFT_WAITING_MS)
        violations.set(
          job,
          violation('left_waiting', `${job}: from ${from} to ${event.at} beside room`, true),
        );
    }
  }
  return [...violations.values()];
};

/** All rules. */
export const CHECKERS: readonly Checker[] = [
  checkRanTwice,
  checkQuota,
  checkPlaces,
  checkCancelled,
  checkRefusedThoughAccepted,
  checkUnansweredWhileOthersAre,
  checkUnansweredAfterTroubles,
  checkInvented,
  checkDone,
  checkStages,
  checkSomethingRan,
  checkControllers,
  checkLeftWaiting,
];

/** The longest time in which questions about an accepted job were asked and none was answered, in milliseconds. */
export const longestUnansweredMs = (history: SoakHistory): number =>
  Math.max(0, ...unansweredSpells(history).map(({ from, to }) => to - from));

/** All violations of all rules. */
export const checkHistory = (history: SoakHistory): Violation[] =>
  CHECKERS.flatMap((checker) => checker(history));
