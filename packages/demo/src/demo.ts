/**
 * A demonstration on one machine that takes a minute or two: three controllers run as real processes, the store, the cloud, the
 * workers and the users are emulated in this process. The leader and a machine are killed during the run.
 */
import { formatMoney } from '@shaleyoke/budgets/money';
import { balanceOf, buildLedgerView, type LedgerView, verifyLedger } from '@shaleyoke/budgets/reader';
import { statementOf, statementText } from '@shaleyoke/budgets/statement';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { LoopbackDeployment } from '@shaleyoke/emulator/loopback';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

/** Teams that submit jobs; the last one has a budget limit. */
export const TENANTS = ['gemeente', 'waterbedrijf', 'energie'] as const;
const TIME_ZONE = 'Europe/Amsterdam';

/** The only machine type that the emulated cloud offers. */
export const MACHINE_TYPE: MachineType = {
  name: 'rekenbak',
  cores: 8,
  gpus: 0,
  memoryGb: 32,
  imageCacheGb: 50,
  imagePullGbPerS: 10,
  price: 36,
  spotPrice: 12,
  bootUs: 3 * SECOND,
  zones: ['zone-a', 'zone-b'],
};

/** The text of a budgets file. `hardLimits`: amounts by team; a team without an entry has no limit. */
export const budgetsYaml = (hardLimits: Readonly<Record<string, string>>): string =>
  `version: 1\ncurrency: EUR\nzone: ${TIME_ZONE}\nchanges_per_s: 2\nowners:\n` +
  Object.entries(hardLimits)
    .map(([team, amount]) => `  ${team}: { hard: ${amount} }\n`)
    .join('') +
  (Object.keys(hardLimits).length === 0 ? '  {}\n' : '');

/** A job of a team: four tasks of some seconds, unless `overrides` says otherwise. */
export const makeJob = (id: string, team: string, overrides: Partial<JobSpec> = {}): JobSpec =>
  makeJobSpec(id, {
    class: 'brieven',
    team,
    tasks: 4,
    cores: 2,
    memoryGb: 4,
    image: 'brieven-1',
    estimatedRunUs: 8 * SECOND,
    ...overrides,
  });

/** The accounting records that the emulated store holds now. */
export const readBooks = (deployment: LoopbackDeployment): LedgerView =>
  buildLedgerView(
    deployment.state
      .keys('b/')
      .map((key) => ({ key, value: deployment.state.value(key), version: 1, lease: null })),
  );

/** Polls a condition four times a second; false if it does not hold within the given time. */
export const waitUntil = async (
  condition: () => boolean | Promise<boolean>,
  seconds: number,
): Promise<boolean> => {
  for (let i = 0; i < seconds * 4; i++) {
    if (await condition()) return true;
    await new Promise((resolve) => setTimeout(resolve, 250));
  }
  return false;
};

/**
 * Runs the demonstration; true if all jobs without a limit finished and the accounting records agree. `program`: the command line
 * that starts a controller, up to `serve`; `verbose`: prints the controllers' logs as well.
 */
export const runDemo = async (
  program: readonly string[],
  print: (line: string) => void,
  verbose: boolean,
): Promise<boolean> => {
  print('shaleyoke demo: three controllers as real processes; state service, cloud, machines and');
  print('users are emulated in this process, over loopback. It takes about a minute and ends by itself.');
  print('');
  const deployment = new LoopbackDeployment({
    program,
    nodes: 3,
    teams: TENANTS,
    types: [MACHINE_TYPE],
    perZone: 4,
    budgets: budgetsYaml({ energie: '0.20' }),
    log: verbose
      ? (member, line) => {
          print(`  ${member} ${line}`);
        }
      : null,
  });
  const interrupt = (): void => {
    deployment.stop();
    process.exit(130);
  };
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  const startedAt = Date.now();
  const report = (text: string): void => {
    print(`${((Date.now() - startedAt) / 1000).toFixed(0).padStart(4)} s  ${text}`);
  };
  try {
    await deployment.start();
    if (!(await waitUntil(() => deployment.leader() !== null, 30))) {
      print('no controller became leader within 30 s; run again with --verbose to see the logs');
      return false;
    }
    report(`${deployment.nodes[deployment.leader()!]!.member} is the leader`);
    const jobs: JobSpec[] = [];
    for (const [tenantIndex, team] of TENANTS.entries())
      for (let i = 0; i < 4; i++)
        jobs.push(
          makeJob(
            `run-${100 * (tenantIndex + 1) + i}`,
            team,
            i === 3 ? { shape: 'gang', tasks: 3, sameZone: true, class: 'koppelen' } : {},
          ),
        );
    const accepted = await Promise.all(jobs.map((job) => deployment.submit(job)));
    report(
      `${accepted.filter((status) => status === 201).length} jobs of ${TENANTS.length} tenants accepted`,
    );
    await waitUntil(() => [...deployment.workers.values()].some((worker) => worker.runningTasks > 0), 40);
    const leader = deployment.leader() ?? 0;
    report(`killing ${deployment.nodes[leader]!.member}, the leader (SIGKILL)`);
    deployment.crash(leader, 3_000);
    await waitUntil(() => {
      const current = deployment.leader();
      return current !== null && current !== leader;
    }, 30);
    const successor = deployment.leader();
    report(
      successor === null
        ? 'no controller is the leader yet'
        : `${deployment.nodes[successor]!.member} is the leader`,
    );
    await waitUntil(
      () => [...deployment.workers.values()].some((worker) => worker.alive && worker.runningTasks > 0),
      30,
    );
    const victim = [...deployment.workers.values()].find((worker) => worker.alive && worker.runningTasks > 0);
    if (victim !== undefined) {
      report(`killing machine ${victim.name} with ${victim.runningTasks} running tasks`);
      deployment.killWorker(victim.name);
    }
    // The limit of energie is lower than the cost of its jobs: those beyond it wait, and the other tenants' jobs go on.
    const unlimited = jobs.filter((job) => job.team !== 'energie');
    const allDone = async (list: readonly JobSpec[]): Promise<boolean> =>
      (await Promise.all(list.map((job) => deployment.stageOf(job.id)))).every((stage) => stage === 'done');
    const done = await waitUntil(() => allDone(unlimited), 90);
    report(done ? 'all jobs of the two tenants without a limit are done' : 'some jobs were not done in time');
    const stages = new Map<string, string>();
    for (const job of jobs) stages.set(job.id, (await deployment.stageOf(job.id)) ?? 'unknown');
    const held = jobs.filter((job) => stages.get(job.id) === 'queued');
    report(`${held.length} jobs of energie wait: its budget limit of 0.20 EUR does not cover them`);
    // Accounting records are written every few seconds, so they lag behind the jobs.
    const agree = await waitUntil(
      () =>
        verifyLedger(readBooks(deployment)).length === 0 &&
        readBooks(deployment).open.every((job) => job.running === 0),
      30,
    );
    print('');
    print('Machines on which the tasks ran, as the machines recorded it:');
    for (const job of jobs) {
      const runs = deployment.taskRuns.filter((run) => run.job === job.id);
      const lost = runs.filter((run) => !run.done).length;
      print(
        `  ${job.id}  ${job.team.padEnd(13)} ${stages.get(job.id)!.padEnd(8)} ` +
          runs.map((run) => `${run.index}@${run.machine}${run.done ? '' : ' (lost)'}`).join(' ') +
          (lost > 0 ? '  -- run again, charged once' : ''),
      );
    }
    const books = readBooks(deployment);
    for (const team of TENANTS) {
      print('');
      const month = [...books.lines].find((line) => line.owner === team)?.month;
      if (month === undefined) print(`${team}: nothing was charged`);
      else
        print(
          statementText(
            statementOf(books, team, month, {
              zone: TIME_ZONE,
              currency: 'EUR',
              limit: { soft: null, hard: team === 'energie' ? 200_000 : null },
            }),
          ),
        );
    }
    const balance = balanceOf(books);
    let bill = 0;
    for (const rental of deployment.bills)
      bill += Math.round(
        (((rental.to ?? deployment.now()) - rental.from) / 3.6e9) * MACHINE_TYPE.price * 1e6,
      );
    print('');
    print(`cost of all machines, as recorded    ${formatMoney(balance.cost).padStart(12)}`);
    print(`charged to the tenants               ${formatMoney(balance.charged).padStart(12)}`);
    print(`pending                              ${formatMoney(balance.pending).padStart(12)}`);
    for (const [reason, money] of Object.entries(balance.platform))
      print(`the platform's account, ${reason.padEnd(12)} ${formatMoney(money).padStart(12)}`);
    print(`the cloud's own bill, now            ${formatMoney(bill).padStart(12)}`);
    print(agree ? 'The accounting records agree, to the last unit.' : "The accounting records DON'T agree.");
    return done && agree;
  } finally {
    deployment.stop();
    process.removeListener('SIGINT', interrupt);
    process.removeListener('SIGTERM', interrupt);
    print('');
    print('All processes of the demo have ended, and its files are removed.');
  }
};
