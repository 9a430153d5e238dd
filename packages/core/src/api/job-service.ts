/**
 * The users' desk, the same on every node: accepts and cancels by compare-and-set on the job's record
 * and answers only after the write; answers polls from records validated in the state service.
 */
import type { NodeContext } from '../node/node-context.js';
import { activeKey, endedKey, idOfActive } from '../codecs/keys.js';
import type { ExtraWrites, InternalResponse, ClientResponse, ClientRequest } from '../domain/client-api.js';
import type { JobSpec, JobView, JobStage } from '../domain/job.js';
import type { VersionCondition } from '../domain/key-value-store.js';
import type { ProgressUpdate } from '../domain/peer.js';
import { MILLI, SECOND, type Micros } from '../domain/time.js';
import { fitsSomewhere } from '../domain/resources.js';
import { encodeActiveJob, encodeEndedJob, decodeActiveJob, decodeEndedJob } from '../codecs/job-codec.js';
import { bytesOf } from '../codecs/value-size.js';

type Known =
  | { readonly kind: 'active'; readonly version: number; readonly spec: JobSpec }
  | {
      readonly kind: 'ended';
      readonly stage: 'done' | 'cancelled';
      readonly done: number;
      readonly service: boolean;
    };
type Found = Known | { readonly kind: 'none' } | { readonly kind: 'unknown' };

/** What an answer to a poll rests on. */
type Basis =
  | { readonly kind: 'final'; readonly known: Known & { kind: 'ended' } }
  | { readonly kind: 'conditions'; readonly conditions: readonly VersionCondition[] }
  /** The records of these jobs have to be read first. */
  | { readonly kind: 'unread'; readonly ids: readonly string[] };

const MAX_CACHED = 20_000;
/** Polls arriving within this time share one request, or for longer where requests are scarce. */
const GATHER_US = 30 * MILLI;
/** Share of all requests that one node's validations of polls may take. */
const POLL_SHARE = 0.06;

/** A poll that waits for validation. */
interface Waiter {
  readonly request: number;
}

export class JobService {
  private readonly cache = new Map<string, Known>();
  private readonly progress = new Map<string, { done: number; running: number }>();
  private waiting = new Map<string, Waiter[]>();
  private validating = false;
  /**
   * Jobs whose last comparison failed though others did not, and with how many it is compared the next time: half as many.
   * One record that nobody answers for once held up all whose users ask at the same moments.
   */
  private readonly doubted = new Map<string, number>();

  /** Who waits for answers within this process, by request; those have numbers below zero. */
  private readonly inner = new Map<number, (answer: InternalResponse) => void>();
  private lastInner = 0;

  private readonly gatherUs: Micros;

  constructor(
    private readonly ctx: NodeContext,
    /** Whether the state service answers another node while it does not answer this one. */
    private readonly servedElsewhere: () => boolean = () => false,
  ) {
    this.gatherUs = Math.max(GATHER_US, Math.round(SECOND / (POLL_SHARE * ctx.settings.storeRequestsPerS)));
    ctx.onStoreLost.push(() => {
      // Who waits for the next comparison is told now: a user's poll gives up after two seconds.
      for (const waiters of this.waiting.values()) this.fail(waiters);
      this.waiting.clear();
    });
  }

  /**
   * Whether nothing can be looked up now. Then the answer is given at once: users who waited for call after call to a
   * silent state service had their requests time out, 143 to 187 of them on a day of one cut.
   */
  private get cutOff(): boolean {
    return this.ctx.storeConnection.downSince !== null;
  }

  handle(request: number, body: ClientRequest): void {
    if (body.kind !== 'health' && this.cutOff && !this.hasEnded(body.id)) {
      this.answer(request, this.unavailable('state service not answering'));
      return;
    }
    switch (body.kind) {
      case 'health':
        this.answer(request, this.health());
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

  /**
   * Users are sent away from a node that is cut off from the state service only if another one is known to be served: in an
   * outage all nodes would leave the load balancer, and be missing from it for seconds after its end.
   */
  private health(): ClientResponse {
    if (this.ctx.types.size === 0) return this.unavailable('machine types not known yet');
    return this.cutOff && this.servedElsewhere()
      ? this.unavailable('state service not answering this node')
      : { kind: 'healthy' };
  }

  /** Whether the job's end is known here: that never changes. */
  hasEnded(id: string | null): boolean {
    return id !== null && this.cache.get(id)?.kind === 'ended';
  }

  /** The same for a feature of this process: by the same path, with the answer handed over. */
  ask(body: ClientRequest, then: (answer: InternalResponse) => void): void {
    const request = --this.lastInner;
    this.inner.set(request, then);
    this.handle(request, body);
  }

  /** Display counts from the leader. */
  recordProgress(m: ProgressUpdate): void {
    for (const n of m.jobs) {
      this.progress.delete(n.id);
      this.progress.set(n.id, { done: n.done, running: n.running });
      if (this.progress.size > MAX_CACHED) this.drop(this.progress);
    }
  }

  /** The leader learns of ends from its own writes and its watch. */
  recordTerminalState(id: string, stage: 'done' | 'cancelled', done: number, service = false): void {
    this.remember(id, { kind: 'ended', stage, done, service });
  }

  private answer(request: number, answer: InternalResponse): void {
    const then = this.inner.get(request);
    if (then !== undefined) {
      this.inner.delete(request);
      then(answer);
    } else if (answer.kind !== 'taken') this.ctx.emit({ kind: 'clientResponse', request, answer });
  }

  private unavailable(problem: string): ClientResponse {
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
    const stage: JobStage = p.running > 0 ? 'running' : 'queued';
    return { id, stage, done: p.done, running: p.running };
  }

  private show(request: number, id: string, k: Known, created = false): void {
    this.answer(request, { kind: 'view', created, view: this.view(id, k) });
  }

  /** Reads a job's record. First `j/`, then `t/`: records only ever move that way. */
  private lookup(id: string, then: (f: Found) => void): void {
    this.ctx.requestStore({ kind: 'get', key: activeKey(id) }, 1, (a) => {
      if (a.kind === 'item') {
        const rec = decodeActiveJob(a.item.value);
        if (rec === null) {
          then({ kind: 'unknown' });
          return;
        }
        const k: Known = { kind: 'active', version: a.item.version, spec: rec.spec };
        this.remember(id, k);
        then(this.cache.get(id) ?? k);
      } else if (a.kind === 'missing') {
        this.ctx.requestStore({ kind: 'get', key: endedKey(id) }, 1, (t) => {
          if (t.kind === 'item') {
            const rec = decodeEndedJob(t.item.value);
            if (rec === null) {
              then({ kind: 'unknown' });
              return;
            }
            const service = rec.shape === 'service';
            const k: Known = { kind: 'ended', stage: rec.stage, done: rec.done, service };
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
    this.requeue(id, [{ request }]);
    this.validateLater();
  }

  /**
   * What must still hold for an answer that is not final: the versions of the job's record and of those of
   * all jobs that it needs, directly or through others. A job is cancelled if any of them is, whether or not
   * its own record says so yet: each node tells so from the records, also while nobody leads.
   */
  private basisOf(id: string): Basis {
    const known = this.cache.get(id);
    const conditions: VersionCondition[] = [];
    if (known === undefined) {
      conditions.push({ key: activeKey(id), version: 0 }, { key: endedKey(id), version: 0 });
      return { kind: 'conditions', conditions };
    }
    if (known.kind === 'ended') return { kind: 'final', known };
    const seen = new Set([id]);
    const unread: string[] = [];
    const next: { id: string; known: Known }[] = [{ id, known }];
    for (let x = next.pop(); x !== undefined; x = next.pop()) {
      if (x.known.kind === 'ended') {
        if (x.known.stage === 'done') continue;
        const cancelled = { kind: 'ended', stage: 'cancelled', done: 0, service: false } as const;
        this.remember(id, cancelled);
        return { kind: 'final', known: cancelled };
      }
      conditions.push({ key: activeKey(x.id), version: x.known.version });
      for (const n of x.known.spec.dependsOn) {
        if (seen.has(n)) continue;
        seen.add(n);
        const needed = this.cache.get(n);
        if (needed === undefined) unread.push(n);
        else next.push({ id: n, known: needed });
      }
    }
    return unread.length > 0 ? { kind: 'unread', ids: unread } : { kind: 'conditions', conditions };
  }

  private get conditionLimit(): number {
    return Math.max(2, this.ctx.settings.maxTransactionOperations * 4);
  }

  /**
   * One transaction with only conditions validates many cached records: an answer that is not final
   * must be no older than what any other node has told.
   */
  private validate(): void {
    const limit = this.conditionLimit;
    // Those in equal doubt at a time, the least doubted first: what is well is not compared together with what may not be.
    let most = -1;
    for (const id of this.waiting.keys()) most = Math.max(most, this.companyOf(id));
    const conditions = new Map<string, VersionCondition>();
    const batch = new Map<string, { waiters: Waiter[]; keys: string[] }>();
    for (const [id, waiters] of [...this.waiting]) {
      const basis = this.basisOf(id);
      if (basis.kind === 'final') {
        for (const w of waiters) this.show(w.request, id, basis.known);
        this.waiting.delete(id);
      } else if (basis.kind === 'unread') {
        this.waiting.delete(id);
        this.learnNeeded(basis.ids, id, waiters);
      } else {
        const added = basis.conditions.filter((c) => !conditions.has(c.key));
        // A job with more than that behind it is validated alone, in several transactions.
        if (conditions.size > 0 && conditions.size + added.length > limit) continue;
        if (this.companyOf(id) !== most || batch.size >= Math.max(1, most)) continue;
        for (const c of added) conditions.set(c.key, c);
        batch.set(id, { waiters, keys: basis.conditions.map((c) => c.key) });
        this.waiting.delete(id);
      }
    }
    if (conditions.size === 0) {
      this.validating = false;
      if (this.waiting.size > 0) this.validateLater();
      return;
    }
    const before = new Map([...batch.keys()].map((id) => [id, this.cache.get(id)]));
    this.compare([...conditions.values()], limit, (failed) => {
      for (const id of batch.keys()) {
        // In an interruption nobody is compared any more, so that few are doubted for it, and only until they are next.
        if (failed === null) this.doubted.set(id, batch.size >> 1);
        else this.doubted.delete(id);
        if (this.doubted.size > MAX_CACHED) this.drop(this.doubted);
      }
      if (failed === null) {
        for (const { waiters } of batch.values()) this.fail(waiters);
      } else if (failed.size === 0) {
        for (const [id, { waiters }] of batch) this.settle(id, waiters, before.get(id));
      } else {
        for (const [id, { waiters, keys }] of batch) {
          const others = keys.filter((k) => failed.has(k)).map(idOfActive);
          if (failed.has(activeKey(id)) || failed.has(endedKey(id))) this.reread(id, waiters);
          else if (others.length > 0) this.learnNeeded(others, id, waiters);
          else this.requeue(id, waiters);
        }
      }
      this.validating = false;
      if (this.waiting.size > 0) this.validateLater();
    });
  }

  /** With how many at most, itself counted, a job is compared; 0: alone, and it failed so. */
  private companyOf(id: string): number {
    return this.doubted.get(id) ?? Infinity;
  }

  private validateLater(delay = this.gatherUs): void {
    if (this.validating) return;
    this.validating = true;
    this.ctx.after(delay, () => {
      this.validate();
    });
  }

  /** Which of the conditions fail, or null if that can't be learned. */
  private compare(
    conditions: readonly VersionCondition[],
    limit: number,
    then: (failed: ReadonlySet<string> | null) => void,
  ): void {
    this.ctx.requestStore({ kind: 'txn', conditions: conditions.slice(0, limit), writes: [] }, 1, (r) => {
      if (r.kind === 'conflict' && r.failed.length > 0) then(new Set(r.failed));
      else if (r.kind !== 'ok') then(null);
      else if (conditions.length > limit) this.compare(conditions.slice(limit), limit, then);
      else then(new Set());
    });
  }

  /** Reads the records of needed jobs; the polls that depend on them wait meanwhile. */
  private learnNeeded(needed: readonly string[], id: string, waiters: Waiter[]): void {
    let left = needed.length;
    let whole = true;
    for (const n of needed)
      this.lookup(n, (f) => {
        whole &&= f.kind === 'active' || f.kind === 'ended';
        if (--left > 0) return;
        if (whole) {
          this.requeue(id, waiters);
          this.validateLater(MILLI);
        } else this.fail(waiters);
      });
  }

  private fail(waiters: readonly Waiter[]): void {
    for (const w of waiters) this.answer(w.request, this.unavailable('state service not answering'));
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

  private found(request: number, id: string, f: Found, none: ClientResponse): void {
    if (f.kind === 'unknown') this.answer(request, this.unavailable('state service not answering'));
    else if (f.kind === 'none') this.answer(request, none);
    // Whether it still waits is told by the records of others as well.
    else if (f.kind === 'active' && f.spec.dependsOn.length > 0) this.poll(request, id);
    else this.show(request, id, f);
  }

  private submit(request: number, body: ClientRequest & { kind: 'submit' }): void {
    const { id, spec } = body;
    const known = id === null ? undefined : this.cache.get(id);
    if (known?.kind === 'ended' && id !== null) {
      this.show(request, id, known);
      return;
    }
    if (known !== undefined && id !== null && body.extraWrites === undefined) {
      // Accepted for ever: a comparison tells how it stands now. The accepting transaction would tell as well, but writes
      // that fail count against the limit, and users who repeat themselves ate the writes of others' work.
      this.poll(request, id);
      return;
    }
    // A known job is answered with its state whatever the body says; only then is the body judged.
    const refuse = (a: ClientResponse): void => {
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
      (team.maxCores > 0 && spec.cores * times > team.maxCores) ||
      (team.maxGpus > 0 && spec.gpus * times > team.maxGpus)
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
    const record = encodeActiveJob(spec, this.ctx.wallNow);
    if (bytesOf(record) > this.ctx.settings.maxValueBytes - 128) {
      refuse({ kind: 'malformed', problem: 'description too long' });
      return;
    }
    this.checkNeeds(spec.dependsOn, (problem) => {
      if (problem === null) this.accept(request, spec, record, body.extraWrites);
      else if (problem === 'unknown')
        this.answer(request, this.unavailable('named jobs can not be looked up'));
      else refuse({ kind: 'impossible', problem });
    });
  }

  /**
   * Whether all named jobs were accepted; null if so, `unknown` if that can't be learned now. Accepted is for
   * ever, so each may be looked up by itself, however many there are.
   */
  private checkNeeds(needs: readonly string[], then: (problem: string | null) => void): void {
    let left = 1;
    let worst: string | null = null;
    const one = (f: Found): void => {
      if (f.kind === 'none') worst = 'awaits: names a job that was never accepted';
      else if (f.kind === 'unknown') worst ??= 'unknown';
      else if (f.kind === 'active' ? f.spec.shape === 'service' : f.service)
        worst = 'awaits: names a service';
      if (--left === 0) then(worst);
    };
    for (const n of needs) {
      left++;
      const known = this.cache.get(n);
      if (known !== undefined) one(known);
      else this.lookup(n, one);
    }
    if (--left === 0) then(worst);
  }

  private accept(request: number, spec: JobSpec, record: unknown, beside: ExtraWrites | undefined): void {
    this.ctx.requestStore(
      {
        kind: 'txn',
        conditions: [
          { key: activeKey(spec.id), version: 0 },
          { key: endedKey(spec.id), version: 0 },
          ...(beside?.conditions ?? []),
        ],
        writes: [{ kind: 'put', key: activeKey(spec.id), value: record }, ...(beside?.writes ?? [])],
      },
      1,
      (r) => {
        if (r.kind === 'ok') {
          const k: Known = { kind: 'active', version: r.revision, spec };
          this.remember(spec.id, k);
          this.ctx.info('job.accepted', {
            job: spec.id,
            class: spec.class,
            tasks: spec.tasks,
            ...(spec.dependsOn.length > 0 ? { needs: spec.dependsOn } : {}),
          });
          // A feature's client is told of what was put just now; how the job stands it asks for later.
          if (beside !== undefined)
            this.answer(request, {
              kind: 'view',
              created: true,
              view: this.view(spec.id, k),
              revision: r.revision,
            });
          else this.showAccepted(request, k);
        } else if (r.kind === 'conflict' && beside?.conditions.some((c) => r.failed.includes(c.key)) === true)
          this.answer(request, { kind: 'taken', keys: r.failed });
        else if (r.kind === 'conflict') {
          this.lookup(spec.id, (f) =>
            this.found(request, spec.id, f, this.unavailable('record changed meanwhile')),
          );
        } else this.answer(request, this.unavailable('state service not answering'));
      },
    );
  }

  /**
   * A job may name one that was cancelled long ago, which this node need not have heard of: then it is cancelled
   * as well, and calling it queued would be too late (`orphaned`, found by a generated history). So the records
   * before it are compared first, as for a poll.
   */
  private showAccepted(request: number, k: Known & { kind: 'active' }): void {
    const { id } = k.spec;
    const show = (): void => {
      this.show(request, id, this.cache.get(id) ?? k, true);
    };
    const basis = k.spec.dependsOn.length === 0 ? null : this.basisOf(id);
    if (basis === null || basis.kind === 'final') show();
    else if (basis.kind === 'unread') this.poll(request, id);
    else
      this.compare(basis.conditions, this.conditionLimit, (failed) => {
        if (failed?.size === 0) show();
        else this.poll(request, id);
      });
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
    this.ctx.requestStore(
      {
        kind: 'txn',
        conditions: [{ key: activeKey(id), version: k.version }],
        writes: [
          { kind: 'delete', key: activeKey(id) },
          { kind: 'put', key: endedKey(id), value: encodeEndedJob(k.spec, 'cancelled', 0, this.ctx.wallNow) },
        ],
      },
      1,
      (r) => {
        if (r.kind === 'ok') {
          const service = k.spec.shape === 'service';
          const ended: Known = { kind: 'ended', stage: 'cancelled', done: 0, service };
          this.remember(id, ended);
          this.ctx.info('job.cancelled', { job: id });
          this.show(request, id, this.cache.get(id) ?? ended);
        } else if (r.kind === 'conflict' && tries < 3) this.cancel(request, id, tries + 1);
        else this.answer(request, this.unavailable('state service not answering'));
      },
    );
  }
}
