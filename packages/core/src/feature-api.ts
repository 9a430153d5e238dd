/**
 * Interface between the core and its features. The core does not depend on any feature: the creator of a `Core` passes the
 * enabled ones, which are notified of events during a leader's term. A feature can't violate the protocol: all it can do is
 * delay the start of a job, and make workers retain a result a little longer.
 */
import type { AdmissionHold } from './cluster/admission-hold.js';
import type { ActiveJob, Machine, TaskAttempt } from './cluster/cluster-model.js';
import type { ClientRequest, InternalResponse } from './domain/client-api.js';
import type { ReportedTask } from './domain/heartbeat.js';
import type { LeaderTerm } from './leadership/leader-term.js';
import type { NodeContext } from './node/node-context.js';

/**
 * A feature during one leader's term. All calls are synchronous, and must not throw because of events outside the
 * process.
 */
export interface FeatureTerm {
  /** The records of earlier leaders have been read: from now on, jobs and machines are known. */
  stateRestored(): void;
  /** Called twice a second once the state is restored. `canAct`: whether the leader may send commands now. */
  maintain(canAct: boolean): void;
  /** A machine reports a task as running. `attempt.startTimeKnown` is false if an earlier leader started it. */
  taskRunning(attempt: TaskAttempt): void;
  /** An attempt is certain to be no longer on its machine. `exit` is null if it is not known how it ended. */
  attemptEnded(attempt: TaskAttempt, exit: ReportedTask | null): void;
  /** A machine reports the end of an attempt that this leader did not know as running. */
  unknownAttemptExited(job: string, exit: ReportedTask): void;
  /** Whether a worker must retain the result of a finished attempt for now, although the core has recorded it. */
  retainsResult(exit: ReportedTask): boolean;
  /** A machine was removed, after all of its attempts had ended. */
  machineRemoved(machine: Machine): void;
  /** No task of the job exists on any machine, and the job's record says how it ended. */
  jobClosed(job: ActiveJob): void;
  /** Returns why a job that has not started may not start now; null if it may. */
  admissionHold(job: ActiveJob): AdmissionHold | null;
  /** The leader has stepped down. No further calls follow. */
  termEnded(): void;
}

/** The dependencies between jobs that are known to the leader. */
export interface DependencyLinks {
  /** Returns the jobs that directly depend on this one and have not ended. */
  dependentsOf(id: string): Iterable<ActiveJob>;
}

/** Services available to a feature on every controller, whether or not it leads. */
export interface NodeServices {
  /** Clocks, calls, timers and logs of the controller. */
  readonly context: NodeContext;
  /** Handles a request in the same way as one from a client of this controller. */
  submitRequest(body: ClientRequest, onResponse: (response: InternalResponse) => void): void;
}

/** A feature's endpoint on one controller, which serves the feature's own clients. */
export interface FeatureEndpoint {
  /** Handles a request. Each response is emitted as a `featureResponse` effect for `request`; there may be several. */
  handle(request: number, body: unknown): void;
}

/**
 * Passes a client's request to a feature's endpoint, and returns the request's number. `onAnswer` is called for each
 * response.
 */
export type RequestFeature = (
  feature: string,
  body: unknown,
  onAnswer: (answer: unknown, last: boolean) => void,
) => number;

/** An optional part of the product, on which the core does not depend. */
export interface Feature {
  /** Unique name, by which requests to its endpoint are routed. */
  readonly name: string;
  /** Called once per process, before anything else. Returns the feature's endpoint. */
  createEndpoint?(services: NodeServices): FeatureEndpoint;
  /** Called at the start of a leader's term, before the stored state is restored. */
  beginTerm(term: LeaderTerm, dependencies: DependencyLinks): FeatureTerm;
}
