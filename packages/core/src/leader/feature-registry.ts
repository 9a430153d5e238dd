/** The features that are switched on, within one leader's term. */
import type { AdmissionHold } from '../cluster/admission-hold.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { ReportedTask } from '../domain/heartbeat.js';
import type { DependencyLinks, Feature, FeatureTerm } from '../feature-api.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

interface RegisteredFeature {
  readonly name: string;
  readonly term: FeatureTerm;
}

/** Calls all features. A mistake in one of them is logged, and keeps neither the others nor the core from going on. */
export class FeatureRegistry {
  private readonly registered: readonly RegisteredFeature[];

  constructor(
    private readonly term: LeaderTerm,
    features: readonly Feature[],
    dependencies: DependencyLinks,
  ) {
    this.registered = features.map((feature) => ({
      name: feature.name,
      term: feature.begin(term, dependencies),
    }));
  }

  /** Whether no feature is switched on. */
  get isEmpty(): boolean {
    return this.registered.length === 0;
  }

  /** Notifies every feature, in the order in which they were switched on. */
  notify(event: (feature: FeatureTerm) => void): void {
    for (const { name, term } of this.registered)
      this.term.context.guard(name, () => {
        event(term);
      });
  }

  /** The first reason why a job may not begin now. A feature that fails to answer holds nothing back. */
  admissionHold(job: ActiveJob): AdmissionHold | null {
    let hold: AdmissionHold | null = null;
    this.notify((feature) => {
      hold ??= feature.admissionHold(job);
    });
    return hold;
  }

  /** Whether any feature has yet to record that an attempt was done. */
  retainsResult(exit: ReportedTask): boolean {
    let retained = false;
    this.notify((feature) => {
      retained ||= feature.retainsResult(exit);
    });
    return retained;
  }
}
