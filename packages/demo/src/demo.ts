/**
 * The product in a minute or two on one machine: three real controllers, and stand-ins of this repository for
 * state service, cloud, workers and users. A controller and a machine are killed on the way.
 */
import { formatMoney } from '@shaleyoke/budgets/money';
import { balanceOf, type BooksView, verifyBooks, viewBooks } from '@shaleyoke/budgets/reader';
import { statementOf, textOf } from '@shaleyoke/budgets/statement';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Loopback } from '@shaleyoke/emulator/loopback';
import { specOf } from '@shaleyoke/emulator/specs';

export const TENANTS = ['gemeente', 'waterbedrijf', 'energie'] as const;
const ZONE = 'Europe/Amsterdam';

export const BOX: MachineType = {
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

/** `hard`: limits by team, as texts; no entry: none. */
export const budgetsFile = (hard: Readonly<Record<string, string>>): string =>
  `version: 1\ncurrency: EUR\nzone: ${ZONE}\nchanges_per_s: 2\nowners:\n` +
  Object.entries(hard)
    .map(([team, amount]) => `  ${team}: { hard: ${amount} }\n`)
    .join('') +
  (Object.keys(hard).length === 0 ? '  {}\n' : '');

export const jobOf = (id: string, team: string, more: Partial<JobSpec> = {}): JobSpec =>
  specOf(id, {
    class: 'brieven',
    team,
    tasks: 4,
    cores: 2,
    memoryGb: 4,
    image: 'brieven-1',
    estimatedRunUs: 8 * SECOND,
    ...more,
  });

export const booksOf = (l: Loopback): BooksView =>
  viewBooks(l.state.keys('b/').map((key) => ({ key, value: l.state.value(key), version: 1, lease: null })));

/** Waits until it holds, or so long. */
export const until = async (holds: () => boolean | Promise<boolean>, seconds: number): Promise<boolean> => {
  for (let k = 0; k < seconds * 4; k++) {
    if (await holds()) return true;
    await new Promise((done) => setTimeout(done, 250));
  }
  return false;
};

/** `program`: how to start a controller, up to `serve`. True if all went as it should. */
export const runDemo = async (
  program: readonly string[],
  print: (line: string) => void,
  verbose: boolean,
): Promise<boolean> => {
  print('shaleyoke demo: three controllers as real processes; state service, cloud, machines and');
  print('users are stand-ins in this process, on loopback. It takes about a minute and ends by itself.');
  print('');
  const l = new Loopback({
    program,
    nodes: 3,
    teams: TENANTS,
    types: [BOX],
    perZone: 4,
    budgets: budgetsFile({ energie: '0.20' }),
    log: verbose
      ? (member, line) => {
          print(`  ${member} ${line}`);
        }
      : null,
  });
  const end = (): void => {
    l.stop();
    process.exit(130);
  };
  process.once('SIGINT', end);
  process.once('SIGTERM', end);
  const began = Date.now();
  const say = (text: string): void => {
    print(`${((Date.now() - began) / 1000).toFixed(0).padStart(4)} s  ${text}`);
  };
  try {
    await l.start();
    if (!(await until(() => l.leader() !== null, 30))) {
      print('no controller came to lead within 30 s; run again with --verbose to see their logs');
      return false;
    }
    say(`${l.nodes[l.leader()!]!.member} leads`);
    const jobs: JobSpec[] = [];
    for (const [t, team] of TENANTS.entries())
      for (let k = 0; k < 4; k++)
        jobs.push(
          jobOf(
            `run-${100 * (t + 1) + k}`,
            team,
            k === 3 ? { shape: 'gang', tasks: 3, sameZone: true, class: 'koppelen' } : {},
          ),
        );
    const accepted = await Promise.all(jobs.map((j) => l.submit(j)));
    say(`${accepted.filter((s) => s === 201).length} jobs of ${TENANTS.length} tenants accepted`);
    await until(() => [...l.workers.values()].some((w) => w.running > 0), 40);
    const leader = l.leader() ?? 0;
    say(`killing ${l.nodes[leader]!.member}, which leads (SIGKILL)`);
    l.crash(leader, 3_000);
    await until(() => {
      const now = l.leader();
      return now !== null && now !== leader;
    }, 30);
    const next = l.leader();
    say(next === null ? 'nobody leads yet' : `${l.nodes[next]!.member} leads`);
    await until(() => [...l.workers.values()].some((w) => w.alive && w.running > 0), 30);
    const victim = [...l.workers.values()].find((w) => w.alive && w.running > 0);
    if (victim !== undefined) {
      say(`killing machine ${victim.name} with ${victim.running} running tasks`);
      l.killWorker(victim.name);
    }
    // One tenant's limit is less than its jobs will cost: what does not fit waits, and the others go on.
    const others = jobs.filter((j) => j.team !== 'energie');
    const allDone = async (list: readonly JobSpec[]): Promise<boolean> =>
      (await Promise.all(list.map((j) => l.stageOf(j.id)))).every((s) => s === 'done');
    const done = await until(() => allDone(others), 90);
    say(done ? 'all jobs of two tenants are done' : 'not all jobs were done in time');
    const stages = new Map<string, string>();
    for (const j of jobs) stages.set(j.id, (await l.stageOf(j.id)) ?? 'unknown');
    const held = jobs.filter((j) => stages.get(j.id) === 'queued');
    say(`${held.length} jobs of energie wait: its limit of 0.20 EUR leaves no room for them`);
    // The books are written every few seconds.
    const agree = await until(
      () => verifyBooks(booksOf(l)).length === 0 && booksOf(l).open.every((o) => o.running === 0),
      30,
    );
    print('');
    print('Where the tasks ran, by the machines themselves:');
    for (const j of jobs) {
      const runs = l.ran.filter((r) => r.job === j.id);
      const lost = runs.filter((r) => !r.done).length;
      print(
        `  ${j.id}  ${j.team.padEnd(13)} ${stages.get(j.id)!.padEnd(8)} ` +
          runs.map((r) => `${r.index}@${r.machine}${r.done ? '' : ' (lost)'}`).join(' ') +
          (lost > 0 ? '  -- run again, billed once' : ''),
      );
    }
    const view = booksOf(l);
    for (const team of TENANTS) {
      print('');
      const month = [...view.lines].find((x) => x.owner === team)?.month;
      if (month === undefined) print(`${team}: nothing was charged`);
      else
        print(
          textOf(
            statementOf(view, team, month, {
              zone: ZONE,
              currency: 'EUR',
              limit: { soft: null, hard: team === 'energie' ? 200_000 : null },
            }),
          ),
        );
    }
    const b = balanceOf(view);
    let bill = 0;
    for (const x of l.bills) bill += Math.round((((x.to ?? l.now()) - x.from) / 3.6e9) * BOX.price * 1e6);
    print('');
    print(`cost of all machines, by the books   ${formatMoney(b.cost).padStart(12)}`);
    print(`charged to the tenants               ${formatMoney(b.charged).padStart(12)}`);
    print(`pending                              ${formatMoney(b.pending).padStart(12)}`);
    for (const [why, m] of Object.entries(b.platform))
      print(`the platform's account, ${why.padEnd(12)} ${formatMoney(m).padStart(12)}`);
    print(`the cloud's own bill, now            ${formatMoney(bill).padStart(12)}`);
    print(agree ? 'The books agree with themselves, to the last unit.' : "The books DON'T agree.");
    return done && agree;
  } finally {
    l.stop();
    process.removeListener('SIGINT', end);
    process.removeListener('SIGTERM', end);
    print('');
    print('All processes of the demo are ended, its files removed.');
  }
};
