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
    from: 'const conditions: VersionCondition[] = [{ key: LEAD, version: this.leadVersion }];',
    to: 'const conditions: VersionCondition[] = [];',
  },
  {
    name: 'an older report decides what is there',
    file: 'tasks/heartbeat-handler.ts',
    from: 'return r.fencingToken >= this.term.firstFencingToken;',
    to: 'return r.fencingToken >= 0;',
  },
  {
    name: 'an older report stops what it tells of',
    file: 'tasks/heartbeat-handler.ts',
    from: 'if (this.isProof(r) || !this.isWanted(t)) orders.push',
    to: 'orders.push',
  },
  {
    name: 'unproven attempts are not let go',
    file: 'tasks/heartbeat-handler.ts',
    from: 'if (proof) for (const a of rivals)',
    to: 'if (false as boolean) for (const a of rivals)',
  },
  {
    name: 'what an older report tells of counts as known for limits',
    file: 'cluster/fair-share.ts',
    from: 'm.freeBesideConfirmed(type)',
    to: 'm.freeOf(type)',
  },
  {
    name: 'a machine counts as accounted for by any report',
    file: 'tasks/heartbeat-handler.ts',
    from: 'if (m.awaitingReconciliation && r.fencingToken >= this.term.firstFencingToken) {',
    to: 'if (m.awaitingReconciliation) {',
  },
  {
    name: 'a machine that is gone may come back by a late report',
    file: 'machines/machine-lifecycle.ts',
    from: 'if (r.tasks.length === 0 || !this.roster.isComplete) return false;',
    to: 'if (r.tasks.length >= 0 || !this.roster.isComplete) return false;',
  },
  {
    name: 'a lost order does not raise the token',
    file: 'tasks/attempt-lifecycle.ts',
    from: `      if (starts.length > 0) {
        m.fencingCounter++;`,
    to: `      if (starts.length > 0) {
        m.fencingCounter += 0;`,
  },
  {
    name: 'what is forgotten does not raise the token',
    file: 'tasks/attempt-lifecycle.ts',
    from: `    if (m.commandInFlight) return false;
    this.raise(m);`,
    to: '    if (m.commandInFlight) return false;',
  },
  {
    name: 'places are not put on record before a start',
    file: 'tasks/attempt-lifecycle.ts',
    from: 'if (!missing) send();',
    to: 'if (!missing || missing) send();',
  },
  {
    name: 'starts while the state service does not answer',
    file: 'leadership/leader-term.ts',
    from: 'return this.canActAsLeader() && this.ctx.storeConnection.downSince === null;',
    to: 'return this.canActAsLeader();',
  },
  {
    name: 'the right does not ask for fresh knowledge',
    file: 'leadership/leader-election.ts',
    from: 'now < this.leaseValidUntil && this.lease.freshness.isFresh(now);',
    to: 'now < this.leaseValidUntil;',
  },
  {
    name: 'the right counts from the answer to a renewal',
    file: 'leadership/leader-election.ts',
    from: 'if (this.holdOffUntil <= this.ctx.now) this.extend(sent);',
    to: 'if (this.holdOffUntil <= this.ctx.now) this.extend(this.ctx.now);',
  },
  {
    name: 'a job ends without its version',
    file: 'jobs/job-completion.ts',
    from: '        { key: activeKey(job.id), version: job.version },\n',
    to: '',
  },
  {
    name: 'a job ends without the office',
    file: 'jobs/job-completion.ts',
    from: '        { key: LEAD, version: this.term.lease.keyVersion },\n',
    to: '',
  },
  {
    name: 'a cancellation without the version',
    file: 'api/cancellation.ts',
    from: 'conditions: [{ key: activeKey(id), version: job.version }],',
    to: 'conditions: [],',
  },
  {
    name: 'an acceptance that does not look for the end',
    file: 'api/submission.ts',
    from: '    { key: endedKey(spec.id), version: 0 },\n',
    to: '',
  },
  {
    name: 'a poll is answered from memory',
    file: 'api/linearizable-reads.ts',
    from: `    if (known?.kind === 'ended') {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, [request]);`,
    to: `    if (known !== undefined) {
      this.responder.respondWithJob(request, id, known);
      return;
    }
    this.enqueue(id, [request]);`,
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
    file: 'tasks/heartbeat-handler.ts',
    from: `        t.cause === 'done' &&
        job !== undefined &&
        (job.phase`,
    to: `        t.cause === null &&
        job !== undefined &&
        (job.phase`,
  },
  {
    name: 'a 200 without the stops of what is over',
    file: 'tasks/heartbeat-handler.ts',
    from: 'const stops = this.term.ready ? this.stopsFor(m, r) : this.earlyStops(r);',
    to: 'const stops = newer && this.term.ready ? this.stopsFor(m, r) : [];',
  },
  {
    name: 'a job that is over is waited for while it saves',
    file: 'tasks/attempt-lifecycle.ts',
    from: "const sooner = a.job.phase !== 'active' && graceUs === 0",
    to: "const sooner = a.job.phase !== 'active' && graceUs < 0",
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
    from: '      this.abandon(run);\n      throw e;',
    to: '      throw e;',
  },
];

/** The quickest to notice first; a mutant is through once one fails. */

/** How often the text that a mutant takes out stands in its file; it must be once. */
export const occurrences = (source: string, mutant: Mutant): number => source.split(mutant.from).length - 1;
