/** The books by themselves: any sequence of events balances; prices, shares, months and adoption as stated. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  FULL_WEIGHT,
  FULLY_KEPT,
  Ledger,
  type Outcome,
  PLATFORM_REASONS,
  zeroPlatformCosts,
} from '@shaleyoke/budgets/books';
import { Calendar } from '@shaleyoke/budgets/calendar';
import fc from 'fast-check';

const S = 1_000_000;
const HOUR = 3600 * S;
const DEC = Date.UTC(2026, 10, 30, 23) * 1000;
const books = (now = DEC): Ledger => {
  const b = new Ledger(
    new Map([
      ['t', new Calendar('Europe/Warsaw')],
      ['u', new Calendar('America/New_York')],
    ]),
  );
  b.setTime(now);
  return b;
};
const money = (b: Ledger, owner: string, month = '2026-12'): number =>
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
        b.setTime(now);
        const name = `m${e.m}`;
        const owner = e.j % 2 === 0 ? 't' : 'u';
        switch (e.kind) {
          case 'machine':
            b.addMachine(name, e.n * 100_000, now - e.n * S, e.n % 3 === 0);
            dearest = Math.max(dearest, e.n * 100_000);
            break;
          case 'run': {
            const job = b.openJob(`run-${e.j}`, owner, 'c', e.j === 4);
            if (e.n % 7 === 0) b.restoreAttempt(job, e.i, e.no, { month: '2026-11', money: 0, runUs: 5 * S });
            b.startAttempt(name, job, e.i, e.no, Math.max(1, Math.floor((e.n / 100) * FULL_WEIGHT)));
            break;
          }
          case 'end': {
            const rest = (['lost', 'stopped', 'unseen'] as const)[e.n % 3]!;
            const outcome: Outcome = e.n % 2 === 0 ? FULLY_KEPT : { keptUs: e.n * S, lossReason: rest };
            b.endAttempt(`run-${e.j}`, e.i, e.no, outcome);
            break;
          }
          case 'gone':
            b.removeMachine(name);
            break;
          case 'price':
            b.updateMachine(name, e.n * 200_000, true);
            dearest = Math.max(dearest, e.n * 200_000);
            break;
          case 'up':
            b.updateMachine(name, e.n * 100_000, e.n % 2 === 0);
            dearest = Math.max(dearest, e.n * 100_000);
            break;
          case 'advance':
            b.accrueAll();
            break;
          case 'close':
            b.closeJob(`run-${e.j}`);
            break;
          case 'resolve':
            b.resumeMachine(name);
            break;
          case 'month':
            if (now >= new Calendar('America/New_York').month('2026-11').to) b.closeMonth('u', '2026-11');
            break;
        }
        assert.equal(b.imbalance(), 0);
        assert.ok(b.cost >= 0);
        for (const r of PLATFORM_REASONS) assert.ok(b.platform[r] >= 0, r);
        for (const months of b.accounts.values())
          for (const c of months.values()) {
            assert.ok(c.money >= 0 && c.us >= 0 && c.uncharged >= 0);
            assert.ok(c.money <= Math.ceil((c.us / HOUR) * dearest) + 300);
          }
      }
    }),
    { seed: 11, numRuns: 3_000 },
  );
});

test('a price that doubles counts from when it is known, and what one machine is used for adds up to its price', () => {
  const b = books();
  b.addMachine('m', 3_600_000, DEC, false);
  b.updateMachine('m', 3_600_000, true);
  b.startAttempt('m', b.openJob('run-1', 't', 'c', false), 0, 1, FULL_WEIGHT / 2);
  b.setTime(DEC + 10 * S);
  b.updateMachine('m', 7_200_000, true);
  b.setTime(DEC + 20 * S);
  b.endAttempt('run-1', 0, 1, FULLY_KEPT);
  // 1,000 a second, then 2,000: half of 30,000.
  assert.equal(money(b, 't'), 15_000);
  // Two tasks that hold four fifths each, of different things: the machine is shared, not paid twice.
  b.startAttempt('m', b.openJob('run-2', 't', 'c', false), 0, 2, 0.8 * FULL_WEIGHT);
  b.startAttempt('m', b.openJob('run-3', 'u', 'c', false), 0, 3, 0.8 * FULL_WEIGHT);
  b.setTime(DEC + 30 * S);
  b.endAttempt('run-2', 0, 2, FULLY_KEPT);
  b.endAttempt('run-3', 0, 3, FULLY_KEPT);
  assert.equal(money(b, 't') - 15_000, 10_000);
  assert.equal(money(b, 'u', '2026-11'), 10_000, 'in New York it is still November');
  assert.equal(b.cost, 50_000);
});

test('repeated, late and unknown events change nothing', () => {
  const b = books();
  b.addMachine('m', 3_600_000, DEC, false);
  b.updateMachine('m', 3_600_000, true);
  const job = b.openJob('run-1', 't', 'c', false);
  for (let k = 0; k < 3; k++) b.startAttempt('m', job, 0, 7, FULL_WEIGHT);
  for (let k = 0; k < 2; k++) b.addMachine('m', 9_900_000, DEC - HOUR, false);
  b.setTime(DEC + 10 * S);
  b.endAttempt('run-1', 0, 6, FULLY_KEPT);
  b.setTime(DEC - 5 * S);
  for (let k = 0; k < 3; k++) b.endAttempt('run-1', 0, 7, FULLY_KEPT);
  b.endAttempt('run-9', 0, 7, FULLY_KEPT);
  assert.equal(money(b, 't'), 10_000);
  assert.equal(b.imbalance(), 0);
});

test('an attempt on record is charged on from the record if it is still there, and else is not the owner’s', () => {
  const b = books();
  const job = b.openJob('run-1', 't', 'c', false);
  b.restoreAttempt(job, 0, 5, { month: '2026-12', money: 4_000, runUs: 4 * S });
  b.restoreAttempt(job, 1, 6, { month: '2026-12', money: 4_000, runUs: 4 * S });
  b.restoreTotals({ cost: 8_500, platform: zeroPlatformCosts() });
  assert.equal(b.platform.takeover, 500, 'what the record can not explain');
  b.addMachine('m', 3_600_000, DEC, true);
  b.setTime(DEC + 20 * S);
  b.startAttempt('m', job, 0, 5, FULL_WEIGHT / 2);
  b.startAttempt('m', job, 2, 9, FULL_WEIGHT / 2);
  b.setTime(DEC + 21 * S);
  b.resumeMachine('m');
  b.writeOffUnreported();
  b.setTime(DEC + 30 * S);
  b.endAttempt('run-1', 0, 5, FULLY_KEPT);
  b.endAttempt('run-1', 2, 9, FULLY_KEPT);
  // 4,000 on record and half of 30 s; the other began nobody knows when: half of the 10 s since it was seen.
  assert.equal(money(b, 't'), 4_000 + 15_000 + 5_000);
  assert.equal(b.platform.takeover, 500 + 4_000 + 10_000);
  assert.equal(b.imbalance(), 0);
});

test('a machine on record that nobody hears of costs nothing since the record', () => {
  // Ghosts of dead machines doubled the cost after many changes of leader.
  const b = books();
  b.addMachine('ghost', 3_600_000, DEC, true);
  b.addMachine('alive', 3_600_000, DEC, true);
  b.setTime(DEC + 30 * S);
  b.resumeMachine('alive');
  b.discardUnreported('ghost');
  b.discardUnreported('alive');
  b.removeMachine('ghost');
  b.accrueAll();
  assert.equal(b.cost, 30_000);
  assert.equal(b.imbalance(), 0);
});

test('what becomes clear after a month was closed is on the next one, marked late', () => {
  const b = books(DEC - 10 * S);
  b.addMachine('m', 3_600_000, DEC - 10 * S, false);
  b.updateMachine('m', 3_600_000, true);
  b.startAttempt('m', b.openJob('run-1', 't', 'c', false), 0, 1, FULL_WEIGHT);
  b.setTime(DEC + 10 * S);
  b.accrueAll();
  b.closeMonth('t', '2026-11');
  b.endAttempt('run-1', 0, 1, FULLY_KEPT);
  assert.equal(money(b, 't', '2026-11'), 0);
  const c = b.accounts.get('t')!.get('2026-12')!;
  assert.deepEqual([c.money, c.late, c.us], [20_000, 10_000, 20 * S]);
});
