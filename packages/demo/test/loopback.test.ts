/**
 * Controllers as real processes on loopback with five tenants, while controllers and machines are killed and the store stalls.
 * Guards against jobs that don't finish, accounting records that don't balance, and tasks that are charged twice after a restart.
 */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { balanceOf, verifyLedger } from '@shaleyoke/budgets/reader';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { budgetsYaml, MACHINE_TYPE, makeJob, readBooks, waitUntil } from '@shaleyoke/demo/demo';
import { commandRunner } from '@shaleyoke/emulator/command-runner';
import { LoopbackDeployment } from '@shaleyoke/emulator/loopback';
import { Random } from '@shaleyoke/emulator/random';

const MAIN = new URL('../../cli/src/main.ts', import.meta.url).pathname;
const PROGRAM = [process.execPath, '--import', 'tsx', MAIN];
const TENANTS = ['a', 'b', 'c', 'd', 'e'];
/** The long run, started by hand: several hundred jobs and a kill every few seconds (docs/results.md has the figures). */
const LONG = process.env['SHALEYOKE_LONG'] === '1';
const JOBS = LONG ? 300 : 40;
const KILLS = LONG ? 14 : 3;
/**
 * Largest excess of the time charged for a task over its run time: the end of a task is seen one heartbeat late at most, and time
 * beyond the usual interval between two heartbeats is not charged.
 */
const MAX_CHARGE_EXCESS = 8 * SECOND;

const runCommand = commandRunner(PROGRAM);

test('accounting records balance and match the run times of the machines after kills and a stalled store', async (t) => {
  const random = new Random(20_261_201);
  const deployment = new LoopbackDeployment({
    program: PROGRAM,
    nodes: 3,
    teams: TENANTS,
    types: [MACHINE_TYPE],
    perZone: 5,
    budgets: budgetsYaml({ e: '0' }),
    log: null,
  });
  const statementFile = join(tmpdir(), `shaleyoke-statement-${process.pid}.json`);
  try {
    await deployment.start();
    assert.ok(await waitUntil(() => deployment.leader() !== null, 60), 'a controller becomes the leader');
    const jobs: JobSpec[] = [];
    for (let i = 0; i < JOBS; i++)
      jobs.push(
        makeJob(`run-${i}`, TENANTS[i % 4]!, {
          tasks: 1 + random.below(3),
          estimatedRunUs: (2 + random.below(3)) * SECOND,
          ...(i % 5 === 0 ? { shape: 'gang', sameZone: true } : {}),
        }),
      );
    const heldJob = makeJob('run-900', 'e');
    const accepted = Promise.all([...jobs, heldJob].map((job) => deployment.submit(job)));
    for (let kill = 0; kill < KILLS; kill++) {
      await waitUntil(() => [...deployment.workers.values()].some((worker) => worker.runningTasks > 0), 20);
      await new Promise((resolve) => setTimeout(resolve, 500 + random.below(2_500)));
      const leader = deployment.leader();
      deployment.crash(
        random.chance(0.6) && leader !== null ? leader : random.below(3),
        500 + random.below(1_500),
      );
      if (kill % 3 === 1) deployment.state.outage(3 * SECOND);
      const busyWorkers = [...deployment.workers.values()].filter(
        (worker) => worker.alive && worker.runningTasks > 0,
      );
      if (busyWorkers.length > 0) deployment.killWorker(busyWorkers[random.below(busyWorkers.length)]!.name);
    }
    assert.ok(
      (await accepted).every((status) => status === 201 || status === 200),
      'all jobs are accepted',
    );
    const stages = async (): Promise<(string | null)[]> =>
      Promise.all(jobs.map((job) => deployment.stageOf(job.id)));
    assert.ok(
      await waitUntil(async () => (await stages()).every((stage) => stage === 'done'), LONG ? 600 : 150),
      'all jobs are done',
    );
    assert.equal(await deployment.stageOf('run-900'), 'queued');
    const settled = (): boolean => {
      const current = readBooks(deployment);
      return verifyLedger(current).length === 0 && current.open.every((job) => job.running === 0);
    };
    assert.ok(await waitUntil(settled, 60), verifyLedger(readBooks(deployment)).join('\n'));

    const books = readBooks(deployment);
    for (const job of jobs) {
      const charged = books.lines
        .filter((line) => line.job === job.id)
        .reduce((sum, line) => sum + line.charge.runUs, 0);
      let runTime = 0;
      for (let i = 0; i < job.tasks; i++)
        runTime += Math.max(
          0,
          ...deployment.taskRuns
            .filter((run) => run.job === job.id && run.index === i)
            .map((run) => run.durationUs),
        );
      assert.ok(
        charged <= runTime + job.tasks * MAX_CHARGE_EXCESS,
        `${job.id}: charged ${charged} us, longest runs ${runTime} us`,
      );
    }
    const balance = balanceOf(books);
    const bill = deployment.bills.reduce(
      (sum, rental) =>
        sum + (((rental.to ?? deployment.now()) - rental.from) / 3.6e9) * MACHINE_TYPE.price * 1e6,
      0,
    );
    const completedTime = deployment.taskRuns
      .filter((run) => run.done)
      .reduce((sum, run) => sum + run.durationUs, 0);
    const chargedTime = books.lines.reduce((sum, line) => sum + line.charge.runUs, 0);
    t.diagnostic(
      `accounting: cost ${balance.cost}, charged ${balance.charged}; cloud's bill ${Math.round(bill)}; ` +
        `task time charged ${chargedTime} us, completed on the machines ${completedTime} us in ${deployment.taskRuns.length} attempts`,
    );

    // The operators' commands work while the controllers run.
    const files = ['--config', deployment.nodes[0]!.config, '--budgets', deployment.budgetsFile];
    const list = await runCommand('budget', 'list', ...files);
    assert.equal(list.exitCode, 0);
    assert.match(list.output, /^e +\d{4}-\d\d +0\.000000.*LIMIT REACHED$/m);
    assert.match(
      (await runCommand('budget', 'explain', 'run-900', ...files)).output,
      /run-900: held back: budget of e/,
    );
    const verified = await runCommand('statement', 'verify', ...files);
    assert.equal(verified.exitCode, 0, verified.output);
    assert.match(verified.output, /The books agree/);
    const statement = await runCommand('statement', '--owner', 'a', '--format', 'json', ...files);
    writeFileSync(statementFile, statement.output);
    assert.match((await runCommand('statement', 'verify', statementFile)).output, /holds/);
    writeFileSync(statementFile, readFileSync(statementFile, 'utf8').replace('"owner": "a"', '"owner": "b"'));
    assert.equal((await runCommand('statement', 'verify', statementFile)).exitCode, 1);
    const wrong = await runCommand(
      'budget',
      'set',
      '--owner',
      'x',
      '--hard',
      '1',
      '--by',
      'kz',
      '--why',
      'w',
      ...files,
    );
    assert.equal(wrong.exitCode, 2);
    assert.match(wrong.output, /--owner: x is no team/);
    const set = await runCommand(
      'budget',
      'set',
      '--owner',
      'e',
      '--hard',
      '5',
      '--by',
      'kz',
      '--why',
      'begins',
      ...files,
    );
    assert.match(set.output, /CHANGED the limit of e[^]*hard: 0\.000000 -> 5\.000000/);
    assert.ok(
      await waitUntil(async () => (await deployment.stageOf('run-900')) === 'done', 90),
      'the held job runs once the limit is higher',
    );
    assert.match(
      (await runCommand('budget', 'show', '--owner', 'e', ...files)).output,
      /kz: .*hard 0\.000000 -> 5\.000000 \(begins\)/,
    );
  } finally {
    deployment.stop();
  }
});
