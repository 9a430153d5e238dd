/** Objects as clients see them: what was sent, the documented defaults, and what the server knows. */
import type { Json } from './api.js';
import type { KubeObject } from './view.js';

/** RFC 3339, whole seconds, as the API has it. */
const time = (us: number): string => new Date(us / 1000).toISOString().replace(/\.\d+Z$/, 'Z');

const conditionsOf = (o: KubeObject): Json[] => {
  const { result, ended, why } = o.record.status;
  if (result === null) return [];
  const at = time(ended ?? o.record.at);
  const type = result === 'complete' ? 'Complete' : 'Failed';
  return [
    {
      type,
      status: 'True',
      lastProbeTime: at,
      lastTransitionTime: at,
      ...(why === '' ? {} : { reason: why }),
    },
  ];
};

/** A Job: everything of its manifest, in its form. */
export const jobOf = (o: KubeObject): Json => {
  const { record, manifest, namespace, name } = o;
  const { status } = record;
  const spec = manifest['spec'] as Json;
  const completions = spec['completions'] ?? 1;
  return {
    ...manifest,
    metadata: {
      ...(manifest['metadata'] as Json),
      name,
      namespace,
      uid: record.uid,
      resourceVersion: String(o.version),
      generation: 1,
      creationTimestamp: time(record.at),
      ...(record.deleting === null
        ? {}
        : { deletionTimestamp: time(record.deleting), deletionGracePeriodSeconds: 0 }),
    },
    spec: {
      completionMode: 'NonIndexed',
      suspend: false,
      ...spec,
      completions,
      parallelism: spec['parallelism'] ?? 1,
    },
    status: {
      ...(status.active > 0 ? { active: status.active } : {}),
      ...(status.done > 0 ? { succeeded: status.done } : {}),
      ...(status.began === null ? {} : { startTime: time(status.began) }),
      ...(status.ended === null || status.result !== 'complete'
        ? {}
        : { completionTime: time(status.ended) }),
      conditions: conditionsOf(o),
    },
  };
};

export const labelsOf = (o: KubeObject): Readonly<Record<string, string>> =>
  ((o.manifest['metadata'] as Json)['labels'] ?? {}) as Record<string, string>;
