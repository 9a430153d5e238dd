/**
 * Conditions that the protocol's rules rest on, as text of the core's sources: each mutant takes one of them out. The tool
 * `mutants.ts` tells which test notices; a test holds that the texts still stand where they are looked for.
 */

export interface Mutant {
  readonly name: string;
  /** Below `packages/core/src`. */
  readonly file: string;
  /** Stands there once. */
  readonly from: string;
  readonly to: string;
}

export const MUTANTS: readonly Mutant[] = [
  {
    name: 'a page is put without its version',
    file: 'storage/fenced-writer.ts',
    from: 'if (entry.checked) conditions.push',
    to: 'if (false as boolean) conditions.push',
  },
  {
    name: 'a leader writes without its office',
    file: 'storage/fenced-writer.ts',
    from: 'const conditions: VersionCondition[] = [{ key: LEADER_KEY, version: this.leaderKeyVersion }];',
    to: 'const conditions: VersionCondition[] = [];',
  },
  {
    name: 'an older report decides what is there',
    file: 'tasks/reported-tasks.ts',
    from: '  heartbeat.fencingToken >= term.firstFencingToken;',
    to: '  heartbeat.fencingToken >= 0;',
  },
  {
    name: 'an older report stops what it tells of',
    file: 'tasks/heartbeat-commands.ts',
    from: `if (isFromThisTerm(this.term, heartbeat) || !isStillNeeded(this.term, task))
          commands.push`,
    to: 'commands.push',
  },
  {
    name: 'unproven attempts are not let go',
    file: 'tasks/reconciliation.ts',
    from: `if (confirmed)
      for (const conflicting`,
    to: `if (false as boolean)
      for (const conflicting`,
  },
  {
    name: 'what an older report tells of counts as known for limits',
    file: 'cluster/fair-share.ts',
    from: 'machine.freeBesideConfirmed(type)',
    to: 'machine.freeOf(type)',
  },
  {
    name: 'a machine counts as accounted for by any report',
    file: 'tasks/reconciliation.ts',
    from: 'if (machine.awaitingReconciliation && heartbeat.fencingToken >= this.term.firstFencingToken) {',
    to: 'if (machine.awaitingReconciliation) {',
  },
  {
    name: 'a machine that is gone may come back by a late report',
    file: 'machines/machine-lifecycle.ts',
    from: 'if (heartbeat.tasks.length === 0 || !this.store.isComplete) return false;',
    to: 'if (heartbeat.tasks.length >= 0 || !this.store.isComplete) return false;',
  },
  {
    name: 'a lost order does not raise the token',
    file: 'tasks/command-queue.ts',
    from: `      if (starts.length > 0) {
        machine.fencingCounter++;`,
    to: `      if (starts.length > 0) {
        machine.fencingCounter += 0;`,
  },
  {
    name: 'what is forgotten does not raise the token',
    file: 'tasks/command-queue.ts',
    from: `    if (machine.commandInFlight) return false;
    this.fenceEarlierStarts(machine);`,
    to: '    if (machine.commandInFlight) return false;',
  },
  {
    name: 'places are not put on record before a start',
    file: 'tasks/attempt-lifecycle.ts',
    from: 'if (!unrecorded) start();',
    to: 'if (!unrecorded || unrecorded) start();',
  },
  {
    name: 'starts while the state service does not answer',
    file: 'leadership/leader-permissions.ts',
    from: 'return this.canActAsLeader() && this.context.storeConnection.downSince === null;',
    to: 'return this.canActAsLeader();',
  },
  {
    name: 'the right does not ask for fresh knowledge',
    file: 'leadership/held-lease.ts',
    from: 'return this.isValid(now) && this.lease.freshness.isFresh(now);',
    to: 'return this.isValid(now);',
  },
  {
    name: 'the right counts from the answer to a renewal',
    file: 'leadership/held-lease.ts',
    from: 'if (this.resignedUntil <= this.context.now) this.extend(requestedAt);',
    to: 'if (this.resignedUntil <= this.context.now) this.extend(this.context.now);',
  },
  {
    name: 'a job ends without its version',
    file: 'jobs/job-completion.ts',
    from: '        { key: activeJobKey(job.id), version: job.version },\n',
    to: '',
  },
  {
    name: 'a job ends without the office',
    file: 'jobs/job-completion.ts',
    from: '        { key: LEADER_KEY, version: this.term.lease.keyVersion },\n',
    to: '',
  },
  {
    name: 'a cancellation without the version',
    file: 'api/cancellation.ts',
    from: 'conditions: [{ key: activeJobKey(id), version: job.version }],',
    to: 'conditions: [],',
  },
  {
    name: 'an acceptance that does not look for the end',
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
    name: 'results are forgotten before they are written',
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
    name: 'a 200 without the stops of what is over',
    file: 'tasks/heartbeat-handler.ts',
    from: 'const stops = this.stopsFor(machine, heartbeat);',
    to: 'const stops = newer && this.term.ready ? this.stopsFor(machine, heartbeat) : [];',
  },
  {
    name: 'a job that is over is waited for while it saves',
    file: 'tasks/attempt-lifecycle.ts',
    from: "const endsGrace = job.phase !== 'active' && graceUs === 0",
    to: "const endsGrace = job.phase !== 'active' && graceUs < 0",
  },
  {
    name: 'a slice of a plan starts what may not start any more',
    file: 'leader/placement-commit.ts',
    from: 'if (!this.term.cluster.isStartable(job)) return;',
    to: '',
  },
  {
    name: 'a slice of a plan takes room that is not there any more',
    file: 'leader/placement-commit.ts',
    from: 'if (machine === undefined || type === undefined || !machine.isUsable()) continue;',
    to: 'if (machine === undefined || type === undefined) continue;',
  },
  {
    name: 'use by team misses what changed',
    file: 'cluster/usage-totals.ts',
    from: 'this.changedMachines.add(machine);',
    to: 'if (!this.counted.has(machine)) this.changedMachines.add(machine);',
  },
  {
    name: 'a plan that fails stays under way',
    file: 'leader/planner.ts',
    from: '      this.abandon(run);\n      throw error;',
    to: '      throw error;',
  },
];

/** How often the text that a mutant takes out stands in its file; it must be once. */
export const occurrences = (source: string, mutant: Mutant): number => source.split(mutant.from).length - 1;
