/** What a leader knows of jobs, whatever the order in which lists and watches are answered, and how old that counts as. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StoreEvent, StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import { SECOND } from '@shaleyoke/core/domain/time';
import { JOBS } from '@shaleyoke/core/codecs/keys';
import { CancellationFreshness } from '@shaleyoke/core/leadership/cancellation-freshness';
import { Failover } from '@shaleyoke/core/leadership/failover';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';
import { Random } from '@shaleyoke/emulator/random';

interface Call {
  readonly op: StoreOperation;
  readonly then: (r: StoreReply) => void;
}

/** A leader's picture of jobs, with a state service that answers when and what the test says. */
class Stage {
  now = 100 * SECOND;
  calls: Call[] = [];
  later: { at: number; run: () => void }[] = [];
  readonly logged: string[] = [];
  readonly jobs = new Map<string, number>();
  readonly freshness = new CancellationFreshness({
    cancellationDeadlineUs: 40 * SECOND,
    workerLeaseUs: 20 * SECOND,
  });
  readonly takeover: Failover;
  private readonly term: { ready: boolean; unendedJobs: ReadonlySet<string> | null };

  constructor() {
    const ctx = {
      state: (op: StoreOperation, _urgency: number, then: (r: StoreReply) => void) => {
        this.calls.push({ op, then });
      },
      info: (event: string) => {
        this.logged.push(event);
      },
    };
    Object.defineProperty(ctx, 'now', { get: () => this.now });
    const term = {
      ctx,
      stopped: false,
      ready: false,
      unendedJobs: null,
      after: (delay: number, run: () => void) => {
        this.later.push({ at: this.now + delay, run });
      },
    };
    this.term = term;
    this.takeover = new Failover(term as unknown as LeaderTerm, this.freshness, {
      restore: (read) => {
        for (const it of read(JOBS)) this.jobs.set(it.key.slice(JOBS.length), it.version);
        term.ready = true;
      },
      jobPut: (id, _value, version) => {
        this.jobs.set(id, version);
      },
      jobDeleted: (id, version) => {
        if ((this.jobs.get(id) ?? Infinity) < version) this.jobs.delete(id);
      },
      jobsListed: (ids, revision) => {
        for (const [id, version] of this.jobs) if (!ids.has(id) && version <= revision) this.jobs.delete(id);
      },
    });
  }

  get listed(): ReadonlySet<string> | null {
    return this.term.unendedJobs;
  }

  /** Takes the oldest call of this kind. */
  take(kind: StoreOperation['kind']): Call {
    const i = this.calls.findIndex((c) => c.op.kind === kind);
    assert.ok(i >= 0, `no ${kind} among ${this.calls.map((c) => c.op.kind).join()}`);
    return this.calls.splice(i, 1)[0]!;
  }

  pass(us: number): void {
    this.now += us;
    const due = this.later.filter((l) => l.at <= this.now);
    this.later = this.later.filter((l) => l.at > this.now);
    for (const l of due) l.run();
  }

  /** Has read all there was at this revision. */
  start(ids: readonly string[], revision: number): void {
    this.takeover.start();
    this.take('list').then(items(ids, revision));
    for (let i = 0; i < 4; i++) this.take('list').then(items([], revision));
    this.take('get').then({ kind: 'missing', revision });
  }
}

const items = (ids: readonly string[], revision: number, more = false): StoreReply => ({
  kind: 'items',
  items: ids.map((id) => ({ key: JOBS + id, value: {}, version: revision - 1, lease: null })),
  more,
  revision,
});
const put = (id: string, version: number): StoreEvent => ({
  kind: 'put',
  key: JOBS + id,
  value: {},
  version,
});
const gone = (id: string, version: number): StoreEvent => ({ kind: 'delete', key: JOBS + id, version });
const events = (list: StoreEvent[], revision: number): StoreReply => ({
  kind: 'events',
  events: list,
  revision,
});

test('knowledge is as old as the request whose answer showed it, however long that took', () => {
  const s = new Stage();
  s.start(['a'], 50);
  const { maxAgeUs: bound } = s.freshness;
  assert.ok(s.freshness.isFresh(s.now + bound - 1) && !s.freshness.isFresh(s.now + bound));
  const sent = s.now;
  const watch = s.take('watch');
  s.pass(9 * SECOND);
  watch.then(events([], 60));
  assert.ok(s.freshness.isFresh(sent + bound - 1) && !s.freshness.isFresh(sent + bound));
});

test('of a list in pages the first one counts', () => {
  const s = new Stage();
  s.takeover.start();
  const sent = s.now;
  const first = s.take('list');
  s.pass(2 * SECOND);
  first.then(items(['a'], 50, true));
  assert.equal(s.listed, null);
  s.pass(12 * SECOND);
  s.take('list').then(items(['b'], 70));
  assert.deepEqual([...s.listed!], ['a', 'b']);
  const { maxAgeUs: bound } = s.freshness;
  assert.ok(s.freshness.isFresh(sent + bound - 1) && !s.freshness.isFresh(sent + bound));
  // What came or went between the pages is asked for from the first one on.
  for (let i = 0; i < 4; i++) s.take('list').then(items([], 80));
  s.take('get').then({ kind: 'missing', revision: 80 });
  const w = s.take('watch').op;
  assert.ok(w.kind === 'watch' && w.after === 50 && w.waitMs === 0);
});

test('a watch that tells late of a beginning does not bring back what has ended', () => {
  const s = new Stage();
  s.start(['a'], 50);
  const hung = s.take('watch');
  s.pass(11 * SECOND);
  s.takeover.probeIfStale();
  s.take('watch').then({ kind: 'failed', executed: null, cause: 'silent', reason: '' });
  // Nothing is told that way either, so that the jobs are listed: b came and went unseen, c came.
  s.take('list').then(items(['a', 'c'], 90));
  assert.deepEqual([...s.jobs.keys()], ['a', 'c']);
  hung.then(events([put('b', 60), put('c', 70)], 75));
  assert.deepEqual([...s.jobs.keys()], ['a', 'c']);
  // From here on it follows what is known, not what it was told last.
  const w = s.take('watch').op;
  assert.ok(w.kind === 'watch' && w.after === 90);
});

test('an answer of a revision that goes back proves nothing', () => {
  const s = new Stage();
  s.start(['a'], 50);
  const sent = s.now;
  s.pass(SECOND);
  s.take('watch').then(events([gone('a', 49)], 49));
  assert.deepEqual([[...s.jobs.keys()], s.logged], [['a'], ['watch.revision_regressed']]);
  assert.ok(!s.freshness.isFresh(sent + s.freshness.maxAgeUs));
});

test('in whatever order lists and watches are answered, the picture never falls behind what it has shown', () => {
  let repeated = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const r = new Random(seed);
    const s = new Stage();
    const log: StoreEvent[] = [];
    const ended = new Set<string>();
    let revision = 50;
    const alive = (at: number): string[] => {
      const ids = new Set<string>();
      for (const e of log)
        if (e.version <= at) {
          if (e.kind === 'put') ids.add(e.key);
          else ids.delete(e.key);
        }
      return [...ids].map((k) => k.slice(JOBS.length));
    };
    const listAt = (at: number): StoreReply => ({
      kind: 'items',
      items: alive(at).map((id) => ({
        key: JOBS + id,
        value: {},
        version: log.find((e) => e.key === JOBS + id)!.version,
        lease: null,
      })),
      more: false,
      revision: at,
    });
    s.start([], revision);
    let next = 1;
    /** The newest revision that an answer was of. */
    let shown = revision;
    const open: { call: Call; at: number }[] = [];
    for (let step = 0; step < 120; step++) {
      // Changes of jobs, each of its own revision.
      const living = alive(revision);
      if (r.chance(0.5)) log.push(put(`j${next++}`, ++revision));
      else if (living.length > 0) log.push(gone(living[r.below(living.length)]!, ++revision));
      for (const call of s.calls.splice(0)) open.push({ call, at: revision });
      // Any open call is answered, by what was true at some moment since it came in.
      if (open.length > 0 && r.chance(0.5)) {
        const { call, at } = open.splice(r.below(open.length), 1)[0]!;
        const then = at + r.below(revision - at + 1);
        const lost = r.chance(0.2);
        if (lost) call.then({ kind: 'failed', executed: null, cause: 'silent', reason: '' });
        else if (call.op.kind === 'watch') {
          const { after } = call.op;
          if (r.chance(0.1)) call.then({ kind: 'tooOld' });
          else {
            shown = Math.max(shown, then);
            call.then(
              events(
                log.filter((e) => e.version > after && e.version <= then),
                Math.max(after, then),
              ),
            );
          }
        } else if (call.op.kind === 'list') {
          shown = Math.max(shown, then);
          call.then(listAt(then));
        }
        for (const id of ended) if (s.jobs.has(id)) assert.fail(`seed ${seed}: ${id} is back`);
        for (const e of log)
          if (e.kind === 'delete' && !s.jobs.has(e.key.slice(JOBS.length)) && e.version <= shown) {
            ended.add(e.key.slice(JOBS.length));
            repeated++;
          }
      }
      s.pass(r.below(2_000) * 1_000);
      s.takeover.probeIfStale();
    }
    // Once all is answered nothing is missing and nothing too much.
    for (let i = 0; i < 8; i++) {
      for (const call of [...open.splice(0).map((o) => o.call), ...s.calls.splice(0)])
        if (call.op.kind === 'watch') {
          const { after } = call.op;
          call.then(
            events(
              log.filter((e) => e.version > after),
              revision,
            ),
          );
        } else call.then(listAt(revision));
      s.pass(SECOND);
    }
    assert.deepEqual([...s.jobs.keys()].sort(), alive(revision).sort(), `seed ${seed}`);
  }
  assert.ok(repeated > 1_000);
});
