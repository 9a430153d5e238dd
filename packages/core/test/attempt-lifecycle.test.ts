/** Laws of the lifecycle of attempts, over generated sequences of events. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine, type TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import { ClusterState } from '@shaleyoke/core/cluster/cluster-state';
import { attemptKey } from '@shaleyoke/core/cluster/task-attempt';
import type { CommandReply, ExitCause, ReportedTask } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';
import { NodeContext } from '@shaleyoke/core/node/node-context';
import { AttemptLifecycle } from '@shaleyoke/core/tasks/attempt-lifecycle';
import { drainBeforeTermination } from '@shaleyoke/core/tasks/termination-drain';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE, settingsFor } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

const SEQUENCES = 300;
const EVENTS_PER_SEQUENCE = 80;
const MACHINES = 4;
/** The longest delay after failures of a job. */
const MAX_RETRY_DELAY = 60 * SECOND;
const CAUSES: readonly ExitCause[] = ['done', 'error', 'noRoom', 'busy', 'unknown', 'peers', 'stopped'];

const JOBS: readonly JobSpec[] = [
  makeJobSpec('run-1', { shape: 'gang', tasks: 2, estimatedRunUs: 900 * SECOND }),
  makeJobSpec('run-2', {
    shape: 'gang',
    tasks: 4,
    estimatedRunUs: 900 * SECOND,
    checkpointIntervalUs: SECOND,
  }),
  makeJobSpec('run-3', { shape: 'array', tasks: 3, estimatedRunUs: 900 * SECOND }),
  makeJobSpec('run-4', { shape: 'service', tasks: 2 }),
];

interface PendingRecord {
  readonly onRecorded: () => void;
  readonly onRefused: () => void;
}

/** One term of a leader with its jobs and machines, of which the test decides every reply and report. */
class GeneratedTerm {
  readonly context = new NodeContext(settingsFor('n0', ['n0'], ''), () => 0);
  readonly cluster = new ClusterState(this.context);
  readonly attempts: AttemptLifecycle;
  readonly term: LeaderTerm;
  private readonly records: PendingRecord[] = [];
  private readonly commands: ((reply: CommandReply) => void)[] = [];
  private nextNumber = 1;
  private nextMachine = 1;

  constructor(
    private readonly random: Random,
    jobs: readonly JobSpec[],
    machines: number,
  ) {
    this.context.machineTypes = new Map([[MACHINE_TYPE.name, MACHINE_TYPE]]);
    this.context.sendCommands = (_address, _token, _epoch, _commands, onReply) => {
      this.commands.push(onReply);
    };
    this.term = {
      context: this.context,
      cluster: this.cluster,
      hasEnded: false,
      firstFencingToken: 1,
      canDispatch: () => true,
      canActAsLeader: () => true,
      fencingTokenOf: (machine: Machine) => 1 + machine.fencingCounter,
      nextAttemptNumber: () => this.nextNumber++,
      schedulePass: () => undefined,
      after: () => undefined,
    } as unknown as LeaderTerm;
    this.attempts = new AttemptLifecycle(this.term, {
      recordPlacement: (_job, onRecorded, onRefused) => {
        this.records.push({ onRecorded, onRefused });
      },
      heartbeatReceived: () => undefined,
      attemptReleased: () => undefined,
      attemptEnded: () => undefined,
      retireWhenEmpty: () => undefined,
    });
    for (const spec of jobs) this.cluster.jobs.set(spec.id, new ActiveJob(spec, 1, 0, 0));
    for (let i = 0; i < machines; i++) this.addMachine();
  }

  addMachine(): Machine {
    const machine = new Machine(
      `m-${this.nextMachine++}`,
      'address',
      MACHINE_TYPE.name,
      'a',
      true,
      this.context.now,
    );
    machine.up = true;
    machine.recorded = 'yes';
    machine.agentEpoch = 1;
    this.cluster.machines.set(machine.name, machine);
    return machine;
  }

  get jobs(): ActiveJob[] {
    return [...this.cluster.jobs.values()];
  }

  get live(): TaskAttempt[] {
    return this.jobs.flatMap((job) => [...job.liveAttempts.values()]);
  }

  private pick<T>(items: readonly T[]): T | undefined {
    return items[this.random.below(Math.max(1, items.length))];
  }

  /** Starts all waiting tasks of a job if its state allows it. */
  start(job: ActiveJob): void {
    const usable = [...this.cluster.machines.values()].filter((machine) => machine.isUsable());
    if (!this.cluster.isStartable(job) || usable.length === 0) return;
    const indices = job.nextWaiting(job.spec.tasks);
    this.attempts.startTasks(
      job,
      indices.map((index) => ({ index, machine: usable[this.random.below(usable.length)]! })),
    );
    this.context.runEndOfStep();
  }

  /** The store confirms or refuses the oldest record. */
  answerRecord(): void {
    const record = this.records.shift();
    if (this.random.chance(0.8)) record?.onRecorded();
    else record?.onRefused();
    this.context.runEndOfStep();
  }

  private answerCommand(): void {
    const kind = this.pick(['lost', 'refused', 'accepted'] as const)!;
    this.commands.shift()?.({ kind, heartbeat: null } as unknown as CommandReply);
  }

  private report(attempt: TaskAttempt): void {
    if (attempt.state === 'recording') return;
    if (this.random.chance(0.4)) {
      attempt.state = 'running';
      attempt.runningAt ??= this.context.now;
      return;
    }
    const cause = this.pick(
      CAUSES.filter((other) => other !== 'done' || attempt.job.spec.shape !== 'service'),
    )!;
    const exit: ReportedTask = {
      job: attempt.job.id,
      index: attempt.index,
      attempt: attempt.number,
      state: 'exited',
      cause,
      checkpointed: this.random.chance(0.3),
    };
    this.attempts.end(attempt, exit);
    if (cause === 'done') this.markDone(attempt);
  }

  /** All members of a gang complete together. */
  private markDone({ job, index }: TaskAttempt): void {
    if (job.spec.shape !== 'gang') job.done.add(index);
    else for (let member = 0; member < job.spec.tasks; member++) job.done.add(member);
  }

  /** A machine reports a member from before this term; only newer heartbeats confirm it. */
  private adopt(job: ActiveJob): void {
    const machine = this.pick([...this.cluster.machines.values()])!;
    const index = this.random.below(job.spec.tasks);
    if (job.liveAttempts.has(index) || job.done.has(index)) return;
    if (machine.attempts.has(attemptKey(job.id, index))) return;
    const member = [...job.liveAttempts.values()][0];
    const number = job.spec.shape === 'gang' && member !== undefined ? member.number : this.nextNumber++;
    const task = { job: job.id, index, attempt: number, state: 'running', cause: null, checkpointed: false };
    this.attempts.adopt(machine, job, task as ReportedTask, this.random.chance(0.5));
  }

  private lose(machine: Machine): void {
    this.cluster.machines.delete(machine.name);
    for (const attempt of [...machine.attempts.values()]) this.attempts.end(attempt, null);
    this.addMachine();
  }

  private notice(machine: Machine): void {
    machine.terminationAt = this.context.now + this.random.below(12) * SECOND;
    drainBeforeTermination(this.term, this.attempts, machine, machine.terminationAt);
  }

  /** One event at random. */
  step(): void {
    this.context.now += this.random.below(2 * SECOND);
    const job = this.pick(this.jobs)!;
    const attempt = this.pick(this.live);
    const machine = this.pick([...this.cluster.machines.values()])!;
    const choice = this.random.below(20);
    if (choice < 5) this.start(job);
    else if (choice < 8) this.answerRecord();
    else if (choice < 11) this.answerCommand();
    else if (choice < 14 && attempt !== undefined) this.report(attempt);
    else if (choice < 15) this.adopt(job);
    else if (choice < 16) this.lose(machine);
    else if (choice < 17) this.notice(machine);
    else if (choice < 18 && attempt?.confirmed === false) this.attempts.discard(attempt);
    else if (choice < 19 && attempt !== undefined && attempt.stopping !== null)
      this.attempts.end(attempt, null);
    else this.attempts.breakIncompleteGangs();
    this.context.runEndOfStep();
  }
}

test('whenever no attempt of a job is left, the job may start, or only waits for a bounded retry delay', () => {
  // Guards against a gang that is never started again because it still counts as broken after its last attempt has ended.
  let restarted = 0;
  for (let seed = 1; seed <= SEQUENCES; seed++) {
    const term = new GeneratedTerm(new Random(seed), JOBS, MACHINES);
    for (let i = 0; i < EVENTS_PER_SEQUENCE; i++) {
      term.step();
      for (const job of term.jobs) {
        if (job.liveAttempts.size > 0 || job.isComplete) continue;
        const { retryNotBefore } = job;
        const description = `seed ${seed}, event ${i}, ${job.id}`;
        assert.ok(retryNotBefore <= term.context.now + MAX_RETRY_DELAY, `${description}: bounded delay`);
        job.retryNotBefore = 0;
        assert.ok(term.cluster.isStartable(job), `${description}: may start`);
        job.retryNotBefore = retryNotBefore;
        if (job.startedBefore) restarted++;
      }
    }
  }
  assert.ok(restarted > SEQUENCES, `${restarted} times a job was without attempts after a start`);
});

test('a gang whose members are being stopped has no member that goes on', () => {
  // Guards against members of a broken gang that nobody stops, which keep it from starting again.
  for (let seed = 1; seed <= SEQUENCES; seed++) {
    const term = new GeneratedTerm(new Random(seed), JOBS, MACHINES);
    for (let i = 0; i < EVENTS_PER_SEQUENCE; i++) term.step();
    term.attempts.breakIncompleteGangs();
    for (const job of term.jobs) {
      if (job.spec.shape !== 'gang' || job.isComplete) continue;
      const members = [...job.liveAttempts.values()];
      if (members.length === job.spec.tasks || members.length === 0) continue;
      for (const member of members)
        assert.ok(member.stopping !== null, `seed ${seed}: ${job.id}/${member.index} is being stopped`);
    }
  }
});

test('a large gang loses a machine before its start is sent', () => {
  // Guards against a step that ends each unsent member from within the end of another one, up to the limit of the stack.
  const spec = makeJobSpec('run-1', { shape: 'gang', tasks: 20_000 });
  const term = new GeneratedTerm(new Random(1), [spec], MACHINES);
  const [job] = term.jobs as [ActiveJob];
  term.start(job);
  assert.equal(job.liveAttempts.size, spec.tasks);
  const lost = job.liveAttempts.get(0)!;
  term.attempts.end(lost, null);
  assert.equal(job.liveAttempts.size, 0);
  assert.ok(term.cluster.isStartable(job));
});
