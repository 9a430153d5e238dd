/**
 * The users' desk, the same on every node: accepts and cancels by compare-and-set on the job's record
 * and answers only after the write; answers polls from records validated in the state service.
 */
import type { Context } from './context.js';
import { activeKey, endedKey } from './keys.js';
import type { Condition, JobSpec, JobView, PeerMessage, Stage, UserAnswer, UserRequest } from './model.js';
import { MILLI, SECOND, type Micros } from './model.js';
import { fitsSomewhere } from './room.js';
import { activeRecord, endedFromActive, readActive, readEnded } from './records.js';

type Known =
  | { readonly kind: 'active'; readonly version: number; readonly spec: JobSpec }
  | { readonly kind: 'ended'; readonly stage: 'done' | 'cancelled'; readonly done: number };
type Found = Known | { readonly kind: 'none' } | { readonly kind: 'unknown' };

const MAX_CACHED = 20_000;
/** Polls arriving within this time share one request, or for longer where requests are scarce. */
const GATHER_US = 30 * MILLI;
/** Share of all requests that one node's validations of polls may take. */
const POLL_SHARE = 0.06;

/** A poll that waits for validation. */
interface Waiter {
  readonly request: number;
}

export class Desk {
  private readonly cache = new Map<string, Known>();
  private readonly progress = new Map<string, { done: number; running: number }>();
  private waiting = new Map<string, Waiter[]>();
  private validating = false;

  private readonly gatherUs: Micros;

  constructor(private readonly ctx: Context) {
    this.gatherUs = Math.max(GATHER_US, Math.round(SECOND / (POLL_SHARE * ctx.settings.stateRps)));
  }

  handle(request: number, body: UserRequest): void {
    switch (body.kind) {
      case 'health':
        this.answer(
          request,
          this.ctx.types.size > 0 ? { kind: 'healthy' } : this.unavailable('machine types not known yet'),
        );
        return;
      case 'poll':
        this.poll(request, body.id);
        return;
      case 'cancel':
        this.cancel(request, body.id);
        return;
      case 'submit':
        this.submit(request, body);
        return;
    }
  }

  /** Display counts from the leader. */
  noteProgress(m: PeerMessage): void {
    for (const n of m.notes) {
      this.progress.delete(n.id);
      this.progress.set(n.id, { done: n.done, running: n.running });
      if (this.progress.size > MAX_CACHED) this.drop(this.progress);
    }
  }

  /** The leader learns of ends from its own writes and its watch. */
  noteEnded(id: string, stage: 'done' | 'cancelled', done: number): void {
    this.remember(id, { kind: 'ended', stage, done });
  }

  private answer(request: number, answer: UserAnswer): void {
    this.ctx.emit({ kind: 'answerUser', request, answer });
  }

  private unavailable(problem: string): UserAnswer {
    return { kind: 'unavailable', retryAfterS: 1, problem };
  }

  private drop(map: Map<string, unknown>): void {
    const oldest = map.keys().next();
    if (oldest.done !== true) map.delete(oldest.value);
  }

  private remember(id: string, k: Known): void {
    const old = this.cache.get(id);
    if (old?.kind === 'ended') return;
    this.cache.delete(id);
    this.cache.set(id, k);
    if (k.kind === 'ended') this.progress.delete(id);
    if (this.cache.size > MAX_CACHED) this.drop(this.cache);
  }

  private view(id: string, k: Known): JobView {
    if (k.kind === 'ended') return { id, stage: k.stage, done: k.done, running: 0 };
    const p = this.progress.get(id) ?? { done: 0, running: 0 };
    const stage: Stage = p.running > 0 ? 'running' : 'queued';
    return { id, stage, done: p.done, running: p.running };
  }

  private show(request: number, id: string, k: Known, created = false): void {
    this.answer(request, { kind: 'view', created, view: this.view(id, k) });
  }

  /** Reads a job's record. First `j/`, then `t/`: records only ever move that way. */
  private lookup(id: string, then: (f: Found) => void): void {
    this.ctx.state({ kind: 'get', key: activeKey(id) }, 1, (a) => {
      if (a.kind === 'item') {
        const rec = readActive(a.item.value);
        if (rec === null) {
          then({ kind: 'unknown' });
          return;
        }
        const k: Known = { kind: 'active', version: a.item.version, spec: rec.spec };
        this.remember(id, k);
        then(this.cache.get(id) ?? k);
      } else if (a.kind === 'missing') {
        this.ctx.state({ kind: 'get', key: endedKey(id) }, 1, (t) => {
          if (t.kind === 'item') {
            const rec = readEnded(t.item.value);
            if (rec === null) {
              then({ kind: 'unknown' });
              return;
            }
            const k: Known = { kind: 'ended', stage: rec.stage, done: rec.done };
            this.remember(id, k);
            then(k);
          } else if (t.kind === 'missing') then({ kind: 'none' });
          else then({ kind: 'unknown' });
        });
      } else then({ kind: 'unknown' });
    });
  }

  private poll(request: number, id: string): void {
    const known = this.cache.get(id);
    if (known?.kind === 'ended') {
      this.show(request, id, known);
      return;
    }
    const w = this.waiting.get(id);
    if (w === undefined) this.waiting.set(id, [{ request }]);
    else w.push({ request });
    if (!this.validating) {
      this.validating = true;
      this.ctx.after(this.gatherUs, () => {
        this.validate();
      });
    }
  }

  /**
   * One transaction with only conditions validates many cached records: an answer that is not final
   * must be no older than what any other node has told.
   */
  private validate(): void {
    const limit = Math.max(2, this.ctx.settings.txnOps * 4);
    const conditions: Condition[] = [];
    const batch = new Map<string, Waiter[]>();
    for (const [id, waiters] of this.waiting) {
      const known = this.cache.get(id);
      if (known?.kind === 'ended') {
        for (const w of waiters) this.show(w.request, id, known);
        this.waiting.delete(id);
        continue;
      }
      const needed = known === undefined ? 2 : 1;
      if (conditions.length + needed > limit) break;
      conditions.push({ key: activeKey(id), version: known?.version ?? 0 });
      if (known === undefined) conditions.push({ key: endedKey(id), version: 0 });
      batch.set(id, waiters);
      this.waiting.delete(id);
    }
    if (conditions.length === 0) {
      this.validating = false;
      return;
    }
    const before = new Map([...batch.keys()].map((id) => [id, this.cache.get(id)]));
    this.ctx.state({ kind: 'txn', conditions, writes: [] }, 1, (r) => {
      if (r.kind === 'ok') {
        for (const [id, waiters] of batch) this.settle(id, waiters, before.get(id));
      } else if (r.kind === 'conflict' && r.failed.length > 0) {
        const failed = new Set(r.failed);
        for (const [id, waiters] of batch) {
          if (failed.has(activeKey(id)) || failed.has(endedKey(id))) this.reread(id, waiters);
          else this.requeue(id, waiters);
        }
      } else {
        for (const waiters of batch.values())
          for (const w of waiters) this.answer(w.request, this.unavailable('state service not answering'));
      }
      if (this.waiting.size > 0) this.ctx.after(this.gatherUs, () => this.validate());
      else this.validating = false;
    });
  }

  private requeue(id: string, waiters: Waiter[]): void {
    const w = this.waiting.get(id);
    if (w === undefined) this.waiting.set(id, waiters);
    else w.push(...waiters);
  }

  private settle(id: string, waiters: Waiter[], validated: Known | undefined): void {
    const known = this.cache.get(id) ?? validated;
    for (const w of waiters) {
      if (known === undefined) this.answer(w.request, { kind: 'absent' });
      else this.show(w.request, id, known);
    }
  }

  private reread(id: string, waiters: Waiter[]): void {
    this.lookup(id, (f) => {
      for (const w of waiters) this.found(w.request, id, f, { kind: 'absent' });
    });
  }

  private found(request: number, id: string, f: Found, none: UserAnswer): void {
    if (f.kind === 'unknown') this.answer(request, this.unavailable('state service not answering'));
    else if (f.kind === 'none') this.answer(request, none);
    else this.show(request, id, f);
  }

  private submit(request: number, body: UserRequest & { kind: 'submit' }): void {
    const { id, spec } = body;
    const known = id === null ? undefined : this.cache.get(id);
    if (known?.kind === 'ended' && id !== null) {
      this.show(request, id, known);
      return;
    }
    // A known job is answered with its state whatever the body says; only then is the body judged.
    const refuse = (a: UserAnswer): void => {
      if (id === null) this.answer(request, a);
      else this.lookup(id, (f) => this.found(request, id, f, a));
    };
    if (spec === null) {
      refuse({ kind: 'malformed', problem: body.problem ?? 'malformed' });
      return;
    }
    const team = this.ctx.settings.teams.find((t) => t.name === spec.team);
    if (team === undefined) {
      refuse({ kind: 'impossible', problem: 'unknown team' });
      return;
    }
    const times = spec.shape === 'array' ? 1 : spec.tasks;
    if (
      (team.coresMax > 0 && spec.cores * times > team.coresMax) ||
      (team.gpusMax > 0 && spec.gpus * times > team.gpusMax)
    ) {
      refuse({ kind: 'impossible', problem: "more than the team's limit" });
      return;
    }
    if (this.ctx.types.size === 0) {
      this.answer(request, this.unavailable('machine types not known yet'));
      return;
    }
    if (!fitsSomewhere(spec, this.ctx.types)) {
      refuse({ kind: 'impossible', problem: 'fits no allowed machine type' });
      return;
    }
    const record = activeRecord(spec, this.ctx.wallNow);
    if (JSON.stringify(record).length > this.ctx.settings.valueBytes - 256) {
      refuse({ kind: 'malformed', problem: 'description too long' });
      return;
    }
    this.accept(request, spec, record);
  }

  private accept(request: number, spec: JobSpec, record: unknown): void {
    this.ctx.state(
      {
        kind: 'txn',
        conditions: [
          { key: activeKey(spec.id), version: 0 },
          { key: endedKey(spec.id), version: 0 },
        ],
        writes: [{ kind: 'put', key: activeKey(spec.id), value: record }],
      },
      1,
      (r) => {
        if (r.kind === 'ok') {
          const k: Known = { kind: 'active', version: r.revision, spec };
          this.remember(spec.id, k);
          this.ctx.info('job.accepted', { job: spec.id, class: spec.class, tasks: spec.tasks });
          this.show(request, spec.id, this.cache.get(spec.id) ?? k, true);
        } else if (r.kind === 'conflict') {
          this.lookup(spec.id, (f) =>
            this.found(request, spec.id, f, this.unavailable('record changed meanwhile')),
          );
        } else this.answer(request, this.unavailable('state service not answering'));
      },
    );
  }

  private cancel(request: number, id: string, tries = 0): void {
    const known = this.cache.get(id);
    if (known?.kind === 'ended') {
      this.show(request, id, known);
      return;
    }
    if (known === undefined || tries > 0) {
      this.lookup(id, (f) => {
        if (f.kind === 'active') this.withdraw(request, id, f, tries);
        else this.found(request, id, f, { kind: 'absent' });
      });
      return;
    }
    this.withdraw(request, id, known, tries);
  }

  private withdraw(request: number, id: string, k: Known & { kind: 'active' }, tries: number): void {
    this.ctx.state(
      {
        kind: 'txn',
        conditions: [{ key: activeKey(id), version: k.version }],
        writes: [
          { kind: 'delete', key: activeKey(id) },
          { kind: 'put', key: endedKey(id), value: endedFromActive(k.spec, 'cancelled', 0) },
        ],
      },
      1,
      (r) => {
        if (r.kind === 'ok') {
          const ended: Known = { kind: 'ended', stage: 'cancelled', done: 0 };
          this.remember(id, ended);
          this.ctx.info('job.cancelled', { job: id });
          this.show(request, id, this.cache.get(id) ?? ended);
        } else if (r.kind === 'conflict' && tries < 3) this.cancel(request, id, tries + 1);
        else this.answer(request, this.unavailable('state service not answering'));
      },
    );
  }
}
