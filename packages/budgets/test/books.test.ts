/** The books by themselves: any sequence of events balances; prices, shares, months and adoption as stated. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ALL, Books, noReasons, type Outcome, REASONS, WHOLE } from '@shaleyoke/budgets/books';
import { Calendar } from '@shaleyoke/budgets/calendar';
import fc from 'fast-check';

const S = 1_000_000;
const HOUR = 3600 * S;
const DEC = Date.UTC(2026, 10, 30, 23) * 1000;
const books = (now = DEC): Books => {
  const b = new Books(
    new Map([
      ['t', new Calendar('Europe/Warsaw')],
      ['u', new Calendar('America/New_York')],
    ]),
  );
  b.at(now);
  return b;
};
const money = (b: Books, owner: string, month = '2026-12'): number =>
  b.accounts.get(owner)?.get(month)?.money ?? 0;

test('whatever happens in whatever order, the books balance, and nobody pays for what did not run', () => {
  const event = fc.record({
    kind: fc.constantFrom(
      'machine',
      'run',
      'end',
      'gone',
      'price',
      'up',
      'advance',
      'close',
      'resolve',
      'month',
    ),
    m: fc.nat(3),
    j: fc.nat(4),
    i: fc.nat(2),
    no: fc.nat(5),
    wait: fc.integer({ min: 0, max: 200 * S }),
    n: fc.nat(100),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 80 }), (events) => {
      let now = DEC - 600 * S;
      const b = books(now);
      let dearest = 0;
      for (const e of events) {
        now += e.wait;
        b.at(now);
        const name = `m${e.m}`;
        const owner = e.j % 2 === 0 ? 't' : 'u';
        switch (e.kind) {
          case 'machine':
            b.machine(name, e.n * 100_000, now - e.n * S, e.n % 3 === 0);
            dearest = Math.max(dearest, e.n * 100_000);
            break;
          case 'run': {
            const job = b.job(`run-${e.j}`, owner, 'c', e.j === 4);
            if (e.n % 7 === 0) b.recorded(job, e.i, e.no, { month: '2026-11', money: 0, us: 5 * S });
            b.run(name, job, e.i, e.no, Math.max(1, Math.floor((e.n / 100) * WHOLE)));
            break;
          }
          case 'end': {
            const rest = (['lost', 'stopped', 'unseen'] as const)[e.n % 3]!;
            const outcome: Outcome = e.n % 2 === 0 ? ALL : { keptUs: e.n * S, rest };
            b.end(`run-${e.j}`, e.i, e.no, outcome);
            break;
          }
          case 'gone':
            b.gone(name);
            break;
          case 'price':
            b.update(name, e.n * 200_000, true);
            dearest = Math.max(dearest, e.n * 200_000);
            break;
          case 'up':
            b.update(name, e.n * 100_000, e.n % 2 === 0);
            dearest = Math.max(dearest, e.n * 100_000);
            break;
          case 'advance':
            b.advance();
            break;
          case 'close':
            b.close(`run-${e.j}`);
            break;
          case 'resolve':
            b.resolve(name);
            break;
          case 'month':
            if (now >= new Calendar('America/New_York').month('2026-11').to) b.closeMonth('u', '2026-11');
            break;
        }
        assert.equal(b.difference(), 0);
        assert.ok(b.cost >= 0);
        for (const r of REASONS) assert.ok(b.platform[r] >= 0, r);
        for (const months of b.accounts.values())
          for (const c of months.values()) {
            assert.ok(c.money >= 0 && c.us >= 0 && c.free >= 0);
            assert.ok(c.money <= Math.ceil((c.us / HOUR) * dearest) + 300);
          }
      }
    }),
    { seed: 11, numRuns: 3_000 },
  );
});

test('a price that doubles counts from when it is known, and what one machine is used for adds up to its price', () => {
  const b = books();
  b.machine('m', 3_600_000, DEC, false);
  b.update('m', 3_600_000, true);
  b.run('m', b.job('run-1', 't', 'c', false), 0, 1, WHOLE / 2);
  b.at(DEC + 10 * S);
  b.update('m', 7_200_000, true);
  b.at(DEC + 20 * S);
  b.end('run-1', 0, 1, ALL);
  // 1,000 a second, then 2,000: half of 30,000.
  assert.equal(money(b, 't'), 15_000);
  // Two tasks that hold four fifths each, of different things: the machine is shared, not paid twice.
  b.run('m', b.job('run-2', 't', 'c', false), 0, 2, 0.8 * WHOLE);
  b.run('m', b.job('run-3', 'u', 'c', false), 0, 3, 0.8 * WHOLE);
  b.at(DEC + 30 * S);
  b.end('run-2', 0, 2, ALL);
  b.end('run-3', 0, 3, ALL);
  assert.equal(money(b, 't') - 15_000, 10_000);
  assert.equal(money(b, 'u', '2026-11'), 10_000, 'in New York it is still November');
  assert.equal(b.cost, 50_000);
});

test('repeated, late and unknown events change nothing', () => {
  const b = books();
  b.machine('m', 3_600_000, DEC, false);
  b.update('m', 3_600_000, true);
  const job = b.job('run-1', 't', 'c', false);
  for (let k = 0; k < 3; k++) b.run('m', job, 0, 7, WHOLE);
  for (let k = 0; k < 2; k++) b.machine('m', 9_900_000, DEC - HOUR, false);
  b.at(DEC + 10 * S);
  b.end('run-1', 0, 6, ALL);
  b.at(DEC - 5 * S);
  for (let k = 0; k < 3; k++) b.end('run-1', 0, 7, ALL);
  b.end('run-9', 0, 7, ALL);
  assert.equal(money(b, 't'), 10_000);
  assert.equal(b.difference(), 0);
});

test('an attempt on record is charged on from the record if it is still there, and else is not the owner’s', () => {
  const b = books();
  const job = b.job('run-1', 't', 'c', false);
  b.recorded(job, 0, 5, { month: '2026-12', money: 4_000, us: 4 * S });
  b.recorded(job, 1, 6, { month: '2026-12', money: 4_000, us: 4 * S });
  b.takeOver({ cost: 8_500, platform: noReasons() });
  assert.equal(b.platform.takeover, 500, 'what the record can not explain');
  b.machine('m', 3_600_000, DEC, true);
  b.at(DEC + 20 * S);
  b.run('m', job, 0, 5, WHOLE / 2);
  b.run('m', job, 2, 9, WHOLE / 2);
  b.at(DEC + 21 * S);
  b.resolve('m');
  b.forsakeUnseen();
  b.at(DEC + 30 * S);
  b.end('run-1', 0, 5, ALL);
  b.end('run-1', 2, 9, ALL);
  // 4,000 on record and half of 30 s; the other began nobody knows when: half of the 10 s since it was seen.
  assert.equal(money(b, 't'), 4_000 + 15_000 + 5_000);
  assert.equal(b.platform.takeover, 500 + 4_000 + 10_000);
  assert.equal(b.difference(), 0);
});

test('a machine on record that nobody hears of costs nothing since the record', () => {
  // Ghosts of dead machines doubled the cost after many changes of leader.
  const b = books();
  b.machine('ghost', 3_600_000, DEC, true);
  b.machine('alive', 3_600_000, DEC, true);
  b.at(DEC + 30 * S);
  b.resolve('alive');
  b.vanish('ghost');
  b.vanish('alive');
  b.gone('ghost');
  b.advance();
  assert.equal(b.cost, 30_000);
  assert.equal(b.difference(), 0);
});

test('what becomes clear after a month was closed is on the next one, marked late', () => {
  const b = books(DEC - 10 * S);
  b.machine('m', 3_600_000, DEC - 10 * S, false);
  b.update('m', 3_600_000, true);
  b.run('m', b.job('run-1', 't', 'c', false), 0, 1, WHOLE);
  b.at(DEC + 10 * S);
  b.advance();
  b.closeMonth('t', '2026-11');
  b.end('run-1', 0, 1, ALL);
  assert.equal(money(b, 't', '2026-11'), 0);
  const c = b.accounts.get('t')!.get('2026-12')!;
  assert.deepEqual([c.money, c.late, c.us], [20_000, 10_000, 20 * S]);
});
