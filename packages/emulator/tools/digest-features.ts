/** Budgets, and clients of the Kubernetes API, for the histories that `digest.ts` simulates. */
import { Budgets } from '@shaleyoke/budgets/feature';
import { parseBudgets } from '@shaleyoke/budgets/settings';
import type { Team } from '@shaleyoke/core/domain/settings';
import type { KubeAnswer } from '@shaleyoke/kubernetes/api';
import { KUBE_FEATURE } from '@shaleyoke/kubernetes/endpoint';
import { KubernetesFeature } from '@shaleyoke/kubernetes/feature';
import { parseKubeSettings } from '@shaleyoke/kubernetes/settings';
import { newToken, tokenKey } from '@shaleyoke/kubernetes/tokens';
import { decodeRequest, encodeResponse, encodeWatchLine } from '@shaleyoke/kubernetes/wire';

import type { ClusterSimulation } from '../src/cluster-simulation.js';
import {
  type FeatureClient,
  type HistoryFeatures,
  type HistoryPlan,
  NO_FEATURES,
} from '../src/digest/generated-history.js';
import type { Random } from '../src/random.js';

const TEAMS: Team[] = ['t', 'u'].map((name) => ({
  name,
  guaranteedCores: 0,
  maxCores: 0,
  guaranteedGpus: 0,
  maxGpus: 0,
}));
const BUDGET_SETTINGS = parseBudgets(
  'version: 1\ncurrency: EUR\nzone: Europe/Warsaw\nowners:\n  u: { soft: 0.02, hard: 0.06 }\n',
  TEAMS,
  'budgets.yaml',
);
const KUBERNETES_SETTINGS = parseKubeSettings(
  'version: 1\nlisten: 127.0.0.1:6443\nstatus_changes_per_s: 5\ntenants:\n  maps: { namespaces: { maps: t } }\n',
  TEAMS,
  'kube.yaml',
);
const bytes = (length: number): Uint8Array => new Uint8Array(length).fill(1);
const TOKEN = newToken(bytes(4), bytes(32), bytes(16), { tenant: 'maps', at: 0, by: 'test', why: 'test' });
const JOBS_PATH = '/apis/batch/v1/namespaces/maps/jobs';
const JOB_NAME_COUNT = 6;

const manifest = (name: string, tasks: number): string =>
  JSON.stringify({
    apiVersion: 'batch/v1',
    kind: 'Job',
    metadata: { name, labels: { app: 'x' }, annotations: { 'shaleyoke/estimate': '5' } },
    spec: {
      completions: tasks,
      parallelism: tasks,
      template: {
        spec: {
          restartPolicy: 'Never',
          containers: [{ name: 'm', image: 'img', resources: { requests: { cpu: 1, memory: '1G' } } }],
        },
      },
    },
  });

/** Generates the method, path and body of a random request. */
const generateRequest = (random: Random): readonly [method: string, url: string, body: string] => {
  const name = `job-${random.below(JOB_NAME_COUNT)}`;
  const choice = random.below(6);
  if (choice <= 1) return ['POST', JOBS_PATH, manifest(name, 1 + random.below(4))];
  if (choice === 2) return ['GET', `${JOBS_PATH}/${name}`, ''];
  if (choice === 3) return ['GET', `${JOBS_PATH}?limit=3`, ''];
  if (choice === 4) return ['GET', `${JOBS_PATH}?watch=true&allowWatchBookmarks=true`, ''];
  return ['DELETE', `${JOBS_PATH}/${name}`, ''];
};

/** Creates, reads, lists, watches and deletes Jobs through any node. */
const kubernetesClient: FeatureClient = {
  prepare: (world) => {
    world.put(tokenKey(TOKEN.id), TOKEN.record);
  },
  sendRequests: (world: ClusterSimulation, random: Random) => {
    if (!random.chance(0.5)) return;
    const [method, url, body] = generateRequest(random);
    const request = decodeRequest({ method, url, contentType: 'application/json', body });
    if ('kind' in request) throw new Error(`${method} ${url}: ${request.message}`);
    const client = { token: TOKEN.token, address: '10.1.2.3' };
    world.askFeature(random.below(3), KUBE_FEATURE, { credentials: client, request }, () => undefined);
  },
};

const encodeKubernetesAnswer = (answer: KubeAnswer, last: boolean): string =>
  answer.kind === 'event'
    ? `${encodeWatchLine(answer)} ${last}`
    : `${JSON.stringify(encodeResponse(answer))} ${last}`;

/** The features and clients that a plan enables. */
export const featuresOf = (plan: HistoryPlan): HistoryFeatures => {
  if (!plan.budgets && !plan.kubernetes) return NO_FEATURES;
  return {
    features: (random) => [
      ...(plan.budgets ? [new Budgets(BUDGET_SETTINGS)] : []),
      ...(plan.kubernetes
        ? [
            new KubernetesFeature(
              () => Uint8Array.from({ length: 16 }, () => random.below(256)),
              KUBERNETES_SETTINGS,
            ),
          ]
        : []),
    ],
    clients: plan.kubernetes ? [kubernetesClient] : [],
    encodeAnswer: (_feature, answer, last) => encodeKubernetesAnswer(answer as KubeAnswer, last),
  };
};
