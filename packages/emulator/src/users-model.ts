/** Users as a model: they submit, poll and cancel, try again, and remember what they were told. */
import type { JobSpec, Micros, UserAnswer, UserRequest } from '@shaleyoke/core/model';
import { SECOND } from '@shaleyoke/core/model';
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
  ask(node: number, body: UserRequest, then: (a: UserAnswer | null) => void): void;
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

  constructor(
    readonly host: UsersHost,
    private readonly work: Work,
    private readonly random: Random,
  ) {}

  private get now(): Micros {
    return this.host.now;
  }

  private ask(id: string, body: UserRequest, then: (a: UserAnswer | null) => void): void {
    const known = this.told.get(id);
    this.host.ask(this.random.below(this.host.nodes), body, (a) => {
      this.hear(id, a, known);
      then(a);
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

  poll(id: string): void {
    this.ask(id, { kind: 'poll', id }, () => undefined);
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
  private hear(id: string, a: UserAnswer | null, known: Told | undefined): void {
    if (a?.kind === 'view') this.answeredAt.set(id, this.now);
    if (a?.kind === 'absent' && known !== undefined) this.host.broke(`forgotten ${id}`);
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
  }
}
