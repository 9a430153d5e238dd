/**
 * What the core offers to features. The core knows none of them: whoever makes a `Core` passes those that are switched on, and
 * each is notified of what happens in a leader's term. No feature can break a rule of the protocol: all it may do is hold back
 * a job that has not begun, and have workers keep a result a little longer.
 */
import type { AdmissionHold } from './cluster/admission-hold.js';
import type { ActiveJob, Machine, TaskAttempt } from './cluster/cluster-model.js';
import type { ClientRequest, InternalResponse } from './domain/client-api.js';
import type { ReportedTask } from './domain/heartbeat.js';
import type { LeaderTerm } from './leadership/leader-term.js';
import type { NodeContext } from './node/node-context.js';

/** A feature within one term. All calls are synchronous, and none may throw for what happens outside the process. */
export interface FeatureTerm {
  /** The records of earlier leaders are read: jobs and machines are known from here on. */
  stateRestored(): void;
  /** Called twice a second once the state is restored; `canAct`: whether commands may be sent now. */
  maintain(canAct: boolean): void;
  /** A task runs, as its machine reports. `startTimeKnown` of the attempt is false where an earlier leader started it. */
  taskRunning(attempt: TaskAttempt): void;
  /** An attempt is certainly not on its machine any more; `exit` is null where its end is not known. */
  attemptEnded(attempt: TaskAttempt, exit: ReportedTask | null): void;
  /** A machine reports the end of an attempt that this leader never knew to run. */
  unknownAttemptExited(job: string, exit: ReportedTask): void;
  /** Whether a worker is to keep the result of a done attempt for now, though the core has recorded it. */
  retainsResult(exit: ReportedTask): boolean;
  /** The machine and everything on it are gone; its attempts ended before. */
  machineRemoved(machine: Machine): void;
  /** No task of the job is anywhere any more, and its record holds how it ended. */
  jobClosed(job: ActiveJob): void;
  /** Why a job that has not begun may not begin now; null if it may. */
  admissionHold(job: ActiveJob): AdmissionHold | null;
  /** The leader has stepped down; no further call follows. */
  termEnded(): void;
}

/** How jobs depend on each other, as far as the leader knows. */
export interface DependencyLinks {
  /** Jobs that directly depend on this one and have not ended. */
  dependentsOf(id: string): Iterable<ActiveJob>;
}

/** What a feature may use on any controller, whoever leads. */
export interface NodeServices {
  readonly context: NodeContext;
  /** Submits a request on the same path as a user of this controller. */
  submitRequest(body: ClientRequest, then: (response: InternalResponse) => void): void;
}

/** The endpoint of a feature on one controller, for clients of its own. */
export interface FeatureEndpoint {
  /** Each answer is an effect `featureResponse` for `request`, until the last. */
  handle(request: number, body: unknown): void;
}

/** Passes a client's request to a feature's endpoint; returns its number. `onAnswer` is called until the last answer. */
export type AskFeature = (
  feature: string,
  body: unknown,
  onAnswer: (answer: unknown, last: boolean) => void,
) => number;

/** A part of the product that the core does not depend on. */
export interface Feature {
  readonly name: string;
  /** Called once for a process, before anything else. */
  serve?(services: NodeServices): FeatureEndpoint;
  /** A new term; called before anything of it is known. */
  begin(term: LeaderTerm, dependencies: DependencyLinks): FeatureTerm;
}
