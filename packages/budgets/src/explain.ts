/** Where owners stand, and why a job waits for money: worked out from the records alone, as the leader does it. */
import { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import { decodeActiveJob, decodeEndedJob } from '@shaleyoke/core/codecs/job-codec';
import { ACTIVE_JOBS_PREFIX } from '@shaleyoke/core/codecs/keys';
import { decodeMachineTypes } from '@shaleyoke/core/codecs/machine-type-codec';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { MachineType } from '@shaleyoke/core/domain/machine';

import { probableCost } from './estimate.js';
import { spentOf, type Standing, tooDear } from './limits.js';
import { formatMoney, type Money } from './money.js';
import { type BooksView, totalsOf } from './reader.js';
import type { BudgetSettings } from './settings.js';

/** `now`: microseconds of time of day. */
export const standingOf = (
  view: BooksView,
  owner: string,
  settings: BudgetSettings,
  now: number,
): Standing => {
  const entry = settings.owners.get(owner)!;
  const month = entry.calendar.at(now).id;
  const set = view.limits.get(owner);
  const limit = set === undefined ? entry.limit : { soft: set.soft, hard: set.hard };
  const [carriedMonth, carried] = view.head?.c[owner] ?? ['', 0];
  let pending = 0;
  let committed = 0;
  const charged = new Map<string, Money>();
  for (const l of view.lines)
    if (l.owner === owner) charged.set(l.job, (charged.get(l.job) ?? 0) + l.charge.money);
  for (const o of view.open) {
    if (o.owner !== owner) continue;
    pending += o.pending;
    if (o.commit !== null)
      committed += o.service ? o.commit : Math.max(0, o.commit - o.pending - (charged.get(o.job) ?? 0));
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

export interface JobFacts {
  /** Records `j/`, all of them. */
  readonly active: readonly StoredItem[];
  /** The job's record `t/`, if there is one. */
  readonly ended: StoredItem | null;
  readonly types: StoredItem | null;
  readonly timings: StoredItem | null;
}

const amount = (m: Money, currency: string): string => `${formatMoney(m)} ${currency}`;

/** Lines of text; the first says what holds it. */
export const explainJob = (
  id: string,
  facts: JobFacts,
  view: BooksView,
  settings: BudgetSettings,
  now: number,
): string[] => {
  const { currency } = settings;
  const charged = view.lines.filter((l) => l.job === id);
  const sum = charged.reduce((n, l) => n + l.charge.money, 0);
  const free = charged.reduce((n, l) => n + l.charge.free, 0);
  const open = view.open.find((o) => o.job === id);
  const bill = [
    `charged: ${amount(sum, currency)}; not charged (the platform's): ${amount(free, currency)}`,
    ...(open === undefined
      ? []
      : [`pending: ${amount(open.pending, currency)} for ${open.running} running tasks`]),
  ];
  const specs = new Map<string, JobSpec>();
  for (const it of facts.active) {
    const rec = decodeActiveJob(it.value);
    if (rec !== null) specs.set(it.key.slice(ACTIVE_JOBS_PREFIX.length), rec.spec);
  }
  const spec = specs.get(id);
  if (spec === undefined) {
    const end = facts.ended === null ? null : decodeEndedJob(facts.ended.value);
    return end === null
      ? [`${id}: no such job`]
      : [`${id}: ${end.stage}; money holds nothing of it`, ...bill];
  }
  const types = new Map<string, MachineType>(
    (decodeMachineTypes(facts.types?.value) ?? []).map((t) => [t.name, t]),
  );
  if (types.size === 0) return [`${id}: the machine types are not on record yet; ask again later`];
  const timings = new RuntimeEstimates();
  timings.load(facts.timings?.value);
  const chain = new Set([id]);
  const next = [id];
  for (let x = next.pop(); x !== undefined; x = next.pop())
    for (const s of specs.values())
      for (const l of s.id === x ? s.dependsOn : s.dependsOn.includes(x) ? [s.id] : [])
        if (specs.has(l) && !chain.has(l)) {
          chain.add(l);
          next.push(l);
        }
  const needs = new Map<string, Money>();
  for (const j of chain) {
    const s = specs.get(j)!;
    if ((view.open.find((o) => o.job === j)?.commit ?? null) !== null) continue;
    const cost = probableCost(s, types, timings, settings.quantile);
    needs.set(s.team, (needs.get(s.team) ?? 0) + cost);
  }
  const s = standingOf(view, spec.team, settings, now);
  const stand =
    s.limit.hard === null
      ? `${spec.team} has no limit in ${s.month}`
      : `${spec.team} in ${s.month}: limit ${amount(s.limit.hard, currency)}, spent or promised ${amount(spentOf(s), currency)}`;
  const estimate = `a task is likely to cost less than ${amount(Math.ceil(probableCost(spec, types, timings, settings.quantile) / spec.tasks), currency)}, the job has ${spec.tasks}`;
  const head = (why: string): string[] => [
    `${id}: ${why}`,
    stand,
    estimate,
    ...(chain.size > 1
      ? [`linked to ${chain.size - 1} jobs that have not ended; they begin together or not`]
      : []),
    ...bill,
  ];
  if (needs.size === 0) return head('money does not hold it: it is committed and goes on to its end');
  const begun = [...chain].some((j) => specs.get(j)!.dependsOn.some((n) => !specs.has(n)));
  const reason = begun
    ? null
    : tooDear(needs, (owner) => standingOf(view, owner, settings, now), currency, chain.size);
  return head(
    reason === null
      ? 'money does not hold it'
      : `held back: ${reason}. It begins when money comes free, the month turns, or the limit is raised`,
  );
};
