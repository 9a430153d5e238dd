/** A leader's knowledge of jobs, in whatever order lists and watches are answered, and how old it counts as. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ACTIVE_JOBS_PREFIX } from '@shaleyoke/core/codecs/keys';
import type { StoreEvent, StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import { CancellationFreshness } from '@shaleyoke/core/leadership/cancellation-freshness';
import { Failover, type FailoverEvents, type FailoverTerm } from '@shaleyoke/core/leadership/failover';
import { Random } from '@shaleyoke/emulator/random';

interface StoreCall {
  readonly operation: StoreOperation;
  readonly reply: (reply: StoreReply) => void;
}

/** Lists besides the one of jobs that a new leader reads. */
const OTHER_LISTS = 4;

const LOST_REPLY: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: '' };

/** A failover with a state service that answers when and what the test gives. */
class FailoverFixture {
  now = 100 * SECOND;
  calls: StoreCall[] = [];
  readonly loggedEvents: string[] = [];
  /** Versions of the jobs that the leader knows. */
  readonly jobs = new Map<string, number>();
  readonly freshness = new CancellationFreshness({
    cancellationDeadlineUs: 40 * SECOND,
    workerLeaseUs: 20 * SECOND,
  });
  readonly failover: Failover;
  private timers: { dueAt: Micros; run: () => void }[] = [];
  private isReady = false;
  private readonly term: FailoverTerm;

  constructor() {
    this.term = this.createTerm();
    this.failover = new Failover(this.term, this.freshness, this.createEvents());
  }

  private createTerm(): FailoverTerm {
    const currentTime = (): Micros => this.now;
    const isReady = (): boolean => this.isReady;
    return {
      context: {
        get now() {
          return currentTime();
        },
        requestStore: (operation, _urgency, reply) => {
          this.calls.push({ operation, reply });
        },
        info: (event) => {
          this.loggedEvents.push(event);
        },
      },
      get isRestored() {
        return isReady();
      },
      hasEnded: false,
      activeJobIds: null,
      after: (delay, run) => {
        this.timers.push({ dueAt: this.now + delay, run });
      },
    };
  }

  private createEvents(): FailoverEvents {
    return {
      restore: (read) => {
        for (const item of read(ACTIVE_JOBS_PREFIX)) this.jobs.set(idOf(item.key), item.version);
        this.isReady = true;
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
    };
  }

  get unendedJobs(): ReadonlySet<string> | null {
    return this.term.activeJobIds;
  }

  /** Removes and returns the oldest open call of this kind. */
  takeCall(kind: StoreOperation['kind']): StoreCall {
    const index = this.calls.findIndex((call) => call.operation.kind === kind);
    const open = this.calls.map((call) => call.operation.kind).join();
    assert.ok(index >= 0, `no ${kind} among ${open}`);
    return this.calls.splice(index, 1)[0]!;
  }

  advance(duration: Micros): void {
    this.now += duration;
    const due = this.timers.filter((timer) => timer.dueAt <= this.now);
    this.timers = this.timers.filter((timer) => timer.dueAt > this.now);
    for (const timer of due) timer.run();
  }

  /** Begins the failover and answers its list of jobs with one page of these, all else with nothing. */
  start(ids: readonly string[], revision: number): void {
    this.failover.start();
    this.takeCall('list').reply(listOf(ids, revision));
    this.answerOtherReads(revision);
  }

  answerOtherReads(revision: number): void {
    for (let i = 0; i < OTHER_LISTS; i++) this.takeCall('list').reply(listOf([], revision));
    this.takeCall('get').reply({ kind: 'missing', revision });
  }

  /** Knowledge that was confirmed at this time is fresh until its greatest age, and no longer. */
  assertConfirmedAt(confirmedAt: Micros): void {
    const { maxAgeUs } = this.freshness;
    assert.ok(
      this.freshness.isFresh(confirmedAt + maxAgeUs - 1) && !this.freshness.isFresh(confirmedAt + maxAgeUs),
    );
  }
}

const idOf = (key: string): string => key.slice(ACTIVE_JOBS_PREFIX.length);
const listOf = (ids: readonly string[], revision: number, more = false): StoreReply => ({
  kind: 'items',
  items: ids.map((id) => ({ key: ACTIVE_JOBS_PREFIX + id, value: {}, version: revision - 1, lease: null })),
  more,
  revision,
});
const putEvent = (id: string, version: number): StoreEvent => ({
  kind: 'put',
  key: ACTIVE_JOBS_PREFIX + id,
  value: {},
  version,
});
const deleteEvent = (id: string, version: number): StoreEvent => ({
  kind: 'delete',
  key: ACTIVE_JOBS_PREFIX + id,
  version,
});
const eventsOf = (events: readonly StoreEvent[], revision: number): StoreReply => ({
  kind: 'events',
  events,
  revision,
});

test('knowledge is as old as the request whose reply showed it, however long that took', () => {
  const fixture = new FailoverFixture();
  fixture.start(['a'], 50);
  fixture.assertConfirmedAt(fixture.now);
  const requestedAt = fixture.now;
  const watch = fixture.takeCall('watch');
  fixture.advance(9 * SECOND);
  watch.reply(eventsOf([], 60));
  fixture.assertConfirmedAt(requestedAt);
});

test('a list of several pages is as old as its first page', () => {
  const fixture = new FailoverFixture();
  fixture.failover.start();
  const requestedAt = fixture.now;
  const firstPage = fixture.takeCall('list');
  fixture.advance(2 * SECOND);
  firstPage.reply(listOf(['a'], 50, true));
  assert.equal(fixture.unendedJobs, null);
  fixture.advance(12 * SECOND);
  fixture.takeCall('list').reply(listOf(['b'], 70));
  assert.deepEqual([...fixture.unendedJobs!], ['a', 'b']);
  fixture.assertConfirmedAt(requestedAt);
  // What was created or deleted between the pages is requested from the first one on.
  fixture.answerOtherReads(80);
  const watch = fixture.takeCall('watch').operation;
  assert.ok(watch.kind === 'watch' && watch.after === 50 && watch.waitMs === 0);
});

test('a watch that reports a creation late does not bring back a job that has ended', () => {
  const fixture = new FailoverFixture();
  fixture.start(['a'], 50);
  const hungWatch = fixture.takeCall('watch');
  fixture.advance(11 * SECOND);
  fixture.failover.probeIfStale();
  fixture.takeCall('watch').reply(LOST_REPLY);
  // That fails too, so that the jobs are listed: b was created and ended unseen, c was created.
  fixture.takeCall('list').reply(listOf(['a', 'c'], 90));
  assert.deepEqual([...fixture.jobs.keys()], ['a', 'c']);
  hungWatch.reply(eventsOf([putEvent('b', 60), putEvent('c', 70)], 75));
  assert.deepEqual([...fixture.jobs.keys()], ['a', 'c']);
  // The next watch continues from what was applied, not from the reply that came last.
  const watch = fixture.takeCall('watch').operation;
  assert.ok(watch.kind === 'watch' && watch.after === 90);
});

test('a reply whose revision goes back confirms nothing', () => {
  const fixture = new FailoverFixture();
  fixture.start(['a'], 50);
  const requestedAt = fixture.now;
  fixture.advance(SECOND);
  fixture.takeCall('watch').reply(eventsOf([deleteEvent('a', 49)], 49));
  assert.deepEqual([[...fixture.jobs.keys()], fixture.loggedEvents], [['a'], ['watch.revision_regressed']]);
  assert.ok(!fixture.freshness.isFresh(requestedAt + fixture.freshness.maxAgeUs));
});

/** The history of job records in a store, from which any call can be answered as of any revision. */
class JobHistory {
  revision = 50;
  readonly events: StoreEvent[] = [];
  private nextJob = 1;

  constructor(private readonly random: Random) {}

  /** Creates a job or ends one, if there is any. */
  change(): void {
    const living = this.idsAt(this.revision);
    if (this.random.chance(0.5)) this.events.push(putEvent(`j${this.nextJob++}`, ++this.revision));
    else if (living.length > 0)
      this.events.push(deleteEvent(living[this.random.below(living.length)]!, ++this.revision));
  }

  idsAt(revision: number): string[] {
    const keys = new Set<string>();
    for (const event of this.events)
      if (event.version <= revision) {
        if (event.kind === 'put') keys.add(event.key);
        else keys.delete(event.key);
      }
    return [...keys].map(idOf);
  }

  listAt(revision: number): StoreReply {
    return {
      kind: 'items',
      items: this.idsAt(revision).map((id) => ({
        key: ACTIVE_JOBS_PREFIX + id,
        value: {},
        version: this.events.find((event) => event.key === ACTIVE_JOBS_PREFIX + id)!.version,
        lease: null,
      })),
      more: false,
      revision,
    };
  }

  eventsBetween(after: number, upTo: number): StoreEvent[] {
    return this.events.filter((event) => event.version > after && event.version <= upTo);
  }
}

/** A failover against a generated history, whose calls are answered late, out of order or not at all. */
class RandomFailover {
  readonly fixture = new FailoverFixture();
  readonly history: JobHistory;
  /** How often a job that the leader knew to have ended was checked to stay so. */
  endedChecks = 0;
  private readonly ended = new Set<string>();
  /** The newest revision that a reply was of. */
  private shownRevision: number;
  private readonly openCalls: { call: StoreCall; receivedRevision: number }[] = [];

  constructor(
    private readonly seed: number,
    private readonly random: Random,
  ) {
    this.history = new JobHistory(random);
    this.shownRevision = this.history.revision;
    this.fixture.start([], this.history.revision);
  }

  step(): void {
    this.history.change();
    for (const call of this.fixture.calls.splice(0))
      this.openCalls.push({ call, receivedRevision: this.history.revision });
    if (this.openCalls.length > 0 && this.random.chance(0.5)) {
      this.answerAnyCall();
      this.checkEndedJobs();
    }
    this.fixture.advance(this.random.below(2_000) * 1_000);
    this.fixture.failover.probeIfStale();
  }

  /** Answers any open call by what was true at some moment since it was received. */
  private answerAnyCall(): void {
    const index = this.random.below(this.openCalls.length);
    const { call, receivedRevision } = this.openCalls.splice(index, 1)[0]!;
    const revision = receivedRevision + this.random.below(this.history.revision - receivedRevision + 1);
    if (this.random.chance(0.2)) call.reply(LOST_REPLY);
    else if (call.operation.kind === 'watch') {
      const { after } = call.operation;
      if (this.random.chance(0.1)) call.reply({ kind: 'tooOld' });
      else {
        this.shownRevision = Math.max(this.shownRevision, revision);
        call.reply(eventsOf(this.history.eventsBetween(after, revision), Math.max(after, revision)));
      }
    } else if (call.operation.kind === 'list') {
      this.shownRevision = Math.max(this.shownRevision, revision);
      call.reply(this.history.listAt(revision));
    }
  }

  private checkEndedJobs(): void {
    const { jobs } = this.fixture;
    for (const id of this.ended) if (jobs.has(id)) assert.fail(`seed ${this.seed}: ${id} is back`);
    for (const event of this.history.events)
      if (event.kind === 'delete' && !jobs.has(idOf(event.key)) && event.version <= this.shownRevision) {
        this.ended.add(idOf(event.key));
        this.endedChecks++;
      }
  }

  /** Answers every open call by the newest revision. */
  answerAllCalls(): void {
    const { revision } = this.history;
    const open = [...this.openCalls.splice(0).map(({ call }) => call), ...this.fixture.calls.splice(0)];
    for (const call of open)
      if (call.operation.kind === 'watch')
        call.reply(eventsOf(this.history.eventsBetween(call.operation.after, revision), revision));
      else call.reply(this.history.listAt(revision));
    this.fixture.advance(SECOND);
  }
}

test('in whatever order lists and watches are answered, known jobs never fall behind what was shown', () => {
  let endedChecks = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const run = new RandomFailover(seed, new Random(seed));
    for (let step = 0; step < 120; step++) run.step();
    // Once all is answered nothing is missing and nothing is left over.
    for (let round = 0; round < 8; round++) run.answerAllCalls();
    const expected = run.history.idsAt(run.history.revision).sort();
    assert.deepEqual([...run.fixture.jobs.keys()].sort(), expected, `seed ${seed}`);
    endedChecks += run.endedChecks;
  }
  assert.ok(endedChecks > 1_000);
});
