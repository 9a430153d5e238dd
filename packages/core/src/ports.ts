/**
 * What the core offers to features. It knows none of them: whoever makes a `Core` hands over what is switched
 * on, and each is told what happens in a leader's term. Nothing here may keep a rule from being kept: a feature
 * can hold back a job that has not begun, and that is all.
 */
import type { AdmissionHold } from './cluster/admission-hold.js';
import type { ActiveJob, TaskAttempt, Machine } from './cluster/cluster-model.js';
import type { NodeContext } from './node/node-context.js';
import type { InternalResponse, ClientRequest } from './domain/client-api.js';
import type { ReportedTask } from './domain/heartbeat.js';
import type { LeaderTerm } from './leadership/leader-term.js';

/** A feature within one term. All calls are synchronous; none may throw for what the outside did. */
export interface FeatureTerm {
  /** The records of earlier leaders are read: jobs and machines are known from here on. */
  ready(): void;
  /** Twice a second, once ready; `entitled`: whether orders may be given now. */
  sweep(entitled: boolean): void;
  /** A task runs, as its machine says. `a.timed` is false where an earlier leader started it. */
  running(a: TaskAttempt): void;
  /** An attempt is surely not on its machine any more; `exit` is null where nobody tells how it ended. */
  ended(a: TaskAttempt, exit: ReportedTask | null): void;
  /** A machine reports the end of an attempt that this leader never knew to run. */
  exited(job: string, exit: ReportedTask): void;
  /** Whether a worker is to keep for now that this attempt was done, though the core has put it on record. */
  keeps(exit: ReportedTask): boolean;
  /** The machine and everything on it are gone; its attempts ended before. */
  gone(m: Machine): void;
  /** No task of the job is anywhere any more, and its record says how it ended. */
  closed(job: ActiveJob): void;
  /** Why a job that has not begun may not begin now; null if it may. */
  holds(job: ActiveJob): AdmissionHold | null;
  /** The office is lost; nothing more is told. */
  stop(): void;
}

/** How jobs wait for each other, as far as the leader knows. */
export interface DependencyLinks {
  /** Jobs that directly need this one and have not ended. */
  needing(id: string): Iterable<ActiveJob>;
}

/** What a feature may do on any node, whoever leads. */
export interface NodeServices {
  readonly ctx: NodeContext;
  /** As a user of this node would ask, on the same path. */
  ask(body: ClientRequest, then: (answer: InternalResponse) => void): void;
}

/** A feature's part on a node, for clients of its own. */
export interface FeatureEndpoint {
  /** `request` is answered by `answerAsked`. */
  asked(request: number, body: unknown): void;
}

/** Puts a client's question to a feature's part; returns its number. `told` is called until the last answer. */
export type AskFeature = (
  feature: string,
  body: unknown,
  told: (answer: unknown, last: boolean) => void,
) => number;

export interface Feature {
  readonly name: string;
  /** Called once for a process, before anything else. */
  serve?(links: NodeServices): FeatureEndpoint;
  /** A new term; called before anything of it is known. */
  begin(term: LeaderTerm, links: DependencyLinks): FeatureTerm;
}

/** Tells all features; a mistake in one of them is logged and keeps neither the others nor the core. */
export class Features {
  private readonly on: readonly { readonly name: string; readonly term: FeatureTerm }[];

  constructor(
    private readonly term: LeaderTerm,
    features: readonly Feature[],
    links: DependencyLinks,
  ) {
    this.on = features.map((f) => ({ name: f.name, term: f.begin(term, links) }));
  }

  tell(what: (f: FeatureTerm) => void): void {
    for (const f of this.on)
      this.term.ctx.guard(f.name, () => {
        what(f.term);
      });
  }

  /** The first reason why a job may not begin now. Who fails to answer holds nothing back. */
  holds(job: ActiveJob): AdmissionHold | null {
    let hold: AdmissionHold | null = null;
    for (const f of this.on)
      this.term.ctx.guard(f.name, () => {
        hold ??= f.term.holds(job);
      });
    return hold;
  }

  /** Whether any of them has yet to put on record that an attempt was done. */
  keeps(exit: ReportedTask): boolean {
    let keep = false;
    for (const f of this.on)
      this.term.ctx.guard(f.name, () => {
        keep ||= f.term.keeps(exit);
      });
    return keep;
  }

  get none(): boolean {
    return this.on.length === 0;
  }
}
