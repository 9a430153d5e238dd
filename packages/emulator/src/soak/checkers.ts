/** Checks the protocol's invariants on the history of a soak run, using only what users and workers observed. */
import type { JobSpec } from '@shaleyoke/core/domain/job';

import type { RequestEvent, SoakHistory, TaskEvent } from './history.js';

/**
 * A violated rule. `timed` marks rules that depend on durations: a stalled test machine alone can cause a violation of
 * one of these.
 */
export interface Violation {
  readonly rule: string;
  readonly timed: boolean;
  readonly text: string;
}

/** Returns the violations of one rule, or of a few related rules. */
export type Checker = (history: SoakHistory) => Violation[];

const MAX_UNANSWERED_DURING_FAULTS_MS = 90_000;
const MAX_UNANSWERED_AFTER_FAULTS_MS = 75_000;
const MAX_WAITING_DESPITE_CAPACITY_MS = 90_000;
/** Waiting jobs are sampled every second; samples further apart than this belong to separate waiting periods. */
const MAX_SAMPLE_GAP_MS = 3_000;
const FINAL_STAGES: readonly (string | null)[] = ['done', 'withdrawn'];
const STATUS_OK = 200;
const STATUS_CREATED = 201;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_UNPROCESSABLE = 422;

const violation = (rule: string, text: string, timed = false): Violation => ({ rule, timed, text });

const requestsOf = ({ events }: SoakHistory): RequestEvent[] =>
  events.filter((event): event is RequestEvent => event.kind === 'request');

const taskEventsOf = ({ events }: SoakHistory): TaskEvent[] =>
  events.filter((event): event is TaskEvent => event.kind === 'arrived' || event.kind === 'left');

const isSuccessful = ({ status }: RequestEvent): boolean => status === STATUS_OK || status === STATUS_CREATED;

const faultsEndedAt = ({ events }: SoakHistory): number =>
  events.find(({ kind }) => kind === 'faultsEnded')?.at ?? Infinity;

/** For each job, the time of the first response that reported it as accepted. */
const acceptedAt = (history: SoakHistory): Map<string, number> => {
  const accepted = new Map<string, number>();
  for (const request of requestsOf(history))
    if (isSuccessful(request) && !accepted.has(request.job)) accepted.set(request.job, request.at);
  return accepted;
};

/** For each job, the time of the first response that reported it as cancelled. */
const cancelledAt = (history: SoakHistory): Map<string, number> => {
  const cancelled = new Map<string, number>();
  for (const request of requestsOf(history))
    if (request.stage === 'withdrawn' && !cancelled.has(request.job)) cancelled.set(request.job, request.at);
  return cancelled;
};

const taskKey = ({ job, index }: TaskEvent): string => `${job}/${index}`;

/** Rule `ran_twice`: a task must not start on a machine while it is still on another one. */
export const checkSingleExecution: Checker = (history) => {
  const machines = new Map<string, string>();
  const violations: Violation[] = [];
  for (const event of taskEventsOf(history)) {
    const task = taskKey(event);
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

/** Rule `quota`: the tasks of a team must not use more cores than the team's limit. */
export const checkQuota: Checker = (history) => {
  const used = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of taskEventsOf(history)) {
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

/** Rule `wrong_place`: a task must only start on a machine and in a zone that its job allows. */
export const checkPlacement: Checker = (history) => {
  const zones = new Map<string, Map<string, string>>();
  const violations: Violation[] = [];
  for (const event of taskEventsOf(history)) {
    const spec = history.jobs.get(event.job);
    const machine = history.machines.get(event.machine);
    if (spec === undefined || machine === undefined) continue;
    const zonesOfJob = zones.get(event.job) ?? new Map<string, string>();
    zones.set(event.job, zonesOfJob);
    if (event.kind === 'left') {
      zonesOfJob.delete(taskKey(event));
      continue;
    }
    zonesOfJob.set(taskKey(event), machine.zone);
    const allowsMachine = spec.machineTypes?.includes(machine.type) !== false && (spec.spot || !machine.spot);
    const allowsZone = spec.zone === null || spec.zone === machine.zone;
    const isTogether = !spec.sameZone || new Set(zonesOfJob.values()).size === 1;
    if (!allowsMachine || !allowsZone || !isTogether)
      violations.push(violation('wrong_place', `${taskKey(event)} on ${event.machine} at ${event.at}`));
  }
  return violations;
};

/** Rule `ran_cancelled`: no task may start or remain on a machine once the grace period after cancellation is over. */
export const checkCancellation: Checker = (history) => {
  const cancelled = cancelledAt(history);
  const present = new Map<string, TaskEvent>();
  const violations: Violation[] = [];
  const check = (task: TaskEvent, until: number): void => {
    const deadline = (cancelled.get(task.job) ?? Infinity) + history.cancelGraceMs;
    if (until > deadline)
      violations.push(
        violation(
          'ran_cancelled',
          `${taskKey(task)} on ${task.machine} until ${until}, allowed ${deadline}`,
          true,
        ),
      );
  };
  for (const event of taskEventsOf(history)) {
    const key = `${taskKey(event)}@${event.machine}`;
    if (event.kind === 'arrived') present.set(key, event);
    else {
      check(event, event.at);
      present.delete(key);
    }
  }
  for (const task of present.values()) check(task, history.endedAt);
  return violations;
};

/** Rule `forgotten`: requests for an accepted job, including repeated submissions, must not get 400, 404 or 422. */
export const checkAcceptedNotRefused: Checker = (history) => {
  const accepted = acceptedAt(history);
  const violations: Violation[] = [];
  for (const { job, sentAt, status, request, controller, at } of requestsOf(history)) {
    if ((accepted.get(job) ?? Infinity) >= sentAt) continue;
    const isRefused =
      status === STATUS_NOT_FOUND || status === STATUS_BAD_REQUEST || status === STATUS_UNPROCESSABLE;
    if (isRefused)
      violations.push(violation('forgotten', `${job}: ${status} to ${request} by ${controller} at ${at}`));
  }
  return violations;
};

/** A period in which every request about a job failed. */
interface UnansweredPeriod {
  readonly job: string;
  /** When the first failed request was sent, and when the last one failed or timed out. */
  readonly from: number;
  readonly to: number;
}

/** All periods in which consecutive requests about an accepted job failed. */
const unansweredPeriods = (history: SoakHistory): UnansweredPeriod[] => {
  const accepted = acceptedAt(history);
  const openPeriods = new Map<string, UnansweredPeriod>();
  const periods: UnansweredPeriod[] = [];
  for (const request of requestsOf(history)) {
    const { job, at, sentAt } = request;
    if ((accepted.get(job) ?? Infinity) > sentAt) continue;
    const period = openPeriods.get(job);
    if (!isSuccessful(request)) {
      openPeriods.set(job, { job, from: period?.from ?? sentAt, to: at });
    } else if (period !== undefined) {
      periods.push(period);
      openPeriods.delete(job);
    }
  }
  return [...periods, ...openPeriods.values()];
};

/** Rule `forgotten`: requests for a job must not all fail for 90 s while most requests for other jobs succeed. */
export const checkAnsweredDuringFaults: Checker = (history) => {
  const requests = requestsOf(history);
  return unansweredPeriods(history)
    .filter(({ from, to }) => to - from > MAX_UNANSWERED_DURING_FAULTS_MS)
    .filter(({ job, from, to }) => {
      const others = requests.filter(
        (request) => request.job !== job && request.sentAt >= from && request.at <= to,
      );
      return others.filter(isSuccessful).length * 2 > others.length;
    })
    .map(({ job, from, to }) =>
      violation(
        'forgotten',
        `${job}: no response from ${from} to ${to} while other jobs had responses`,
        true,
      ),
    );
};

/** Rule `forgotten`: once all faults have ended, requests for a job must not all fail for 75 s. */
export const checkAnsweredAfterFaults: Checker = (history) => {
  const faultsEnded = faultsEndedAt(history);
  return unansweredPeriods(history)
    .map(({ job, from, to }) => ({ job, from: Math.max(from, faultsEnded), to }))
    .filter(({ from, to }) => to - from > MAX_UNANSWERED_AFTER_FAULTS_MS)
    .map(({ job, from, to }) =>
      violation('forgotten', `${job}: no response from ${from} to ${to}, after all faults ended`, true),
    );
};

/** Rules `invented` and `accepted_impossible`: only a job that was submitted and can run may be accepted. */
export const checkOnlyValidAccepted: Checker = (history) =>
  requestsOf(history)
    .filter((request) => isSuccessful(request) && !history.jobs.has(request.job))
    .map(({ job, status, controller, at }) =>
      history.impossibleJobs.has(job)
        ? violation('accepted_impossible', `${job}: ${status} by ${controller} at ${at}`)
        : violation('invented', `${job}: ${status} by ${controller} at ${at}`),
    );

const completedTasksAt = (history: SoakHistory, spec: JobSpec, at: number): number => {
  const done = taskEventsOf(history).filter(
    (event) => event.kind === 'left' && event.done && event.job === spec.id && event.at <= at,
  );
  // The tasks of a gang complete together: once one is done all are, even if their machines report it later.
  if (spec.shape === 'gang' && done.length > 0) return spec.tasks;
  return new Set(done.map(({ index }) => index)).size;
};

/** Rule `not_done`: a job must not be reported as done before all of its tasks have completed. */
export const checkCompletion: Checker = (history) => {
  const checked = new Set<string>();
  const violations: Violation[] = [];
  for (const { job, stage, at, controller } of requestsOf(history)) {
    const spec = history.jobs.get(job);
    if (stage !== 'done' || spec === undefined || checked.has(job)) continue;
    checked.add(job);
    const done = completedTasksAt(history, spec, at);
    if (done < spec.tasks)
      violations.push(
        violation(
          'not_done',
          `${job} (${spec.shape}): reported done by ${controller} at ${at}, ${done} of ${spec.tasks} tasks completed`,
        ),
      );
  }
  return violations;
};

/** Rule `went_back`: a final stage must not change, and a job must not be cancelled unless a user requested it. */
export const checkStageTransitions: Checker = (history) => {
  const finalStages = new Map<string, { stage: string | null; at: number }>();
  const requests = requestsOf(history);
  const cancelSentAt = new Map<string, number>();
  const violations: Violation[] = [];
  for (const { job, sentAt, request } of requests)
    if (request === 'cancel') cancelSentAt.set(job, Math.min(sentAt, cancelSentAt.get(job) ?? Infinity));
  for (const request of requests) {
    if (!isSuccessful(request)) continue;
    const { job, stage, sentAt, at, controller } = request;
    const earlier = finalStages.get(job);
    if (earlier !== undefined && earlier.at < sentAt && stage !== earlier.stage)
      violations.push(
        violation(
          'went_back',
          `${job}: reported ${earlier.stage} at ${earlier.at}, then ${stage} by ${controller} at ${at}`,
        ),
      );
    if (stage === 'withdrawn' && (cancelSentAt.get(job) ?? Infinity) > at)
      violations.push(
        violation('went_back', `${job}: reported cancelled by ${controller} at ${at} without a request`),
      );
    if (earlier === undefined && FINAL_STAGES.includes(stage)) finalStages.set(job, { stage, at });
  }
  return violations;
};

/** Rule `nothing_ran`: at least one task must start. */
export const checkAnyTaskStarted: Checker = (history) =>
  taskEventsOf(history).some(({ kind }) => kind === 'arrived')
    ? []
    : [violation('nothing_ran', 'no task was started')];

/** Rules `ended_by_itself` and `error_logged`: a controller must not exit on its own or log an error. */
export const checkControllers: Checker = ({ events }) => {
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.kind === 'controllerExited')
      violations.push(
        violation('ended_by_itself', `${event.controller}: exit code ${event.code} at ${event.at}`),
      );
    if (event.kind === 'errorLogged') violations.push(violation('error_logged', event.line));
  }
  return violations;
};

/** Rule `left_waiting`: once all faults have ended, no job may wait for 90 s while a suitable machine has capacity. */
export const checkNoStarvation: Checker = (history) => {
  const faultsEnded = faultsEndedAt(history);
  const periods = new Map<string, { from: number; last: number }>();
  const violations = new Map<string, Violation>();
  for (const event of history.events) {
    if (event.kind !== 'waitingDespiteCapacity' || event.at < faultsEnded) continue;
    for (const job of event.jobs) {
      const period = periods.get(job);
      const continues = period !== undefined && event.at - period.last <= MAX_SAMPLE_GAP_MS;
      const from = continues ? period.from : event.at;
      periods.set(job, { from, last: event.at });
      if (event.at - from > MAX_WAITING_DESPITE_CAPACITY_MS)
        violations.set(
          job,
          violation('left_waiting', `${job}: waited from ${from} to ${event.at} despite free capacity`, true),
        );
    }
  }
  return [...violations.values()];
};

/** The checkers of all rules. */
export const CHECKERS: readonly Checker[] = [
  checkSingleExecution,
  checkQuota,
  checkPlacement,
  checkCancellation,
  checkAcceptedNotRefused,
  checkAnsweredDuringFaults,
  checkAnsweredAfterFaults,
  checkOnlyValidAccepted,
  checkCompletion,
  checkStageTransitions,
  checkAnyTaskStarted,
  checkControllers,
  checkNoStarvation,
];

/** The longest period in which all requests about an accepted job failed, in milliseconds. */
export const longestUnansweredMs = (history: SoakHistory): number =>
  Math.max(0, ...unansweredPeriods(history).map(({ from, to }) => to - from));

/** Runs all checkers on a history and returns every violation. */
export const checkHistory = (history: SoakHistory): Violation[] =>
  CHECKERS.flatMap((checker) => checker(history));
