/** The Kubernetes API as a feature of the core: an endpoint on each node, and a controller in the leader's term. */
import type { Feature, FeatureEndpoint, FeatureTerm, NodeServices } from '@shaleyoke/core/feature-api';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';

import { KUBE_FEATURE, KubeEndpoint } from './endpoint.js';
import { JobController } from './job-controller.js';
import type { KubeSettings } from './settings.js';

/** Creates the endpoint of a node and the controller of a leader's term. */
export class KubernetesFeature implements Feature {
  readonly name = KUBE_FEATURE;
  private endpoint: KubeEndpoint | null = null;
  private services: NodeServices | null = null;

  /** `random` returns 16 cryptographically random bytes per call. */
  constructor(
    private readonly random: () => Uint8Array,
    private readonly settings: KubeSettings,
  ) {}

  /** Starts the node's endpoint; the core calls it once, before `begin`. */
  createEndpoint(services: NodeServices): FeatureEndpoint {
    this.services = services;
    this.endpoint = new KubeEndpoint(services, this.random, this.settings.tenants);
    return this.endpoint;
  }

  /** Starts the controller of a leader's term on this node. */
  beginTerm(term: LeaderTerm): FeatureTerm {
    if (this.endpoint === null || this.services === null)
      throw new Error('serve() must be called before begin()');
    return new JobController(term, this.services, this.endpoint.cacheSync, this.settings.statusChangesPerS);
  }
}
