/** Maps a manifest to the scheduler's terms, or lists all reasons why it is refused. Pure functions. */
import type { JobSpec, Priority } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { Either, Schema } from 'effect';

import { type CauseReason, type FieldPath, type Problem, problemsOf } from './problems.js';
import { formatQuantity, type Nano, parseQuantity, toNumber } from './quantity.js';
import {
  ANNOTATION_PREFIX,
  type AnnotationName,
  Deployment,
  GPU_RESOURCE,
  INSTANCE_TYPE_LABEL,
  isLabel,
  Job,
  JOB_ONLY_ANNOTATIONS,
  ZONE_LABEL,
} from './subset.js';

/** A job specification without its id, team and dependencies, which are known only when it is created. */
export type WorkSpec = Omit<JobSpec, 'id' | 'team' | 'dependsOn'>;

/** A Job in the scheduler's terms. */
export interface MappedJob {
  readonly kind: 'Job';
  readonly manifest: Job;
  readonly work: WorkSpec;
  /** Names of the Jobs of the same namespace that it depends on. */
  readonly awaits: readonly string[];
  readonly suspend: boolean;
  readonly activeDeadlineUs: Micros | null;
  readonly ttlUs: Micros | null;
}

/** A Deployment in the scheduler's terms. */
export interface MappedDeployment {
  readonly kind: 'Deployment';
  readonly manifest: Deployment;
  /** Specification of each pod, a service of one task. */
  readonly work: WorkSpec;
  readonly replicas: number;
  /** Allowed pods above and below `replicas` during a rollout; null: all old pods are removed first (Recreate). */
  readonly rolling: { readonly surge: number; readonly unavailable: number } | null;
  readonly progressDeadlineUs: Micros;
  readonly paused: boolean;
}

/** A valid manifest of any served kind. */
export type MappedManifest = MappedJob | MappedDeployment;

const PRIORITIES: Readonly<Record<string, Priority>> = {
  critical: 3,
  urgent: 2,
  normal: 1,
  'best-effort': 0,
};
const GIGABYTE = 1_000_000_000n;
const NANOS_PER_UNIT = 1_000_000_000n;
const NANOS_PER_MICRO = 1_000n;
const DEFAULT_PROGRESS_DEADLINE_S = 600;
const DEFAULT_PERCENTAGE = '25%';
/** Maximum number of dependencies of a Job. */
const MAX_AWAITED_JOBS = 50;

/** Collects problems, so that one refusal reports all of them. */
class Findings {
  readonly problems: Problem[] = [];

  add(path: FieldPath, message: string, reason: CauseReason = 'FieldValueInvalid'): void {
    this.problems.push({ path, reason, message });
  }
}

const POD: FieldPath = ['spec', 'template', 'spec'];
const CONTAINER: FieldPath = [...POD, 'containers', 0];
const RESOURCES: FieldPath = [...CONTAINER, 'resources'];
const ANNOTATIONS: FieldPath = ['metadata', 'annotations'];

type PodSpec = Job['spec']['template']['spec'] | Deployment['spec']['template']['spec'];
type Annotations = NonNullable<Job['metadata']['annotations']>;

const annotationOf = (annotations: Annotations | undefined, name: AnnotationName): string | undefined => {
  const value = annotations?.[`${ANNOTATION_PREFIX}${name}`];
  return value === undefined ? undefined : `${value}`;
};
const isFlagSet = (annotations: Annotations | undefined, name: AnnotationName): boolean =>
  annotationOf(annotations, name) === 'true';

/** Converts seconds in decimal text to microseconds, without rounding above one microsecond. */
const toMicros = (text: string | undefined): Micros =>
  text === undefined ? 0 : Number((parseQuantity(text) ?? 0n) / NANOS_PER_MICRO);

const splitList = (text: string | undefined): string[] =>
  text === undefined
    ? []
    : text
        .split(',')
        .map((x) => x.trim())
        .filter((x) => x !== '');

/** An image's name without tag and digest. It is the default job class: jobs of one image have similar run times. */
const repositoryOf = (image: string): string => {
  const plain = image.split('@')[0]!;
  const cut = plain.lastIndexOf(':');
  return cut > plain.lastIndexOf('/') ? plain.slice(0, cut) : plain;
};

/**
 * The requested amount of a resource. A limit counts as the request where that is missing, and must equal it otherwise.
 */
const resourceAmount = (
  pod: PodSpec,
  name: 'cpu' | 'memory' | typeof GPU_RESOURCE,
  required: boolean,
  findings: Findings,
): Nano => {
  const { requests, limits } = pod.containers[0].resources;
  const request = requests?.[name];
  const limit = limits?.[name];
  const effective = request ?? limit;
  if (effective === undefined) {
    if (required)
      findings.add(
        [...RESOURCES, 'requests', name],
        'is required: nothing is taken of a machine without it',
        'FieldValueRequired',
      );
    return 0n;
  }
  const amount = parseQuantity(String(effective)) ?? 0n;
  if (request !== undefined && limit !== undefined && parseQuantity(String(limit)) !== amount)
    findings.add(
      [...RESOURCES, 'limits', name],
      `must equal the request, ${formatQuantity(amount)}: a pod has what it asks for, not more and not less`,
    );
  return amount;
};

const mapWork = (
  pod: PodSpec,
  annotations: Annotations | undefined,
  shape: JobSpec['shape'],
  tasks: number,
  findings: Findings,
): WorkSpec => {
  const container = pod.containers[0];
  const cpu = resourceAmount(pod, 'cpu', true, findings);
  const memory = resourceAmount(pod, 'memory', true, findings);
  const gpus = resourceAmount(pod, GPU_RESOURCE, false, findings);
  if (cpu === 0n && container.resources.requests?.cpu !== undefined)
    findings.add([...RESOURCES, 'requests', 'cpu'], 'must be above 0');
  if (gpus % NANOS_PER_UNIT !== 0n)
    findings.add([...RESOURCES, 'requests', GPU_RESOURCE], 'must be a whole number');
  const types = splitList(annotationOf(annotations, 'instance-types'));
  const selected = pod.nodeSelector?.[INSTANCE_TYPE_LABEL];
  if (types.length > 0 && selected !== undefined)
    findings.add(
      [...ANNOTATIONS, `${ANNOTATION_PREFIX}instance-types`],
      `says the same as nodeSelector[${INSTANCE_TYPE_LABEL}]; keep one of them`,
    );
  const allowed = selected !== undefined ? [selected] : types;
  const checkpointInterval = toMicros(annotationOf(annotations, 'checkpoint-interval'));
  const checkpointDuration = toMicros(annotationOf(annotations, 'save-time'));
  if (checkpointInterval === 0 && checkpointDuration > 0)
    findings.add(
      [...ANNOTATIONS, `${ANNOTATION_PREFIX}save-time`],
      'says how long saving takes, but nothing is saved without checkpoint-interval',
    );
  return {
    class: annotationOf(annotations, 'class') ?? repositoryOf(container.image),
    shape,
    priority: PRIORITIES[pod.priorityClassName ?? 'normal']!,
    tasks,
    cores: toNumber(cpu),
    gpus: toNumber(gpus),
    memoryGb: toNumber(memory, GIGABYTE),
    image: container.image,
    imageGb: toNumber(parseQuantity(annotationOf(annotations, 'image-size') ?? '0') ?? 0n, GIGABYTE),
    machineTypes: allowed.length === 0 ? null : allowed,
    zone: pod.nodeSelector?.[ZONE_LABEL] ?? null,
    sameZone: isFlagSet(annotations, 'same-zone'),
    spreadAcrossZones: isFlagSet(annotations, 'spread'),
    spot: pod.tolerations !== undefined && pod.tolerations.length > 0,
    estimatedRunUs: toMicros(annotationOf(annotations, 'estimate')),
    checkpointIntervalUs: checkpointInterval,
    checkpointDurationUs: checkpointDuration,
    deadlineUs:
      annotationOf(annotations, 'due') === undefined ? null : toMicros(annotationOf(annotations, 'due')),
  };
};

const mapJob = (manifest: Job, findings: Findings): MappedJob => {
  const { spec, metadata } = manifest;
  const annotations = metadata.annotations;
  const tasks = spec.completions ?? 1;
  const parallelism = spec.parallelism ?? 1;
  if (spec.completions === undefined && parallelism > 1)
    findings.add(
      ['spec', 'completions'],
      'is required where parallelism is above 1: pods share no queue here',
      'FieldValueRequired',
    );
  else if (parallelism < tasks)
    findings.add(
      ['spec', 'parallelism'],
      `must be ${tasks}, as completions${spec.parallelism === undefined ? ' (1 if it is missing)' : ''}: pods start as there is room, not so many at a time`,
    );
  if (spec.completionMode === 'Indexed' && spec.completions === undefined)
    findings.add(['spec', 'completions'], 'is required for Indexed', 'FieldValueRequired');
  if (isFlagSet(annotations, 'same-zone') && isFlagSet(annotations, 'spread') && tasks > 1)
    findings.add([...ANNOTATIONS, `${ANNOTATION_PREFIX}spread`], 'contradicts same-zone');
  const awaits = [...new Set(splitList(annotationOf(annotations, 'awaits')))];
  for (const name of awaits) {
    if (!isLabel(name))
      findings.add(
        [...ANNOTATIONS, `${ANNOTATION_PREFIX}awaits`],
        `${JSON.stringify(name)} is not the name of a Job`,
      );
    if (name === metadata.name)
      findings.add([...ANNOTATIONS, `${ANNOTATION_PREFIX}awaits`], 'names the Job itself');
  }
  if (awaits.length > MAX_AWAITED_JOBS)
    findings.add(
      [...ANNOTATIONS, `${ANNOTATION_PREFIX}awaits`],
      `names ${awaits.length} Jobs; ${MAX_AWAITED_JOBS} at most`,
    );
  return {
    kind: 'Job',
    manifest,
    work: mapWork(
      spec.template.spec,
      annotations,
      isFlagSet(annotations, 'gang') ? 'gang' : 'array',
      tasks,
      findings,
    ),
    awaits,
    suspend: spec.suspend ?? false,
    activeDeadlineUs:
      spec.activeDeadlineSeconds === undefined ? null : spec.activeDeadlineSeconds * 1_000_000,
    ttlUs: spec.ttlSecondsAfterFinished === undefined ? null : spec.ttlSecondsAfterFinished * 1_000_000,
  };
};

/** Number of pods for a count or a percentage of `replicas`, which is rounded up or down. */
const podCount = (value: number | string, replicas: number, up: boolean): number => {
  if (typeof value === 'number') return value;
  const hundredths = Number(value.slice(0, -1)) * replicas;
  return up ? Math.ceil(hundredths / 100) : Math.floor(hundredths / 100);
};

const mapDeployment = (manifest: Deployment, findings: Findings): MappedDeployment => {
  const { spec, metadata } = manifest;
  const annotations = metadata.annotations;
  for (const name of JOB_ONLY_ANNOTATIONS)
    if (annotationOf(annotations, name) !== undefined)
      findings.add([...ANNOTATIONS, ANNOTATION_PREFIX + name], 'is for Jobs only', 'FieldValueForbidden');
  const labels = spec.template.metadata.labels ?? {};
  const required = Object.entries(spec.selector.matchLabels);
  if (required.length === 0) findings.add(['spec', 'selector', 'matchLabels'], 'must name a label at least');
  for (const [key, value] of required)
    if (labels[key] !== value)
      findings.add(
        ['spec', 'template', 'metadata', 'labels'],
        `must have ${key}: ${value}, as selector.matchLabels says`,
      );
  const replicas = spec.replicas ?? 1;
  const recreate = spec.strategy?.type === 'Recreate';
  const rolling = spec.strategy?.rollingUpdate;
  if (recreate && rolling !== undefined)
    findings.add(['spec', 'strategy', 'rollingUpdate'], 'is not for Recreate', 'FieldValueForbidden');
  const surge = podCount(rolling?.maxSurge ?? DEFAULT_PERCENTAGE, replicas, true);
  const unavailable = podCount(rolling?.maxUnavailable ?? DEFAULT_PERCENTAGE, replicas, false);
  const isZero = (v: number | string | undefined): boolean => v === 0 || v === '0%';
  if (isZero(rolling?.maxSurge) && isZero(rolling?.maxUnavailable))
    findings.add(
      ['spec', 'strategy', 'rollingUpdate', 'maxUnavailable'],
      'must not be 0 where maxSurge is 0: nothing could ever move',
    );
  return {
    kind: 'Deployment',
    manifest,
    work: mapWork(spec.template.spec, annotations, 'service', 1, findings),
    replicas,
    // If both percentages round to 0, one pod may be unavailable, as in the Kubernetes API.
    rolling: recreate ? null : { surge, unavailable: surge === 0 && unavailable === 0 ? 1 : unavailable },
    progressDeadlineUs: (spec.progressDeadlineSeconds ?? DEFAULT_PROGRESS_DEADLINE_S) * 1_000_000,
    paused: spec.paused ?? false,
  };
};

const OPTIONS = { errors: 'all', onExcessProperty: 'error' } as const;
const decodeJob = Schema.decodeUnknownEither(Job, OPTIONS);
const decodeDeployment = Schema.decodeUnknownEither(Deployment, OPTIONS);

const mapDecoded = <M extends MappedManifest, A>(
  decoded: Either.Either<A, Parameters<typeof problemsOf>[0]>,
  map: (manifest: A, findings: Findings) => M,
): Either.Either<M, readonly Problem[]> => {
  if (Either.isLeft(decoded)) return Either.left(problemsOf(decoded.left));
  const findings = new Findings();
  const mapped = map(decoded.right, findings);
  return findings.problems.length > 0 ? Either.left(findings.problems) : Either.right(mapped);
};

/** Validates and maps a parsed manifest. Left: a problem for each wrong field. */
export const mapManifest = (value: unknown): Either.Either<MappedManifest, readonly Problem[]> => {
  const failure = (
    path: FieldPath,
    message: string,
    reason: CauseReason,
  ): Either.Either<MappedManifest, readonly Problem[]> => Either.left([{ path, reason, message }]);
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    return failure([], 'is no object', 'FieldValueInvalid');
  const { apiVersion, kind } = value as Record<string, unknown>;
  if (kind === 'Job' && apiVersion === 'batch/v1') return mapDecoded(decodeJob(value), mapJob);
  if (kind === 'Deployment' && apiVersion === 'apps/v1')
    return mapDecoded(decodeDeployment(value), mapDeployment);
  return failure(
    ['kind'],
    `${JSON.stringify(apiVersion ?? null)} ${JSON.stringify(kind ?? null)} is not served here; those are batch/v1 Job and apps/v1 Deployment`,
    'FieldValueNotSupported',
  );
};
