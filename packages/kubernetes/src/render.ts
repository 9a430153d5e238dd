/** Renders objects for clients: the manifest as sent, documented defaults, and the fields that the server sets. */
import type { Json } from './api.js';
import type { KubeObject } from './object-cache.js';

/** RFC 3339 in whole seconds, as the Kubernetes API uses it. */
const formatTime = (us: number): string => new Date(us / 1000).toISOString().replace(/\.\d+Z$/, 'Z');

const conditionsOf = (object: KubeObject): Json[] => {
  const { result, ended, why } = object.record.status;
  if (result === null) return [];
  const at = formatTime(ended ?? object.record.at);
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

/** A Job in its API form. */
export const jobOf = (object: KubeObject): Json => {
  const { record, manifest, namespace, name } = object;
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
      resourceVersion: String(object.version),
      generation: 1,
      creationTimestamp: formatTime(record.at),
      ...(record.deleting === null
        ? {}
        : { deletionTimestamp: formatTime(record.deleting), deletionGracePeriodSeconds: 0 }),
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
      ...(status.began === null ? {} : { startTime: formatTime(status.began) }),
      ...(status.ended === null || status.result !== 'complete'
        ? {}
        : { completionTime: formatTime(status.ended) }),
      conditions: conditionsOf(object),
    },
  };
};

/** Labels of an object; empty if the manifest has none. */
export const labelsOf = (object: KubeObject): Readonly<Record<string, string>> =>
  ((object.manifest['metadata'] as Json)['labels'] ?? {}) as Record<string, string>;
