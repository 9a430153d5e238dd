/** Entry point of the bundle that the program loads if the Kubernetes API is enabled or a `kube` command is called. */
import { randomBytes } from 'node:crypto';

import type { Team } from '@shaleyoke/core/domain/settings';
import type { Feature, RequestFeature } from '@shaleyoke/core/feature-api';

import type { KubeAnswer } from './api.js';
import { KUBE_FEATURE, type KubeAsk } from './endpoint.js';
import { KubernetesFeature } from './feature.js';
import { listen } from './server.js';
import { parseKubeSettings } from './settings.js';

export { register, type Host } from './commands.js';
export { KubeSettingsError } from './settings.js';

/**
 * Parses the settings file (`fileName` is for messages) and creates feature and listener. Throws `KubeSettingsError`.
 */
export const createKubernetesPlugin = (
  yaml: string,
  teams: readonly Team[],
  fileName: string,
): { feature: Feature; listener: (ask: RequestFeature) => Promise<{ readonly close: () => void }> } => {
  const settings = parseKubeSettings(yaml, teams, fileName);
  return {
    feature: new KubernetesFeature(() => randomBytes(16), settings),
    listener: (ask) =>
      listen(settings, (body: KubeAsk, onAnswer) =>
        ask(KUBE_FEATURE, body, (answer, last) => {
          onAnswer(answer as KubeAnswer, last);
        }),
      ),
  };
};
