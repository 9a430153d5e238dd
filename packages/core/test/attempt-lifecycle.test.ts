/** The lifecycle of attempts, without workers and store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { ClusterState } from '@shaleyoke/core/cluster/cluster-state';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';
import { NodeContext } from '@shaleyoke/core/node/node-context';
import { AttemptLifecycle } from '@shaleyoke/core/tasks/attempt-lifecycle';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE, settingsFor } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

const MACHINES = 4;

/** One term of a leader whose records and commands are never answered. */
class SilentTerm {
  readonly context = new NodeContext(settingsFor('n0', ['n0'], ''), () => 0);
  readonly cluster = new ClusterState(this.context);
  readonly attempts: AttemptLifecycle;
  readonly term: LeaderTerm;
  private nextNumber = 1;
  private nextMachine = 1;

  constructor(
    private readonly random: Random,
    jobs: readonly JobSpec[],
    machines: number,
  ) {
    this.context.machineTypes = new Map([[MACHINE_TYPE.name, MACHINE_TYPE]]);
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
      recordPlacement: () => undefined,
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
}

test('a large gang loses a machine before its start is sent', () => {
  // Guards against a step that ends each unsent member from within the end of another one, up to the limit of the stack.
  const spec = makeJobSpec('run-1', { shape: 'gang', tasks: 20_000 });
  const term = new SilentTerm(new Random(1), [spec], MACHINES);
  const [job] = term.jobs as [ActiveJob];
  term.start(job);
  assert.equal(job.liveAttempts.size, spec.tasks);
  const lost = job.liveAttempts.get(0)!;
  term.attempts.end(lost, null);
  assert.equal(job.liveAttempts.size, 0);
  assert.ok(term.cluster.isStartable(job));
});
