/** The enabled features within one leader's term. */
import type { AdmissionHold } from '../cluster/admission-hold.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { ReportedTask } from '../domain/heartbeat.js';
import type { DependencyLinks, Feature, FeatureTerm } from '../feature-api.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

interface RegisteredFeature {
  readonly name: string;
  readonly term: FeatureTerm;
}

/** Calls all enabled features. An exception in one of them is logged and affects neither the others nor the core. */
export class FeatureRegistry {
  private readonly registered: readonly RegisteredFeature[];

  constructor(
    private readonly term: LeaderTerm,
    features: readonly Feature[],
    dependencies: DependencyLinks,
  ) {
    this.registered = features.map((feature) => ({
      name: feature.name,
      term: feature.beginTerm(term, dependencies),
    }));
  }

  /** Whether no feature is enabled. */
  get isEmpty(): boolean {
    return this.registered.length === 0;
  }

  /** Notifies every feature, in the order in which they were passed to the core. */
  notify(event: (feature: FeatureTerm) => void): void {
    for (const { name, term } of this.registered)
      this.term.context.runGuarded(name, () => {
        event(term);
      });
  }

  /** The first hold that any feature requests for a job. A feature that throws requests none. */
  admissionHold(job: ActiveJob): AdmissionHold | null {
    let hold: AdmissionHold | null = null;
    this.notify((feature) => {
      hold ??= feature.admissionHold(job);
    });
    return hold;
  }

  /** Whether any feature needs workers to retain the result of a completed attempt. */
  retainsResult(exit: ReportedTask): boolean {
    let retained = false;
    this.notify((feature) => {
      retained ||= feature.retainsResult(exit);
    });
    return retained;
  }
}
