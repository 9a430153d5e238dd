/** Reasons why common Kubernetes fields are refused. Any other unknown field is refused with a general message. */

const IN_IMAGE =
  'what runs is in the image, and workers fetch its description themselves; build it into the image';
const STORAGE = 'pods have no storage here; write to where the image does by itself';
const PLACEMENT =
  'say where pods may run with nodeSelector, tolerations and the annotations shaleyoke/same-zone and shaleyoke/spread';
const RETRY = 'a failed pod is started again, on other machines, until the Job is deleted; leave it out';
const ISOLATION = 'machines are shared by the scheduler alone; leave it out';
const SERVER = 'is set by the server; leave it out';
const PROBES = 'a pod counts as available once it runs; leave it out';

const POD = 'spec.template.spec';
const CONTAINER = `${POD}.containers[]`;

/** Reasons by field path, without list indexes. */
export const UNSUPPORTED_FIELDS: ReadonlyMap<string, string> = new Map([
  ...['command', 'args', 'env', 'envFrom', 'workingDir', 'ports', 'stdin', 'tty'].map(
    (f) => [`${CONTAINER}.${f}`, IN_IMAGE] as const,
  ),
  ...['livenessProbe', 'readinessProbe', 'startupProbe', 'lifecycle'].map(
    (f) => [`${CONTAINER}.${f}`, PROBES] as const,
  ),
  ...['volumeMounts', 'volumeDevices'].map((f) => [`${CONTAINER}.${f}`, STORAGE] as const),
  [`${POD}.containers[]`, 'a pod is one container'],
  [`${CONTAINER}.securityContext`, ISOLATION],
  [`${CONTAINER}.resources.claims`, 'ask for cpu, memory and nvidia.com/gpu'],
  [`${CONTAINER}.resources.requests.ephemeral-storage`, STORAGE],
  [`${CONTAINER}.resources.limits.ephemeral-storage`, STORAGE],
  [`${POD}.volumes`, STORAGE],
  ...['initContainers', 'ephemeralContainers'].map((f) => [`${POD}.${f}`, 'a pod is one container'] as const),
  ...['affinity', 'topologySpreadConstraints', 'nodeName', 'schedulerName', 'schedulingGates'].map(
    (f) => [`${POD}.${f}`, PLACEMENT] as const,
  ),
  ...['hostNetwork', 'hostPID', 'hostIPC', 'securityContext', 'runtimeClassName', 'os'].map(
    (f) => [`${POD}.${f}`, ISOLATION] as const,
  ),
  ...['serviceAccountName', 'serviceAccount', 'automountServiceAccountToken', 'imagePullSecrets'].map(
    (f) => [`${POD}.${f}`, 'pods get no credentials from here; leave it out'] as const,
  ),
  [`${POD}.priority`, 'say priorityClassName: critical, urgent, normal or best-effort'],
  [`${POD}.preemptionPolicy`, 'what a priority may stop is the same for all; leave it out'],
  [`${POD}.terminationGracePeriodSeconds`, 'say shaleyoke/save-time, the time that a pod needs to save'],
  [`${POD}.activeDeadlineSeconds`, 'say spec.activeDeadlineSeconds, for the whole Job'],
  ['spec.backoffLimit', RETRY],
  ['spec.backoffLimitPerIndex', RETRY],
  ['spec.maxFailedIndexes', RETRY],
  ['spec.podFailurePolicy', RETRY],
  ['spec.successPolicy', 'a Job is complete once all its pods are; leave it out'],
  ['spec.podReplacementPolicy', 'a pod is replaced once the one before is surely gone; leave it out'],
  ['spec.selector.matchExpressions', 'say matchLabels'],
  ['spec.manualSelector', 'pods belong to their Job by its uid; leave it out'],
  ['spec.managedBy', 'Jobs are managed here alone; leave it out'],
  ['spec.minReadySeconds', PROBES],
  ['spec.revisionHistoryLimit', 'the template before is kept for a rollback, and no older one; leave it out'],
  ...['uid', 'resourceVersion', 'generation', 'selfLink', 'managedFields', 'deletionTimestamp'].map(
    (f) => [`metadata.${f}`, SERVER] as const,
  ),
  ['metadata.generateName', 'say name: a create that is repeated must be known as the same'],
  ['metadata.ownerReferences', 'objects have no owners here; leave it out'],
  ['metadata.finalizers', 'deletion waits for nobody here; leave it out'],
]);
