/**
 * Takes the conditions that the rules rest on out, one at a time, on a copy of the sources, and tells which test notices.
 * By hand, from the project's root: `node --import tsx packages/emulator/tools/mutants.ts [PART-OF-NAME]`.
 */
import { spawnSync } from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

interface Mutant {
  readonly name: string;
  /** Below `packages/core/src`. */
  readonly file: string;
  /** Stands there once. */
  readonly from: string;
  readonly to: string;
}

const MUTANTS: readonly Mutant[] = [
  {
    name: 'a page is put without its version',
    file: 'storage/fenced-writer.ts',
    from: 'if (entry.checked) conditions.push',
    to: 'if (false as boolean) conditions.push',
  },
  {
    name: 'a leader writes without its office',
    file: 'storage/fenced-writer.ts',
    from: 'const conditions: Condition[] = [{ key: LEAD, version: this.leadVersion }];',
    to: 'const conditions: Condition[] = [];',
  },
  {
    name: 'an older report decides what is there',
    file: 'tasks/heartbeat-handler.ts',
    from: 'return r.token >= this.term.firstToken;',
    to: 'return r.token >= 0;',
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
    from: 'm.openTo(type)',
    to: 'm.freeOf(type)',
  },
  {
    name: 'a machine counts as accounted for by any report',
    file: 'tasks/heartbeat-handler.ts',
    from: 'if (m.unresolved && r.token >= this.term.firstToken) {',
    to: 'if (m.unresolved) {',
  },
  {
    name: 'a machine that is gone may come back by a late report',
    file: 'machines/machine-lifecycle.ts',
    from: 'if (r.tasks.length === 0 || !this.roster.whole) return false;',
    to: 'if (r.tasks.length >= 0 || !this.roster.whole) return false;',
  },
  {
    name: 'a lost order does not raise the token',
    file: 'tasks/attempt-lifecycle.ts',
    from: `      if (starts.length > 0) {
        m.fence++;`,
    to: `      if (starts.length > 0) {
        m.fence += 0;`,
  },
  {
    name: 'what is forgotten does not raise the token',
    file: 'tasks/attempt-lifecycle.ts',
    from: `    if (m.calling) return false;
    this.raise(m);`,
    to: '    if (m.calling) return false;',
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
    from: 'return this.entitled() && this.ctx.link.downSince === null;',
    to: 'return this.entitled();',
  },
  {
    name: 'the right does not ask for fresh knowledge',
    file: 'leadership/leader-election.ts',
    from: 'now < this.rightEnds && this.office.freshness.holds(now);',
    to: 'now < this.rightEnds;',
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
    from: '          { key: activeKey(job.id), version: job.version },\n',
    to: '',
  },
  {
    name: 'a job ends without the office',
    file: 'jobs/job-completion.ts',
    from: '          { key: LEAD, version: office.version },\n',
    to: '',
  },
  {
    name: 'a cancellation without the version',
    file: 'api/job-service.ts',
    from: 'conditions: [{ key: activeKey(id), version: k.version }],',
    to: 'conditions: [],',
  },
  {
    name: 'an acceptance that does not look for the end',
    file: 'api/job-service.ts',
    from: '          { key: endedKey(spec.id), version: 0 },\n',
    to: '',
  },
  {
    name: 'a poll is answered from memory',
    file: 'api/job-service.ts',
    from: `    if (known?.kind === 'ended') {
      this.show(request, id, known);
      return;
    }
    this.requeue(id, [{ request }]);`,
    to: `    if (known !== undefined) {
      this.show(request, id, known);
      return;
    }
    this.requeue(id, [{ request }]);`,
  },
  {
    name: 'a repeated submission is answered from memory',
    file: 'api/job-service.ts',
    from: `      this.poll(request, id);
      return;
    }
    // A known job`,
    to: `      this.show(request, id, known);
      return;
    }
    // A known job`,
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
    from: 'if (!this.term.estate.startable(job)) return;',
    to: '',
  },
  {
    name: 'a slice of a plan takes room that is not there any more',
    file: 'leader/placement-commit.ts',
    from: 'if (machine === undefined || type === undefined || !machine.usable()) continue;',
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
const TESTS = [
  'usage-totals',
  'bulk-starts',
  'delayed-heartbeats',
  'immediate-queries',
  'fault-scenario-combinations',
  'failover',
  'cancellations',
  'packed-pages',
  'fault-scenarios',
  'rapid-restarts',
  'partition-histories',
];

const root = resolve('.');
const only = process.argv[2] ?? '';
const copy = mkdtempSync(join(tmpdir(), 'mutants-'));
try {
  for (const name of ['package.json', 'tsconfig.json']) cpSync(join(root, name), join(copy, name));
  for (const p of readdirSync(join(root, 'packages')))
    cpSync(join(root, 'packages', p), join(copy, 'packages', p), {
      recursive: true,
      filter: (s) => !s.includes('node_modules'),
    });
  // Libraries are shared; the project's own packages are the copy's.
  mkdirSync(join(copy, 'node_modules', '@shaleyoke'), { recursive: true });
  for (const name of readdirSync(join(root, 'node_modules')))
    if (name !== '@shaleyoke')
      symlinkSync(join(root, 'node_modules', name), join(copy, 'node_modules', name));
  for (const name of readdirSync(join(root, 'node_modules', '@shaleyoke')))
    symlinkSync(join(copy, 'packages', name), join(copy, 'node_modules', '@shaleyoke', name));
  const noticedBy = (): string | null => {
    for (const t of TESTS) {
      const run = spawnSync(
        process.execPath,
        ['--import', 'tsx', '--test', `packages/core/test/${t}.test.ts`],
        {
          cwd: copy,
          encoding: 'utf8',
          maxBuffer: 64 * 1024 * 1024,
        },
      );
      if (run.status !== 0) return `${t}: ${/^\s*not ok \d+ - (.*)$/m.exec(run.stdout)?.[1] ?? 'fails'}`;
    }
    return null;
  };
  let survivors = 0;
  for (const m of MUTANTS.filter((x) => x.name.includes(only))) {
    const path = join(copy, 'packages/core/src', m.file);
    const text = readFileSync(path, 'utf8');
    if (text.split(m.from).length !== 2)
      throw new Error(
        `${m.name}: what it takes out stands ${text.split(m.from).length - 1} times in ${m.file}`,
      );
    writeFileSync(
      path,
      text.replace(m.from, () => m.to),
    );
    const by = noticedBy();
    writeFileSync(path, text);
    if (by === null) survivors++;
    console.log(`${by === null ? 'SURVIVES' : 'noticed'}  ${m.name}${by === null ? '' : `  (${by})`}`);
  }
  process.exitCode = survivors > 0 ? 1 : 0;
} finally {
  rmSync(copy, { recursive: true, force: true });
}
