/** What a manifest becomes in the scheduler's own terms, or each reason why it can't. Decides only. */
import type { JobSpec, Priority } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { Either, Schema } from 'effect';

import { type Path, type Problem, problemsOf, type Reason } from './problems.js';
import { formatQuantity, type Nano, parseQuantity, toNumber } from './quantity.js';
import { Deployment, GPU, isLabel, Job, JOB_ONLY, type OurAnnotation, PREFIX, TYPE, ZONE } from './subset.js';

/** All of a native job but its id, its team and the ids of the jobs that it awaits. */
export type Work = Omit<JobSpec, 'id' | 'team' | 'dependsOn'>;

export interface MappedJob {
  readonly kind: 'Job';
  readonly manifest: Job;
  readonly work: Work;
  /** Names of Jobs of the same namespace. */
  readonly awaits: readonly string[];
  readonly suspend: boolean;
  readonly activeDeadlineUs: Micros | null;
  readonly ttlUs: Micros | null;
}

export interface MappedDeployment {
  readonly kind: 'Deployment';
  readonly manifest: Deployment;
  /** Of each pod: a service of one task. */
  readonly work: Work;
  readonly replicas: number;
  /** Pods above and below `replicas`, at any moment of a rollout; null: all old pods go first. */
  readonly rolling: { readonly surge: number; readonly unavailable: number } | null;
  readonly progressDeadlineUs: Micros;
  readonly paused: boolean;
}

export type Mapped = MappedJob | MappedDeployment;

const PRIORITIES: Readonly<Record<string, Priority>> = {
  critical: 3,
  urgent: 2,
  normal: 1,
  'best-effort': 0,
};
const GB = 1_000_000_000n;
const NANO = 1_000_000_000n;
const MICRO = 1_000n;
const PROGRESS_S = 600;
const DEFAULT_SHARE = '25%';
/** Jobs that one may await. */
const MOST_AWAITED = 50;

/** Collects what is wrong, so that all of it is named at once. */
class Findings {
  readonly problems: Problem[] = [];

  add(path: Path, message: string, reason: Reason = 'FieldValueInvalid'): void {
    this.problems.push({ path, reason, message });
  }
}

const POD: Path = ['spec', 'template', 'spec'];
const CONTAINER: Path = [...POD, 'containers', 0];
const RESOURCES: Path = [...CONTAINER, 'resources'];
const NOTES: Path = ['metadata', 'annotations'];

type PodSpec = Job['spec']['template']['spec'] | Deployment['spec']['template']['spec'];
type Notes = NonNullable<Job['metadata']['annotations']>;

const note = (notes: Notes | undefined, name: OurAnnotation): string | undefined => {
  const value = notes?.[`${PREFIX}${name}`];
  return value === undefined ? undefined : `${value}`;
};
const flag = (notes: Notes | undefined, name: OurAnnotation): boolean => note(notes, name) === 'true';

/** Seconds as decimal text; exact to the microsecond. */
const micros = (text: string | undefined): Micros =>
  text === undefined ? 0 : Number((parseQuantity(text) ?? 0n) / MICRO);

const listOf = (text: string | undefined): string[] =>
  text === undefined
    ? []
    : text
        .split(',')
        .map((x) => x.trim())
        .filter((x) => x !== '');

/** An image's name without tag and digest: jobs of one image run alike. */
const repositoryOf = (image: string): string => {
  const plain = image.split('@')[0]!;
  const cut = plain.lastIndexOf(':');
  return cut > plain.lastIndexOf('/') ? plain.slice(0, cut) : plain;
};

/** Requests, which limits may stand for and must not contradict. */
const amountOf = (
  pod: PodSpec,
  name: 'cpu' | 'memory' | typeof GPU,
  required: boolean,
  f: Findings,
): Nano => {
  const { requests, limits } = pod.containers[0].resources;
  const request = requests?.[name];
  const limit = limits?.[name];
  const given = request ?? limit;
  if (given === undefined) {
    if (required)
      f.add(
        [...RESOURCES, 'requests', name],
        'is required: nothing is taken of a machine without it',
        'FieldValueRequired',
      );
    return 0n;
  }
  const amount = parseQuantity(String(given)) ?? 0n;
  if (request !== undefined && limit !== undefined && parseQuantity(String(limit)) !== amount)
    f.add(
      [...RESOURCES, 'limits', name],
      `must equal the request, ${formatQuantity(amount)}: a pod has what it asks for, not more and not less`,
    );
  return amount;
};

const workOf = (
  pod: PodSpec,
  notes: Notes | undefined,
  shape: JobSpec['shape'],
  tasks: number,
  f: Findings,
): Work => {
  const container = pod.containers[0];
  const cpu = amountOf(pod, 'cpu', true, f);
  const memory = amountOf(pod, 'memory', true, f);
  const gpus = amountOf(pod, GPU, false, f);
  if (cpu === 0n && container.resources.requests?.cpu !== undefined)
    f.add([...RESOURCES, 'requests', 'cpu'], 'must be above 0');
  if (gpus % NANO !== 0n) f.add([...RESOURCES, 'requests', GPU], 'must be a whole number');
  const types = listOf(note(notes, 'instance-types'));
  const selected = pod.nodeSelector?.[TYPE];
  if (types.length > 0 && selected !== undefined)
    f.add([...NOTES, `${PREFIX}instance-types`], `says the same as nodeSelector[${TYPE}]; keep one of them`);
  const allowed = selected !== undefined ? [selected] : types;
  const checkpoint = micros(note(notes, 'checkpoint-interval'));
  const save = micros(note(notes, 'save-time'));
  if (checkpoint === 0 && save > 0)
    f.add(
      [...NOTES, `${PREFIX}save-time`],
      'says how long saving takes, but nothing is saved without checkpoint-interval',
    );
  return {
    class: note(notes, 'class') ?? repositoryOf(container.image),
    shape,
    priority: PRIORITIES[pod.priorityClassName ?? 'normal']!,
    tasks,
    cores: toNumber(cpu),
    gpus: toNumber(gpus),
    memoryGb: toNumber(memory, GB),
    image: container.image,
    imageGb: toNumber(parseQuantity(note(notes, 'image-size') ?? '0') ?? 0n, GB),
    machineTypes: allowed.length === 0 ? null : allowed,
    zone: pod.nodeSelector?.[ZONE] ?? null,
    sameZone: flag(notes, 'same-zone'),
    spreadAcrossZones: flag(notes, 'spread'),
    spot: pod.tolerations !== undefined && pod.tolerations.length > 0,
    estimatedRunUs: micros(note(notes, 'estimate')),
    checkpointIntervalUs: checkpoint,
    checkpointDurationUs: save,
    deadlineUs: note(notes, 'due') === undefined ? null : micros(note(notes, 'due')),
  };
};

const mapJob = (manifest: Job, f: Findings): MappedJob => {
  const { spec, metadata } = manifest;
  const notes = metadata.annotations;
  const tasks = spec.completions ?? 1;
  const parallelism = spec.parallelism ?? 1;
  if (spec.completions === undefined && parallelism > 1)
    f.add(
      ['spec', 'completions'],
      'is required where parallelism is above 1: pods share no queue here',
      'FieldValueRequired',
    );
  else if (parallelism < tasks)
    f.add(
      ['spec', 'parallelism'],
      `must be ${tasks}, as completions${spec.parallelism === undefined ? ' (1 if it is missing)' : ''}: pods start as there is room, not so many at a time`,
    );
  if (spec.completionMode === 'Indexed' && spec.completions === undefined)
    f.add(['spec', 'completions'], 'is required for Indexed', 'FieldValueRequired');
  if (flag(notes, 'same-zone') && flag(notes, 'spread') && tasks > 1)
    f.add([...NOTES, `${PREFIX}spread`], 'contradicts same-zone');
  const awaits = [...new Set(listOf(note(notes, 'awaits')))];
  for (const name of awaits) {
    if (!isLabel(name))
      f.add([...NOTES, `${PREFIX}awaits`], `${JSON.stringify(name)} is not the name of a Job`);
    if (name === metadata.name) f.add([...NOTES, `${PREFIX}awaits`], 'names the Job itself');
  }
  if (awaits.length > MOST_AWAITED)
    f.add([...NOTES, `${PREFIX}awaits`], `names ${awaits.length} Jobs; ${MOST_AWAITED} at most`);
  return {
    kind: 'Job',
    manifest,
    work: workOf(spec.template.spec, notes, flag(notes, 'gang') ? 'gang' : 'array', tasks, f),
    awaits,
    suspend: spec.suspend ?? false,
    activeDeadlineUs:
      spec.activeDeadlineSeconds === undefined ? null : spec.activeDeadlineSeconds * 1_000_000,
    ttlUs: spec.ttlSecondsAfterFinished === undefined ? null : spec.ttlSecondsAfterFinished * 1_000_000,
  };
};

/** A number of pods, or a share of `replicas` that is rounded up or down. */
const shareOf = (value: number | string, replicas: number, up: boolean): number => {
  if (typeof value === 'number') return value;
  const hundredths = Number(value.slice(0, -1)) * replicas;
  return up ? Math.ceil(hundredths / 100) : Math.floor(hundredths / 100);
};

const mapDeployment = (manifest: Deployment, f: Findings): MappedDeployment => {
  const { spec, metadata } = manifest;
  const notes = metadata.annotations;
  for (const name of JOB_ONLY)
    if (note(notes, name) !== undefined)
      f.add([...NOTES, PREFIX + name], 'is for Jobs only', 'FieldValueForbidden');
  const labels = spec.template.metadata.labels ?? {};
  const wanted = Object.entries(spec.selector.matchLabels);
  if (wanted.length === 0) f.add(['spec', 'selector', 'matchLabels'], 'must name a label at least');
  for (const [key, value] of wanted)
    if (labels[key] !== value)
      f.add(
        ['spec', 'template', 'metadata', 'labels'],
        `must have ${key}: ${value}, as selector.matchLabels says`,
      );
  const replicas = spec.replicas ?? 1;
  const recreate = spec.strategy?.type === 'Recreate';
  const rolling = spec.strategy?.rollingUpdate;
  if (recreate && rolling !== undefined)
    f.add(['spec', 'strategy', 'rollingUpdate'], 'is not for Recreate', 'FieldValueForbidden');
  const surge = shareOf(rolling?.maxSurge ?? DEFAULT_SHARE, replicas, true);
  const unavailable = shareOf(rolling?.maxUnavailable ?? DEFAULT_SHARE, replicas, false);
  const zero = (v: number | string | undefined): boolean => v === 0 || v === '0%';
  if (zero(rolling?.maxSurge) && zero(rolling?.maxUnavailable))
    f.add(
      ['spec', 'strategy', 'rollingUpdate', 'maxUnavailable'],
      'must not be 0 where maxSurge is 0: nothing could ever move',
    );
  return {
    kind: 'Deployment',
    manifest,
    work: workOf(spec.template.spec, notes, 'service', 1, f),
    replicas,
    // Where shares round to nothing on both sides, one pod may be missing, as the API has it.
    rolling: recreate ? null : { surge, unavailable: surge === 0 && unavailable === 0 ? 1 : unavailable },
    progressDeadlineUs: (spec.progressDeadlineSeconds ?? PROGRESS_S) * 1_000_000,
    paused: spec.paused ?? false,
  };
};

const OPTIONS = { errors: 'all', onExcessProperty: 'error' } as const;
const decodeJob = Schema.decodeUnknownEither(Job, OPTIONS);
const decodeDeployment = Schema.decodeUnknownEither(Deployment, OPTIONS);

const whole = <M extends Mapped, A>(
  decoded: Either.Either<A, Parameters<typeof problemsOf>[0]>,
  map: (manifest: A, f: Findings) => M,
): Either.Either<M, readonly Problem[]> => {
  if (Either.isLeft(decoded)) return Either.left(problemsOf(decoded.left));
  const f = new Findings();
  const mapped = map(decoded.right, f);
  return f.problems.length > 0 ? Either.left(f.problems) : Either.right(mapped);
};

/** `value`: a manifest as it was parsed. Right: all of it is understood. Left: each wrong field. */
export const mapManifest = (value: unknown): Either.Either<Mapped, readonly Problem[]> => {
  const wrong = (path: Path, message: string, reason: Reason): Either.Either<Mapped, readonly Problem[]> =>
    Either.left([{ path, reason, message }]);
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    return wrong([], 'is no object', 'FieldValueInvalid');
  const { apiVersion, kind } = value as Record<string, unknown>;
  if (kind === 'Job' && apiVersion === 'batch/v1') return whole(decodeJob(value), mapJob);
  if (kind === 'Deployment' && apiVersion === 'apps/v1') return whole(decodeDeployment(value), mapDeployment);
  return wrong(
    ['kind'],
    `${JSON.stringify(apiVersion ?? null)} ${JSON.stringify(kind ?? null)} is not served here; those are batch/v1 Job and apps/v1 Deployment`,
    'FieldValueNotSupported',
  );
};
