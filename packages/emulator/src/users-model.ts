/** Model of the users: they submit, poll and cancel jobs, retry, and check that answers don't contradict earlier ones. */
import type { ClientRequest, ClientResponse } from '@shaleyoke/core/domain/client-api';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import type { Random } from './random.js';
import { CANCELLATION_DEADLINE } from './workers-model.js';
import type { Workload } from './workload.js';

/** Submissions and cancellations are retried this often, a second apart. */
const MAX_RETRIES = 90;

/** The stage of a job that users were told, and when. */
export interface KnownStage {
  /** The stage in the answer's view of the job. */
  stage: string;
  /** When users were told. */
  at: Micros;
}

/** Interface of the simulation to the users. */
export interface UsersHost {
  /** Simulation time. */
  readonly now: Micros;
  /** Number of controllers. */
  readonly nodes: number;
  /** Sends a request to a node; null: there was no answer before the user's timeout. */
  sendRequest(node: number, body: ClientRequest, onAnswer: (answer: ClientResponse | null) => void): void;
  /** Runs a function after a delay. */
  schedule(delay: Micros, run: () => void): void;
  /** Records that an invariant is violated. */
  reportViolation(violation: string): void;
}

/** All users of a simulation. */
export class UsersModel {
  /** Last stage reported to users, by job; the first final stage is kept. */
  readonly knownStages = new Map<string, KnownStage>();
  /** When a user was first told that the job is cancelled, by job. */
  readonly cancelledAt = new Map<string, Micros>();
  /** When a request about the job was last answered with its state, by job. */
  readonly answeredAt = new Map<string, Micros>();
  /** Jobs that users asked to cancel. */
  readonly cancelRequested = new Set<string>();

  /** Probability of a burst of queries about a job that was just accepted, done or cancelled: see `sendQueryBurst`. */
  queryBurstChance = 0;
  /** Number of queries in bursts, by the stage that led to them. */
  readonly burstQueries = new Map<string, number>();

  constructor(
    /** Tests use its `ask` to send single requests. */
    readonly host: UsersHost,
    private readonly work: Workload,
    private readonly random: Random,
  ) {}

  private get now(): Micros {
    return this.host.now;
  }

  private send(
    id: string,
    body: ClientRequest,
    onAnswer: (answer: ClientResponse | null) => void,
    node = this.random.below(this.host.nodes),
  ): void {
    const known = this.knownStages.get(id);
    this.host.sendRequest(node, body, (answer) => {
      this.checkAnswer(id, answer, known);
      onAnswer(answer);
    });
  }

  /** Polls every node three times within milliseconds and repeats the submission; sometimes cancels an accepted job. */
  private sendQueryBurst(id: string, stage: string): void {
    const spec = this.work.specs.get(id);
    if (spec === undefined) return;
    for (let node = 0; node < this.host.nodes; node++)
      for (const round of [0, 1, 2]) {
        this.burstQueries.set(stage, (this.burstQueries.get(stage) ?? 0) + 1);
        const body: ClientRequest =
          this.random.chance(0.3) || (round === 0 && stage === 'accepted')
            ? { kind: 'submit', id, spec, problem: null }
            : { kind: 'poll', id };
        this.host.schedule((round * 15 + this.random.below(15)) * MILLISECOND, () => {
          this.send(id, body, () => undefined, node);
        });
      }
    if (stage === 'accepted' && this.random.chance(0.15))
      this.host.schedule(this.random.below(40) * MILLISECOND, () => {
        this.cancel(id);
      });
  }

  /** Submits a job, and retries until the answer is its state. */
  submit(spec: JobSpec, tries = 0): void {
    this.work.specs.set(spec.id, spec);
    this.send(spec.id, { kind: 'submit', id: spec.id, spec, problem: null }, (answer) => {
      if (answer?.kind !== 'view' && tries < MAX_RETRIES)
        this.host.schedule(SECOND, () => {
          this.submit(spec, tries + 1);
        });
    });
  }

  /** Polls a node, by default a random one; `onAnswer` gets the answer, or null if there was none in time. */
  poll(
    id: string,
    node = this.random.below(this.host.nodes),
    onAnswer: (answer: ClientResponse | null) => void = () => undefined,
  ): void {
    this.send(id, { kind: 'poll', id }, onAnswer, node);
  }

  /** Cancels a job, and retries until the answer is its state. */
  cancel(id: string, tries = 0): void {
    this.cancelRequested.add(id);
    this.send(id, { kind: 'cancel', id }, (answer) => {
      if (answer?.kind !== 'view' && tries < MAX_RETRIES)
        this.host.schedule(SECOND, () => {
          this.cancel(id, tries + 1);
        });
    });
  }

  /** Checks that an answer doesn't contradict what any node had answered before the request was sent. */
  private checkAnswer(id: string, answer: ClientResponse | null, known: KnownStage | undefined): void {
    if (answer?.kind === 'view') this.answeredAt.set(id, this.now);
    if (
      known !== undefined &&
      (answer?.kind === 'absent' || answer?.kind === 'malformed' || answer?.kind === 'impossible')
    )
      this.host.reportViolation(`forgotten ${id}: ${answer.kind}`);
    if (answer?.kind !== 'view') return;
    const stageBefore = known?.stage;
    const { stage } = answer.view;
    if ((stageBefore === 'done' || stageBefore === 'cancelled') && stage !== stageBefore)
      this.host.reportViolation(`went_back ${id}: ${stageBefore} -> ${stage}`);
    if (stage === 'done' && !this.work.isDone(id)) this.host.reportViolation(`not_done ${id}`);
    const related = this.work.withDependencies(id);
    if (stage === 'cancelled' && ![...related].some((other) => this.cancelRequested.has(other)))
      this.host.reportViolation(`went_back ${id}: nobody cancelled it`);
    related.delete(id);
    if (stage === 'queued' || stage === 'running')
      for (const other of related)
        if ((this.cancelledAt.get(other) ?? Infinity) + CANCELLATION_DEADLINE < this.now)
          this.host.reportViolation(`orphaned ${id}: ${other} is cancelled`);
    if (stage === 'cancelled' && !this.cancelledAt.has(id)) this.cancelledAt.set(id, this.now);
    const lastStage = this.knownStages.get(id)?.stage;
    if (lastStage !== 'done' && lastStage !== 'cancelled') this.knownStages.set(id, { stage, at: this.now });
    const isFinal = stage === 'done' || stage === 'cancelled';
    const isNews = isFinal ? lastStage !== stage : lastStage === undefined;
    if (isNews && this.queryBurstChance > 0 && this.random.chance(this.queryBurstChance))
      this.sendQueryBurst(id, isFinal ? stage : 'accepted');
  }
}
