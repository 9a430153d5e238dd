/** The ledger by itself: balance under any sequence of events, prices, shares, months, and restoring from records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Calendar } from '@shaleyoke/budgets/calendar';
import {
  FULL_WEIGHT,
  FULLY_KEPT,
  Ledger,
  type Outcome,
  PLATFORM_REASONS,
  zeroPlatformCosts,
} from '@shaleyoke/budgets/ledger';
import fc from 'fast-check';

const SECOND = 1_000_000;
const HOUR = 3600 * SECOND;
const DECEMBER_START = Date.UTC(2026, 10, 30, 23) * 1000;
const newLedger = (now = DECEMBER_START): Ledger => {
  const ledger = new Ledger(
    new Map([
      ['t', new Calendar('Europe/Warsaw')],
      ['u', new Calendar('America/New_York')],
    ]),
  );
  ledger.setTime(now);
  return ledger;
};
const money = (ledger: Ledger, owner: string, month = '2026-12'): number =>
  ledger.accounts.get(owner)?.get(month)?.money ?? 0;

test('the ledger balances after any sequence of events, and owners pay only for run time', () => {
  const anyEvent = fc.record({
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
    machineIndex: fc.nat(3),
    jobIndex: fc.nat(4),
    taskIndex: fc.nat(2),
    number: fc.nat(5),
    wait: fc.integer({ min: 0, max: 200 * SECOND }),
    amount: fc.nat(100),
  });
  fc.assert(
    fc.property(fc.array(anyEvent, { maxLength: 80 }), (events) => {
      let now = DECEMBER_START - 600 * SECOND;
      const ledger = newLedger(now);
      let highestRate = 0;
      for (const event of events) {
        now += event.wait;
        ledger.setTime(now);
        const name = `m${event.machineIndex}`;
        const owner = event.jobIndex % 2 === 0 ? 't' : 'u';
        switch (event.kind) {
          case 'machine':
            ledger.addMachine(
              name,
              event.amount * 100_000,
              now - event.amount * SECOND,
              event.amount % 3 === 0,
            );
            highestRate = Math.max(highestRate, event.amount * 100_000);
            break;
          case 'run': {
            const job = ledger.openJob(`run-${event.jobIndex}`, owner, 'c', event.jobIndex === 4);
            if (event.amount % 7 === 0)
              ledger.restoreAttempt(job, event.taskIndex, event.number, {
                month: '2026-11',
                money: 0,
                runUs: 5 * SECOND,
              });
            ledger.startAttempt(
              name,
              job,
              event.taskIndex,
              event.number,
              Math.max(1, Math.floor((event.amount / 100) * FULL_WEIGHT)),
            );
            break;
          }
          case 'end': {
            const rest = (['lost', 'stopped', 'unseen'] as const)[event.amount % 3]!;
            const outcome: Outcome =
              event.amount % 2 === 0 ? FULLY_KEPT : { keptUs: event.amount * SECOND, lossReason: rest };
            ledger.endAttempt(`run-${event.jobIndex}`, event.taskIndex, event.number, outcome);
            break;
          }
          case 'gone':
            ledger.removeMachine(name);
            break;
          case 'price':
            ledger.updateMachine(name, event.amount * 200_000, true);
            highestRate = Math.max(highestRate, event.amount * 200_000);
            break;
          case 'up':
            ledger.updateMachine(name, event.amount * 100_000, event.amount % 2 === 0);
            highestRate = Math.max(highestRate, event.amount * 100_000);
            break;
          case 'advance':
            ledger.accrueAll();
            break;
          case 'close':
            ledger.closeJob(`run-${event.jobIndex}`);
            break;
          case 'resolve':
            ledger.resumeMachine(name);
            break;
          case 'month':
            if (now >= new Calendar('America/New_York').month('2026-11').to)
              ledger.closeMonth('u', '2026-11');
            break;
        }
        assert.equal(ledger.imbalance(), 0);
        assert.ok(ledger.cost >= 0);
        for (const reason of PLATFORM_REASONS) assert.ok(ledger.platform[reason] >= 0, reason);
        for (const months of ledger.accounts.values())
          for (const charge of months.values()) {
            assert.ok(charge.money >= 0 && charge.runUs >= 0 && charge.uncharged >= 0);
            assert.ok(charge.money <= Math.ceil((charge.runUs / HOUR) * highestRate) + 300);
          }
      }
    }),
    { seed: 11, numRuns: 3_000 },
  );
});

test('a new price applies from when it is known, and the shares of a machine add up to its price', () => {
  const ledger = newLedger();
  ledger.addMachine('m', 3_600_000, DECEMBER_START, false);
  ledger.updateMachine('m', 3_600_000, true);
  ledger.startAttempt('m', ledger.openJob('run-1', 't', 'c', false), 0, 1, FULL_WEIGHT / 2);
  ledger.setTime(DECEMBER_START + 10 * SECOND);
  ledger.updateMachine('m', 7_200_000, true);
  ledger.setTime(DECEMBER_START + 20 * SECOND);
  ledger.endAttempt('run-1', 0, 1, FULLY_KEPT);
  // Half of 30,000: 10 s at 1,000 a second, then 10 s at 2,000.
  assert.equal(money(ledger, 't'), 15_000);
  // Two tasks with a weight of four fifths each, of different resources, divide the price of the machine.
  ledger.startAttempt('m', ledger.openJob('run-2', 't', 'c', false), 0, 2, 0.8 * FULL_WEIGHT);
  ledger.startAttempt('m', ledger.openJob('run-3', 'u', 'c', false), 0, 3, 0.8 * FULL_WEIGHT);
  ledger.setTime(DECEMBER_START + 30 * SECOND);
  ledger.endAttempt('run-2', 0, 2, FULLY_KEPT);
  ledger.endAttempt('run-3', 0, 3, FULLY_KEPT);
  assert.equal(money(ledger, 't') - 15_000, 10_000);
  assert.equal(money(ledger, 'u', '2026-11'), 10_000, 'in New York it is still November');
  assert.equal(ledger.cost, 50_000);
});

test('repeated, late and unknown events change nothing', () => {
  const ledger = newLedger();
  ledger.addMachine('m', 3_600_000, DECEMBER_START, false);
  ledger.updateMachine('m', 3_600_000, true);
  const job = ledger.openJob('run-1', 't', 'c', false);
  for (let repeat = 0; repeat < 3; repeat++) ledger.startAttempt('m', job, 0, 7, FULL_WEIGHT);
  for (let repeat = 0; repeat < 2; repeat++) ledger.addMachine('m', 9_900_000, DECEMBER_START - HOUR, false);
  ledger.setTime(DECEMBER_START + 10 * SECOND);
  ledger.endAttempt('run-1', 0, 6, FULLY_KEPT);
  ledger.setTime(DECEMBER_START - 5 * SECOND);
  for (let repeat = 0; repeat < 3; repeat++) ledger.endAttempt('run-1', 0, 7, FULLY_KEPT);
  ledger.endAttempt('run-9', 0, 7, FULLY_KEPT);
  assert.equal(money(ledger, 't'), 10_000);
  assert.equal(ledger.imbalance(), 0);
});

test('a recorded attempt is charged from the record on if it still runs; otherwise the platform pays', () => {
  const ledger = newLedger();
  const job = ledger.openJob('run-1', 't', 'c', false);
  ledger.restoreAttempt(job, 0, 5, { month: '2026-12', money: 4_000, runUs: 4 * SECOND });
  ledger.restoreAttempt(job, 1, 6, { month: '2026-12', money: 4_000, runUs: 4 * SECOND });
  ledger.restoreTotals({ cost: 8_500, platform: zeroPlatformCosts() });
  assert.equal(ledger.platform.takeover, 500, 'the difference that the records leave');
  ledger.addMachine('m', 3_600_000, DECEMBER_START, true);
  ledger.setTime(DECEMBER_START + 20 * SECOND);
  ledger.startAttempt('m', job, 0, 5, FULL_WEIGHT / 2);
  ledger.startAttempt('m', job, 2, 9, FULL_WEIGHT / 2);
  ledger.setTime(DECEMBER_START + 21 * SECOND);
  ledger.resumeMachine('m');
  ledger.writeOffUnreported();
  ledger.setTime(DECEMBER_START + 30 * SECOND);
  ledger.endAttempt('run-1', 0, 5, FULLY_KEPT);
  ledger.endAttempt('run-1', 2, 9, FULLY_KEPT);
  // 4,000 on record and half of 30 s; the other attempt isn't on record: half of the 10 s since it was reported.
  assert.equal(money(ledger, 't'), 4_000 + 15_000 + 5_000);
  assert.equal(ledger.platform.takeover, 500 + 4_000 + 10_000);
  assert.equal(ledger.imbalance(), 0);
});

test('a recorded machine that never reports costs nothing after the record', () => {
  // Recorded machines that were dead doubled the ledger's cost after many changes of leader.
  const ledger = newLedger();
  ledger.addMachine('silent', 3_600_000, DECEMBER_START, true);
  ledger.addMachine('reporting', 3_600_000, DECEMBER_START, true);
  ledger.setTime(DECEMBER_START + 30 * SECOND);
  ledger.resumeMachine('reporting');
  ledger.discardUnreported('silent');
  ledger.discardUnreported('reporting');
  ledger.removeMachine('silent');
  ledger.accrueAll();
  assert.equal(ledger.cost, 30_000);
  assert.equal(ledger.imbalance(), 0);
});

test('a charge for a month that is already closed goes to the next one, marked late', () => {
  const ledger = newLedger(DECEMBER_START - 10 * SECOND);
  ledger.addMachine('m', 3_600_000, DECEMBER_START - 10 * SECOND, false);
  ledger.updateMachine('m', 3_600_000, true);
  ledger.startAttempt('m', ledger.openJob('run-1', 't', 'c', false), 0, 1, FULL_WEIGHT);
  ledger.setTime(DECEMBER_START + 10 * SECOND);
  ledger.accrueAll();
  ledger.closeMonth('t', '2026-11');
  ledger.endAttempt('run-1', 0, 1, FULLY_KEPT);
  assert.equal(money(ledger, 't', '2026-11'), 0);
  const charge = ledger.accounts.get('t')!.get('2026-12')!;
  assert.deepEqual([charge.money, charge.late, charge.runUs], [20_000, 10_000, 20 * SECOND]);
});
