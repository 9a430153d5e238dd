/** The front as a feature of the core: its part on each node, and its part in the leader's term. */
import type { Feature, FeatureEndpoint, FeatureTerm, NodeServices } from '@shaleyoke/core/feature-api';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';

import { FEATURE, Front } from './front.js';
import { Keeper } from './keeper.js';
import type { KubeSettings } from './settings.js';

export class Kube implements Feature {
  readonly name = FEATURE;
  private front: Front | null = null;
  private links: NodeServices | null = null;

  /** `random`: 16 bytes that nobody can guess, for each call. */
  constructor(
    private readonly random: () => Uint8Array,
    private readonly settings: KubeSettings,
  ) {}

  serve(links: NodeServices): FeatureEndpoint {
    this.links = links;
    this.front = new Front(links, this.random, this.settings.tenants);
    return this.front;
  }

  begin(term: LeaderTerm): FeatureTerm {
    if (this.front === null || this.links === null) throw new Error('begin comes after serve');
    return new Keeper(term, this.links, this.front.follow, this.settings.statusChangesPerS);
  }
}
