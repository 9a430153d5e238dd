/**
 * Mutants of the core for mutation testing: each removes a condition that the protocol's invariants depend on, by replacing
 * text of its sources. The tool `mutants.ts` runs the tests on each; a test checks that the replaced texts still exist.
 */

/** A replacement of text in one source file. */
export interface Mutant {
  /** Description of the fault in the mutated code. */
  readonly name: string;
  /** Path relative to `packages/core/src`. */
  readonly file: string;
  /** The text to replace, which occurs exactly once in the file. */
  readonly from: string;
  /** The replacement. */
  readonly to: string;
}

/** Mutants that at least one test must fail on. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: 'writes a page without a condition on its version',
    file: 'storage/fenced-writer.ts',
    from: 'if (entry.checked) conditions.push',
    to: 'if (false as boolean) conditions.push',
  },
  {
    name: 'a leader writes without a condition on the leader key',
    file: 'storage/fenced-writer.ts',
    from: 'const conditions: VersionCondition[] = [{ key: LEADER_KEY, version: this.leaderKeyVersion }];',
    to: 'const conditions: VersionCondition[] = [];',
  },
  {
    name: 'a heartbeat with an outdated token decides which tasks exist',
    file: 'tasks/reported-tasks.ts',
    from: '  heartbeat.fencingToken >= term.firstFencingToken;',
    to: '  heartbeat.fencingToken >= 0;',
  },
  {
    name: 'a heartbeat with an outdated token stops the tasks it reports',
    file: 'tasks/heartbeat-commands.ts',
    from: `if (isFromThisTerm(this.term, heartbeat) || !isStillNeeded(this.term, task))
          commands.push`,
    to: 'commands.push',
  },
  {
    name: 'unconfirmed rival attempts are not released',
    file: 'tasks/reconciliation.ts',
    from: `if (confirmed)
      for (const conflicting`,
    to: `if (false as boolean)
      for (const conflicting`,
  },
  {
    name: 'tasks reported with an outdated token count as confirmed for quotas',
    file: 'cluster/fair-share.ts',
    from: 'machine.freeBesideConfirmed(type)',
    to: 'machine.freeOf(type)',
  },
  {
    name: 'a machine counts as reconciled after any heartbeat',
    file: 'tasks/reconciliation.ts',
    from: 'if (machine.awaitingReconciliation && heartbeat.fencingToken >= this.term.firstFencingToken) {',
    to: 'if (machine.awaitingReconciliation) {',
  },
  {
    name: 'a delayed heartbeat brings back a machine that is gone',
    file: 'machines/machine-lifecycle.ts',
    from: 'if (heartbeat.tasks.length === 0 || !this.store.areAllRecordsReadable) return false;',
    to: 'if (heartbeat.tasks.length >= 0 || !this.store.areAllRecordsReadable) return false;',
  },
  {
    name: 'a lost start command does not raise the fencing token',
    file: 'tasks/command-queue.ts',
    from: `      if (starts.length > 0) {
        machine.fencingCounter++;`,
    to: `      if (starts.length > 0) {
        machine.fencingCounter += 0;`,
  },
  {
    name: 'a forget command does not raise the fencing token',
    file: 'tasks/command-queue.ts',
    from: `    if (machine.commandInFlight) return false;
    this.fenceEarlierStarts(machine);`,
    to: '    if (machine.commandInFlight) return false;',
  },
  {
    name: 'placements are not recorded before a start',
    file: 'tasks/attempt-lifecycle.ts',
    from: 'if (!unrecorded) start();',
    to: 'if (!unrecorded || unrecorded) start();',
  },
  {
    name: 'starts tasks while the state service does not answer',
    file: 'leadership/leader-permissions.ts',
    from: 'return this.canActAsLeader() && this.context.storeConnection.downSince === null;',
    to: 'return this.canActAsLeader();',
  },
  {
    name: "the leader's lease is valid without fresh state",
    file: 'leadership/held-lease.ts',
    from: 'return this.isValid(now) && this.lease.freshness.isFresh(now);',
    to: 'return this.isValid(now);',
  },
  {
    name: "the leader's lease counts from the reply to its renewal",
    file: 'leadership/held-lease.ts',
    from: 'if (this.resignedUntil <= this.context.now) this.extend(requestedAt);',
    to: 'if (this.resignedUntil <= this.context.now) this.extend(this.context.now);',
  },
  {
    name: 'a job ends without a condition on its version',
    file: 'jobs/job-completion.ts',
    from: '        { key: activeJobKey(job.id), version: job.version },\n',
    to: '',
  },
  {
    name: 'a job ends without a condition on the leader key',
    file: 'jobs/job-completion.ts',
    from: '        { key: LEADER_KEY, version: this.term.lease.keyVersion },\n',
    to: '',
  },
  {
    name: 'a cancellation without a condition on the job version',
    file: 'api/cancellation.ts',
    from: 'conditions: [{ key: activeJobKey(id), version: job.version }],',
    to: 'conditions: [],',
  },
  {
    name: 'a submission is accepted without a check for an ended job',
    file: 'api/submission.ts',
    from: '    { key: endedJobKey(spec.id), version: 0 },\n',
    to: '',
  },
  {
    name: 'a poll is answered from memory',
    file: 'api/linearizable-reads.ts',
    from: `    if (known?.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, { request, arrivedAt: this.context.now });`,
    to: `    if (known !== undefined) {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, { request, arrivedAt: this.context.now });`,
  },
  {
    name: 'a repeated submission is answered from memory',
    file: 'api/submission.ts',
    from: `    this.reads.poll(request, id);
    return true;`,
    to: `    this.responder.respondWithJob(request, id, known);
    return true;`,
  },
  {
    name: 'task results are forgotten before they are written',
    file: 'tasks/heartbeat-commands.ts',
    from: `    const isUnwritten =
      job !== undefined &&
      (job.phase`,
    to: `    const isUnwritten =
      task.cause === null &&
      job !== undefined &&
      (job.phase`,
  },
  {
    name: 'an outdated heartbeat is accepted without stopping ended tasks',
    file: 'tasks/heartbeat-handler.ts',
    from: 'const stops = this.stopsFor(machine, heartbeat);',
    to: 'const stops = newer && this.term.ready ? this.stopsFor(machine, heartbeat) : [];',
  },
  {
    name: 'an ended job is waited for while it writes a checkpoint',
    file: 'tasks/attempt-lifecycle.ts',
    from: "const endsGrace = job.phase !== 'active' && graceUs === 0",
    to: "const endsGrace = job.phase !== 'active' && graceUs < 0",
  },
  {
    name: 'a plan starts a job that is no longer startable',
    file: 'leader/placement-commit.ts',
    from: 'if (!this.term.cluster.isStartable(job)) return;',
    to: '',
  },
  {
    name: 'a plan places tasks on a machine that is no longer usable',
    file: 'leader/placement-commit.ts',
    from: 'if (machine === undefined || type === undefined || !machine.isUsable()) continue;',
    to: 'if (machine === undefined || type === undefined) continue;',
  },
  {
    name: 'usage totals miss changed machines',
    file: 'cluster/usage-totals.ts',
    from: 'this.changedMachines.add(machine);',
    to: 'if (!this.counted.has(machine)) this.changedMachines.add(machine);',
  },
  {
    name: 'a failed planning run is not abandoned',
    file: 'leader/planner.ts',
    from: '      this.abandon(run);\n      throw error;',
    to: '      throw error;',
  },
];

/** Number of occurrences of the mutant's text in its file; must be 1. */
export const occurrences = (source: string, mutant: Mutant): number => source.split(mutant.from).length - 1;
