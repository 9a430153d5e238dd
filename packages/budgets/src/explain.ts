/** Computes owners' standings and why a job is held back, from the records alone and by the leader's rules. */
import { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import { decodeActiveJob, decodeEndedJob } from '@shaleyoke/core/codecs/job-codec';
import { ACTIVE_JOBS_PREFIX } from '@shaleyoke/core/codecs/keys';
import { decodeMachineTypes } from '@shaleyoke/core/codecs/machine-type-codec';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { MachineType } from '@shaleyoke/core/domain/machine';

import { estimatedCost } from './estimate.js';
import { limitExceededReason, type Standing, totalSpent } from './limits.js';
import { formatMoney, type Money } from './money.js';
import { type LedgerView, totalsOf } from './reader.js';
import type { BudgetSettings } from './settings.js';

/** An owner's spending in its current month. `now`: microseconds since the epoch. */
export const standingOf = (
  view: LedgerView,
  owner: string,
  settings: BudgetSettings,
  now: number,
): Standing => {
  const entry = settings.owners.get(owner)!;
  const month = entry.calendar.monthAt(now).id;
  const set = view.limits.get(owner);
  const limit = set === undefined ? entry.limit : { soft: set.soft, hard: set.hard };
  const [carriedMonth, carried] = view.head?.c[owner] ?? ['', 0];
  let pending = 0;
  let committed = 0;
  const charged = new Map<string, Money>();
  for (const line of view.lines)
    if (line.owner === owner) charged.set(line.job, (charged.get(line.job) ?? 0) + line.charge.money);
  for (const job of view.open) {
    if (job.owner !== owner) continue;
    pending += job.pending;
    if (job.commitment !== null)
      committed += job.service
        ? job.commitment
        : Math.max(0, job.commitment - job.pending - (charged.get(job.job) ?? 0));
  }
  return {
    month,
    limit,
    carried: carriedMonth === month ? carried : 0,
    charged: totalsOf(view.lines).get(owner)?.get(month)?.money ?? 0,
    pending,
    committed,
  };
};

/** Records of the core that the explanation of a job needs. */
export interface JobRecords {
  /** All records under `j/`, the active jobs. */
  readonly active: readonly StoredItem[];
  /** The job's record under `t/`, if it has ended. */
  readonly ended: StoredItem | null;
  /** Machine types with their prices. */
  readonly types: StoredItem | null;
  /** Learned run times. */
  readonly timings: StoredItem | null;
}

const amount = (m: Money, currency: string): string => `${formatMoney(m)} ${currency}`;

/** Explains in lines of text whether money holds a job back and what it was charged; the first is the answer. */
export const explainJob = (
  id: string,
  records: JobRecords,
  view: LedgerView,
  settings: BudgetSettings,
  now: number,
): string[] => {
  const { currency } = settings;
  const chargedLines = view.lines.filter((l) => l.job === id);
  const sum = chargedLines.reduce((n, l) => n + l.charge.money, 0);
  const uncharged = chargedLines.reduce((n, l) => n + l.charge.uncharged, 0);
  const open = view.open.find((o) => o.job === id);
  const chargeLines = [
    `charged: ${amount(sum, currency)}; not charged (the platform's): ${amount(uncharged, currency)}`,
    ...(open === undefined
      ? []
      : [`pending: ${amount(open.pending, currency)} for ${open.running} running tasks`]),
  ];
  const specs = new Map<string, JobSpec>();
  for (const item of records.active) {
    const record = decodeActiveJob(item.value);
    if (record !== null) specs.set(item.key.slice(ACTIVE_JOBS_PREFIX.length), record.spec);
  }
  const spec = specs.get(id);
  if (spec === undefined) {
    const end = records.ended === null ? null : decodeEndedJob(records.ended.value);
    return end === null
      ? [`${id}: no such job`]
      : [`${id}: ${end.stage}; money holds nothing of it`, ...chargeLines];
  }
  const types = new Map<string, MachineType>(
    (decodeMachineTypes(records.types?.value) ?? []).map((t) => [t.name, t]),
  );
  if (types.size === 0) return [`${id}: the machine types are not on record yet; ask again later`];
  const estimates = new RuntimeEstimates();
  estimates.restore(records.timings?.value);
  const chain = new Set([id]);
  const queue = [id];
  for (let current = queue.pop(); current !== undefined; current = queue.pop())
    for (const candidate of specs.values())
      for (const linked of candidate.id === current
        ? candidate.dependsOn
        : candidate.dependsOn.includes(current)
          ? [candidate.id]
          : [])
        if (specs.has(linked) && !chain.has(linked)) {
          chain.add(linked);
          queue.push(linked);
        }
  const needs = new Map<string, Money>();
  for (const jobId of chain) {
    const jobSpec = specs.get(jobId)!;
    if ((view.open.find((o) => o.job === jobId)?.commitment ?? null) !== null) continue;
    const cost = estimatedCost(jobSpec, types, estimates, settings.quantile);
    needs.set(jobSpec.team, (needs.get(jobSpec.team) ?? 0) + cost);
  }
  const standing = standingOf(view, spec.team, settings, now);
  const standingText =
    standing.limit.hard === null
      ? `${spec.team} has no limit in ${standing.month}`
      : `${spec.team} in ${standing.month}: limit ${amount(standing.limit.hard, currency)}, spent or promised ${amount(totalSpent(standing), currency)}`;
  const estimate = `a task is likely to cost less than ${amount(Math.ceil(estimatedCost(spec, types, estimates, settings.quantile) / spec.tasks), currency)}, the job has ${spec.tasks}`;
  const describe = (why: string): string[] => [
    `${id}: ${why}`,
    standingText,
    estimate,
    ...(chain.size > 1
      ? [`linked to ${chain.size - 1} jobs that have not ended; they begin together or not`]
      : []),
    ...chargeLines,
  ];
  if (needs.size === 0) return describe('money does not hold it: it is committed and goes on to its end');
  const begun = [...chain].some((j) => specs.get(j)!.dependsOn.some((n) => !specs.has(n)));
  const reason = begun
    ? null
    : limitExceededReason(needs, (owner) => standingOf(view, owner, settings, now), currency, chain.size);
  return describe(
    reason === null
      ? 'money does not hold it'
      : `held back: ${reason}. It begins when money comes free, the month turns, or the limit is raised`,
  );
};
