/** Users as a model: they submit, poll and cancel, try again, and remember what they were told. */
import type { ClientRequest, ClientResponse } from '@shaleyoke/core/domain/client-api';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

import type { Random } from './random.js';
import type { Work } from './work.js';
import { CANCEL } from './workers-model.js';

const TRIES = 90;

export interface Told {
  stage: string;
  at: Micros;
}

export interface UsersHost {
  readonly now: Micros;
  readonly nodes: number;
  /** Asks a node; null: no answer within the user's patience. */
  ask(node: number, body: ClientRequest, then: (a: ClientResponse | null) => void): void;
  later(delay: Micros, run: () => void): void;
  broke(what: string): void;
}

export class UsersModel {
  readonly told = new Map<string, Told>();
  /** The moment at which the user was told that the job is cancelled. */
  readonly cancelledAt = new Map<string, Micros>();
  /** When a question about the job was last answered. */
  readonly answeredAt = new Map<string, Micros>();
  /** Jobs whose users asked to cancel them. */
  readonly asked = new Set<string>();

  /** Chance that users look closely at a job that was just accepted, done or cancelled: see `lookClosely`. */
  closeLooks = 0;
  /** Questions of close looks, by the word that led to them. */
  readonly looks = new Map<string, number>();

  constructor(
    readonly host: UsersHost,
    private readonly work: Work,
    private readonly random: Random,
  ) {}

  private get now(): Micros {
    return this.host.now;
  }

  private ask(
    id: string,
    body: ClientRequest,
    then: (a: ClientResponse | null) => void,
    node = this.random.below(this.host.nodes),
  ): void {
    const known = this.told.get(id);
    this.host.ask(node, body, (a) => {
      this.hear(id, a, known);
      then(a);
    });
  }

  /** All nodes are asked within milliseconds, again and again, and the submission is repeated; now and then they cancel. */
  private lookClosely(id: string, word: string): void {
    const spec = this.work.specs.get(id);
    if (spec === undefined) return;
    for (let node = 0; node < this.host.nodes; node++)
      for (const round of [0, 1, 2]) {
        this.looks.set(word, (this.looks.get(word) ?? 0) + 1);
        const body: ClientRequest =
          this.random.chance(0.3) || (round === 0 && word === 'accepted')
            ? { kind: 'submit', id, spec, problem: null }
            : { kind: 'poll', id };
        this.host.later((round * 15 + this.random.below(15)) * MILLI, () => {
          this.ask(id, body, () => undefined, node);
        });
      }
    if (word === 'accepted' && this.random.chance(0.15))
      this.host.later(this.random.below(40) * MILLI, () => {
        this.cancel(id);
      });
  }

  submit(spec: JobSpec, tries = 0): void {
    this.work.specs.set(spec.id, spec);
    this.ask(spec.id, { kind: 'submit', id: spec.id, spec, problem: null }, (a) => {
      if (a?.kind !== 'view' && tries < TRIES)
        this.host.later(SECOND, () => {
          this.submit(spec, tries + 1);
        });
    });
  }

  /** Polls a node, any one if none is given; `then` gets the answer, null if there was none in time. */
  poll(
    id: string,
    node = this.random.below(this.host.nodes),
    then: (answer: ClientResponse | null) => void = () => undefined,
  ): void {
    this.ask(id, { kind: 'poll', id }, then, node);
  }

  cancel(id: string, tries = 0): void {
    this.asked.add(id);
    this.ask(id, { kind: 'cancel', id }, (a) => {
      if (a?.kind !== 'view' && tries < TRIES)
        this.host.later(SECOND, () => {
          this.cancel(id, tries + 1);
        });
    });
  }

  /** What any node had told when the question was asked must never be taken back. */
  private hear(id: string, a: ClientResponse | null, known: Told | undefined): void {
    if (a?.kind === 'view') this.answeredAt.set(id, this.now);
    if (known !== undefined && (a?.kind === 'absent' || a?.kind === 'malformed' || a?.kind === 'impossible'))
      this.host.broke(`forgotten ${id}: ${a.kind}`);
    if (a?.kind !== 'view') return;
    const before = known?.stage;
    const { stage } = a.view;
    if ((before === 'done' || before === 'cancelled') && stage !== before)
      this.host.broke(`went_back ${id}: ${before} -> ${stage}`);
    if (stage === 'done' && !this.work.isDone(id)) this.host.broke(`not_done ${id}`);
    const line = this.work.lineOf(id);
    if (stage === 'cancelled' && ![...line].some((x) => this.asked.has(x)))
      this.host.broke(`went_back ${id}: nobody cancelled it`);
    line.delete(id);
    if (stage === 'queued' || stage === 'running')
      for (const x of line)
        if ((this.cancelledAt.get(x) ?? Infinity) + CANCEL < this.now)
          this.host.broke(`orphaned ${id}: ${x} is cancelled`);
    if (stage === 'cancelled' && !this.cancelledAt.has(id)) this.cancelledAt.set(id, this.now);
    const last = this.told.get(id)?.stage;
    if (last !== 'done' && last !== 'cancelled') this.told.set(id, { stage, at: this.now });
    const final = stage === 'done' || stage === 'cancelled';
    const news = final ? last !== stage : last === undefined;
    if (news && this.closeLooks > 0 && this.random.chance(this.closeLooks))
      this.lookClosely(id, final ? stage : 'accepted');
  }
}
