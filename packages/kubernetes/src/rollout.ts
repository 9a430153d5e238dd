/**
 * Decides a Deployment's rollout: which pods to create and which to withdraw next. It depends only on stored and
 * observed state, so that a new leader continues from the same facts.
 *
 * Invariants, also with lost, late or repeated operations:
 * - There are never more than `replicas + surge` pods, counting those that may have been created and those that are
 *   still being removed.
 * - No available pod is withdrawn if that would leave fewer than `replicas - unavailable` available pods.
 */
import type { Micros } from '@shaleyoke/core/domain/time';

/** A pod as the leader observes it. */
export interface Pod {
  readonly name: string;
  /** Revision of the template that it was created from. */
  readonly revision: number;
  /**
   * `creating`: requested, not yet known to be stored; `starting`: stored, its task doesn't run; `available`: its task
   * runs; `leaving`: withdrawn, not yet known to be gone.
   */
  readonly state: 'creating' | 'starting' | 'available' | 'leaving';
}

/** The state that the rollout has to reach. */
export interface Target {
  readonly replicas: number;
  /** Null: all pods of other revisions are removed before new ones are created (Recreate). */
  readonly rolling: { readonly surge: number; readonly unavailable: number } | null;
  readonly revision: number;
  readonly paused: boolean;
  readonly progressDeadlineUs: Micros;
}

/** Progress of a rollout, to be stored with the Deployment. */
export interface Progress {
  readonly revision: number;
  /** Maximum number of pods of the revision that were available at the same time. */
  readonly most: number;
  /** Wall-clock time at which that number was reached, or at which the rollout started. */
  readonly at: Micros;
}

/** The next actions of a rollout. */
export interface Step {
  /** Number of pods of the target's revision to create. */
  readonly create: number;
  /** Names of pods to withdraw. */
  readonly withdraw: readonly string[];
  readonly progress: Progress;
  /** The progress deadline has passed: available pods are kept as they are. */
  readonly stalled: boolean;
  readonly complete: boolean;
}

/** Pods in order of removal: unavailable ones first, then those of other revisions. */
const byRemovalOrder = (pods: readonly Pod[], revision: number): Pod[] =>
  [...pods].sort(
    (a, b) =>
      Number(a.state === 'available') - Number(b.state === 'available') ||
      Number(a.revision === revision) - Number(b.revision === revision) ||
      (a.name < b.name ? -1 : 1),
  );

const progressOf = (target: Target, previous: Progress | null, available: number, now: Micros): Progress => {
  if (previous?.revision !== target.revision) return { revision: target.revision, most: available, at: now };
  // The progress deadline doesn't run while the rollout is paused.
  if (available > previous.most || target.paused)
    return { ...previous, most: Math.max(previous.most, available), at: now };
  return previous;
};

/** The next step of a rollout; `now` is wall-clock time. */
export const nextStep = (
  target: Target,
  pods: readonly Pod[],
  previous: Progress | null,
  now: Micros,
): Step => {
  const remaining = pods.filter((p) => p.state !== 'leaving');
  const current = remaining.filter((p) => p.revision === target.revision);
  const outdated = remaining.filter((p) => p.revision !== target.revision);
  const available = remaining.filter((p) => p.state === 'available');
  const ready = current.filter((p) => p.state === 'available').length;
  const progress = progressOf(target, previous, ready, now);
  const complete = outdated.length === 0 && ready === target.replicas && current.length === target.replicas;
  const stalled = !complete && !target.paused && now >= progress.at + target.progressDeadlineUs;

  // Withdrawals: excess pods, then those that the rollout replaces.
  const unavailable = target.rolling?.unavailable ?? target.replicas;
  let spareAvailable = available.length - Math.max(0, target.replicas - unavailable);
  const withdraw: string[] = [];
  const withdrawIfAllowed = (pod: Pod): void => {
    // A pod that may not be stored yet can't be withdrawn: its creation is repeated until the outcome is known.
    if (pod.state === 'creating' || (pod.state === 'available' && spareAvailable <= 0)) return;
    if (pod.state === 'available') spareAvailable--;
    withdraw.push(pod.name);
  };
  let excess = remaining.length - target.replicas - (target.rolling?.surge ?? 0);
  if (target.paused || stalled) {
    // Only pods beyond the requested number.
    excess = remaining.length - target.replicas - (stalled ? (target.rolling?.surge ?? 0) : 0);
    for (const pod of byRemovalOrder(remaining, target.revision)) if (excess-- > 0) withdrawIfAllowed(pod);
  } else {
    for (const pod of byRemovalOrder(outdated, target.revision)) withdrawIfAllowed(pod);
    let surplus = current.length - target.replicas;
    for (const pod of byRemovalOrder(current, target.revision)) if (surplus-- > 0) withdrawIfAllowed(pod);
  }

  // Creations: the missing pods, up to the maximum number of pods.
  const maxPods = target.replicas + (target.rolling?.surge ?? 0);
  const room = maxPods - pods.length;
  const blocked = target.rolling === null && pods.some((p) => p.revision !== target.revision);
  const missing = target.paused ? target.replicas - remaining.length : target.replicas - current.length;
  const create = blocked || stalled ? 0 : Math.max(0, Math.min(missing, room));
  return { create, withdraw, progress, stalled, complete };
};
