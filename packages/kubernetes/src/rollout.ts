/**
 * A Deployment's rollout, as the leader decides it: which pods to create and which to withdraw next. Decides from what is
 * on record and what is seen, and remembers nothing else, so that the next leader goes on from the same facts.
 *
 * What holds at every moment, whatever is lost, late or repeated:
 * - never more pods than `replicas + surge`, counting those that may have been created and those that still go;
 * - no pod that is available is withdrawn while that leaves fewer than `replicas - unavailable` of them.
 */
import type { Micros } from '@shaleyoke/core/domain/time';

export interface Pod {
  readonly name: string;
  /** The template that it was made of. */
  readonly revision: number;
  /**
   * `creating`: asked for, and nobody knows yet whether it is on record; `starting`: on record, its task does not run;
   * `available`: its task runs; `leaving`: withdrawn, and not known to be gone.
   */
  readonly state: 'creating' | 'starting' | 'available' | 'leaving';
}

export interface Target {
  readonly replicas: number;
  /** Null: all pods of other revisions go before new ones come. */
  readonly rolling: { readonly surge: number; readonly unavailable: number } | null;
  readonly revision: number;
  readonly paused: boolean;
  readonly progressDeadlineUs: Micros;
}

/** On record beside the Deployment. */
export interface Progress {
  readonly revision: number;
  /** Most pods of the revision that were available at a time. */
  readonly most: number;
  /** Time of day at which that became so, or at which the rollout began. */
  readonly at: Micros;
}

export interface Step {
  /** Pods of the target's revision to be created. */
  readonly create: number;
  /** Names of pods to be withdrawn. */
  readonly withdraw: readonly string[];
  readonly progress: Progress;
  /** The new template made no progress for too long: what is available stays as it is. */
  readonly stalled: boolean;
  readonly complete: boolean;
}

/** The first that go: what is of no use yet, and the other revisions before the wanted one. */
const inOrderOfLeaving = (pods: readonly Pod[], revision: number): Pod[] =>
  [...pods].sort(
    (a, b) =>
      Number(a.state === 'available') - Number(b.state === 'available') ||
      Number(a.revision === revision) - Number(b.revision === revision) ||
      (a.name < b.name ? -1 : 1),
  );

const progressOf = (t: Target, before: Progress | null, available: number, now: Micros): Progress => {
  if (before?.revision !== t.revision) return { revision: t.revision, most: available, at: now };
  // A rollout that stands still by its owner's word does not run late.
  if (available > before.most || t.paused)
    return { ...before, most: Math.max(before.most, available), at: now };
  return before;
};

export const stepOf = (t: Target, pods: readonly Pod[], before: Progress | null, now: Micros): Step => {
  const staying = pods.filter((p) => p.state !== 'leaving');
  const wanted = staying.filter((p) => p.revision === t.revision);
  const others = staying.filter((p) => p.revision !== t.revision);
  const available = staying.filter((p) => p.state === 'available');
  const ready = wanted.filter((p) => p.state === 'available').length;
  const progress = progressOf(t, before, ready, now);
  const complete = others.length === 0 && ready === t.replicas && wanted.length === t.replicas;
  const stalled = !complete && !t.paused && now >= progress.at + t.progressDeadlineUs;

  // Withdrawals: what is too much, then what a rollout replaces.
  const unavailable = t.rolling?.unavailable ?? t.replicas;
  let spare = available.length - Math.max(0, t.replicas - unavailable);
  const withdraw: string[] = [];
  const take = (p: Pod): void => {
    // What may not be on record yet can't be withdrawn: it is asked for again until that is known.
    if (p.state === 'creating' || (p.state === 'available' && spare <= 0)) return;
    if (p.state === 'available') spare--;
    withdraw.push(p.name);
  };
  let excess = staying.length - t.replicas - (t.rolling?.surge ?? 0);
  if (t.paused || stalled) {
    // Only what is beyond the number that is asked for.
    excess = staying.length - t.replicas - (stalled ? (t.rolling?.surge ?? 0) : 0);
    for (const p of inOrderOfLeaving(staying, t.revision)) if (excess-- > 0) take(p);
  } else {
    for (const p of inOrderOfLeaving(others, t.revision)) take(p);
    let extra = wanted.length - t.replicas;
    for (const p of inOrderOfLeaving(wanted, t.revision)) if (extra-- > 0) take(p);
  }

  // Creations: as many as are missing, within what may be there at all.
  const most = t.replicas + (t.rolling?.surge ?? 0);
  const room = most - pods.length;
  const blocked = t.rolling === null && pods.some((p) => p.revision !== t.revision);
  const missing = t.paused ? t.replicas - staying.length : t.replicas - wanted.length;
  const create = blocked || stalled ? 0 : Math.max(0, Math.min(missing, room));
  return { create, withdraw, progress, stalled, complete };
};
