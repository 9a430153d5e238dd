/** A new leader's knowledge of jobs: correct in whatever order lists and watches are answered, and with the right age. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ACTIVE_JOBS_PREFIX } from '@shaleyoke/core/codecs/keys';
import type { StoreEvent, StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import { CancellationFreshness } from '@shaleyoke/core/leadership/cancellation-freshness';
import { Failover, type FailoverEvents, type FailoverTerm } from '@shaleyoke/core/leadership/failover';
import { Random } from '@shaleyoke/emulator/random';

/** A store call of the failover that the test has to answer. */
interface StoreCall {
  readonly operation: StoreOperation;
  readonly reply: (reply: StoreReply) => void;
}

/** The number of lists that a new leader reads besides the list of jobs. */
const OTHER_LISTS = 4;

/** The result of a call that was never answered. */
const LOST_REPLY: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: '' };

/** A failover whose store calls the test answers, at times of its choice. */
class FailoverFixture {
  /** The time of the fixture's clock. */
  now = 100 * SECOND;
  /** Calls not answered yet, the oldest first. */
  calls: StoreCall[] = [];
  /** Names of the events logged so far. */
  readonly loggedEvents: string[] = [];
  /** The record versions of the jobs that the leader knows. */
  readonly jobs = new Map<string, number>();
  /** Decides how long the knowledge of cancellations counts as fresh. */
  readonly freshness = new CancellationFreshness({
    cancellationDeadlineUs: 40 * SECOND,
    workerLeaseUs: 20 * SECOND,
  });
  /** The failover under test. */
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
      jobRecordPut: (id, _value, version) => {
        this.jobs.set(id, version);
      },
      jobRecordDeleted: (id, version) => {
        if ((this.jobs.get(id) ?? Infinity) < version) this.jobs.delete(id);
      },
      jobsListed: (ids, revision) => {
        for (const [id, version] of this.jobs) if (!ids.has(id) && version <= revision) this.jobs.delete(id);
      },
    };
  }

  /** The jobs that the failover found to be active; null until they are listed. */
  get activeJobIds(): ReadonlySet<string> | null {
    return this.term.activeJobIds;
  }

  /** Removes and returns the oldest unanswered call of this kind. */
  takeCall(kind: StoreOperation['kind']): StoreCall {
    const index = this.calls.findIndex((call) => call.operation.kind === kind);
    const openKinds = this.calls.map((call) => call.operation.kind).join();
    assert.ok(index >= 0, `no ${kind} among ${openKinds}`);
    return this.calls.splice(index, 1)[0]!;
  }

  /** Advances the clock and runs the timers that are due by then. */
  advance(duration: Micros): void {
    this.now += duration;
    const due = this.timers.filter((timer) => timer.dueAt <= this.now);
    this.timers = this.timers.filter((timer) => timer.dueAt > this.now);
    for (const timer of due) timer.run();
  }

  /** Starts the failover, answers its list of jobs with one page of these ids, and all other reads with nothing. */
  start(ids: readonly string[], revision: number): void {
    this.failover.start();
    this.takeCall('list').reply(listOf(ids, revision));
    this.answerOtherReads(revision);
  }

  /** Answers all reads but the list of jobs: empty lists and a missing key. */
  answerOtherReads(revision: number): void {
    for (let i = 0; i < OTHER_LISTS; i++) this.takeCall('list').reply(listOf([], revision));
    this.takeCall('get').reply({ kind: 'missing', revision });
  }

  /** Asserts that the knowledge counts as confirmed at this time: it is fresh until its maximum age, and no longer. */
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

test('knowledge is as old as the request that fetched it, however late the reply came', () => {
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
  assert.equal(fixture.activeJobIds, null);
  fixture.advance(12 * SECOND);
  fixture.takeCall('list').reply(listOf(['b'], 70));
  assert.deepEqual([...fixture.activeJobIds!], ['a', 'b']);
  fixture.assertConfirmedAt(requestedAt);
  // The watch starts at the revision of the first page, to cover what was created or deleted between the pages.
  fixture.answerOtherReads(80);
  const watch = fixture.takeCall('watch').operation;
  assert.ok(watch.kind === 'watch' && watch.after === 50 && watch.waitMs === 0);
});

test('a watch that reports a creation late does not restore a job that has ended', () => {
  const fixture = new FailoverFixture();
  fixture.start(['a'], 50);
  const hungWatch = fixture.takeCall('watch');
  fixture.advance(11 * SECOND);
  fixture.failover.probeIfStale();
  fixture.takeCall('watch').reply(LOST_REPLY);
  // The probe fails too, so the jobs are listed: b was created and ended unseen, c was created.
  fixture.takeCall('list').reply(listOf(['a', 'c'], 90));
  assert.deepEqual([...fixture.jobs.keys()], ['a', 'c']);
  hungWatch.reply(eventsOf([putEvent('b', 60), putEvent('c', 70)], 75));
  assert.deepEqual([...fixture.jobs.keys()], ['a', 'c']);
  // The next watch continues from the applied revision, not from the one of the last reply.
  const watch = fixture.takeCall('watch').operation;
  assert.ok(watch.kind === 'watch' && watch.after === 90);
});

test('a reply with a lower revision than before confirms nothing', () => {
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
  /** The latest revision. */
  revision = 50;
  /** All creations and deletions so far, in the order of their revisions. */
  readonly events: StoreEvent[] = [];
  private nextJob = 1;

  constructor(private readonly random: Random) {}

  /** Creates a job, or ends one if any is active. */
  change(): void {
    const activeIds = this.idsAt(this.revision);
    if (this.random.chance(0.5)) this.events.push(putEvent(`j${this.nextJob++}`, ++this.revision));
    else if (activeIds.length > 0)
      this.events.push(deleteEvent(activeIds[this.random.below(activeIds.length)]!, ++this.revision));
  }

  /** The jobs that are active as of a revision. */
  idsAt(revision: number): string[] {
    const keys = new Set<string>();
    for (const event of this.events)
      if (event.version <= revision) {
        if (event.kind === 'put') keys.add(event.key);
        else keys.delete(event.key);
      }
    return [...keys].map(idOf);
  }

  /** The reply to a list of all jobs as of a revision. */
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

  /** The events after one revision, up to and including another. */
  eventsBetween(after: number, upTo: number): StoreEvent[] {
    return this.events.filter((event) => event.version > after && event.version <= upTo);
  }
}

/** A failover on a generated history: its calls are answered late, out of order or not at all. */
class RandomFailover {
  /** The failover under test. */
  readonly fixture = new FailoverFixture();
  /** The job records from which its calls are answered. */
  readonly history: JobHistory;
  /** How often a job that the leader knew to have ended was found to be still absent. */
  endedChecks = 0;
  private readonly ended = new Set<string>();
  /** The highest revision of any reply so far. */
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

  /** Changes a job, may answer a call and check the result, and advances the clock. */
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

  /** Answers a random open call with the state at some revision since the call was received. */
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
    for (const id of this.ended) if (jobs.has(id)) assert.fail(`seed ${this.seed}: ${id} was restored`);
    for (const event of this.history.events)
      if (event.kind === 'delete' && !jobs.has(idOf(event.key)) && event.version <= this.shownRevision) {
        this.ended.add(idOf(event.key));
        this.endedChecks++;
      }
  }

  /** Answers every open call with the state at the latest revision. */
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

test('in whatever order lists and watches are answered, the known jobs never fall behind earlier replies', () => {
  let endedChecks = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const run = new RandomFailover(seed, new Random(seed));
    for (let step = 0; step < 120; step++) run.step();
    // Once all calls are answered, no job is missing and no ended job is left.
    for (let round = 0; round < 8; round++) run.answerAllCalls();
    const expected = run.history.idsAt(run.history.revision).sort();
    assert.deepEqual([...run.fixture.jobs.keys()].sort(), expected, `seed ${seed}`);
    endedChecks += run.endedChecks;
  }
  assert.ok(endedChecks > 1_000);
});
