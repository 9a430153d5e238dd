/**
 * Schema of the supported subset of Kubernetes Jobs and Deployments. It validates manifests, and the documentation's
 * table and the published schema are generated from it. A description begins with what the field becomes. Unknown
 * fields are refused at every level.
 */
import { MAX_TASKS_PER_JOB } from '@shaleyoke/core/domain/job';
import { Schema } from 'effect';

import { parseQuantity } from './quantity.js';

/** A field that may be missing, but not `undefined`: otherwise error messages would mention `undefined`. */
const optional = <S extends Schema.Schema.All>(schema: S): Schema.optionalWith<S, { exact: true }> =>
  Schema.optionalWith(schema, { exact: true });

const describe = (description: string): { description: string } => ({ description });

// ---- texts -------------------------------------------------------------------------------------------

const DNS_LABEL = /^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$/;
const QUALIFIED_NAME =
  /^([a-z0-9]([-a-z0-9.]{0,251}[a-z0-9])?\/)?[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?$/;
const LABEL_VALUE = /^([A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?$/;
const MAX_IMAGE_LENGTH = 200;

/** Whether a text is a DNS label, as names and namespaces must be. */
export const isLabel = (text: string): boolean => DNS_LABEL.test(text);

/** A field with a fixed set of accepted values. */
const oneOf = <const A extends readonly [string, ...string[]]>(values: A, description?: string) =>
  Schema.Literal(...values).annotations({
    description: description ?? `only ${values.join(' or ')}`,
    message: () => ({ message: `must be ${values.join(' or ')}`, override: true }),
  });

const matching = (form: RegExp, message: string) =>
  Schema.String.pipe(Schema.pattern(form, { message: () => message }));

const DnsLabel = matching(
  DNS_LABEL,
  'must be 1 to 63 of a-z, 0-9 and "-", and begin and end with a letter or digit',
);

const Quantity = Schema.Union(Schema.String, Schema.Number)
  .annotations({
    message: () => ({ message: 'must be a quantity, such as 500m, 2 or 1.5Gi', override: true }),
  })
  .pipe(
    Schema.filter((value) => {
      const quantity = parseQuantity(String(value));
      if (quantity === null) return 'must be a quantity, such as 500m, 2 or 1.5Gi';
      return quantity < 0n ? 'must not be below 0' : true;
    }),
  );

const wholeNumber = (least: number, most: number) =>
  Schema.Int.pipe(
    Schema.between(least, most, { message: () => `must be a whole number from ${least} to ${most}` }),
  ).annotations({ message: () => `must be a whole number from ${least} to ${most}` });

const MAX_REPLICAS = 1_000;
/** Ten years; a larger value is assumed to be a mistake. */
const MAX_SECONDS = 315_360_000;

const Labels = Schema.Record({ key: Schema.String, value: Schema.String }).pipe(
  Schema.filter((labels) => {
    const issues: { path: [string]; message: string }[] = [];
    for (const [key, value] of Object.entries(labels)) {
      if (!QUALIFIED_NAME.test(key)) issues.push({ path: [key], message: 'is not the name of a label' });
      if (!LABEL_VALUE.test(value)) issues.push({ path: [key], message: 'is not the value of a label' });
    }
    return issues;
  }),
);

// ---- annotations -------------------------------------------------------------------------------------

/** Prefix of the scheduler's own annotations, for properties that Kubernetes has no field for. */
export const ANNOTATION_PREFIX = 'shaleyoke/';

const BooleanText = oneOf(['true', 'false']);
const SECONDS_PATTERN = /^[0-9]{1,9}(\.[0-9]{1,6})?$/;
const Seconds = matching(SECONDS_PATTERN, 'must be seconds, such as "240" or "7.5"');

const annotationSchemas = {
  class: optional(
    matching(/^\S{1,200}$/, 'must be 1 to 200 characters without spaces').annotations(
      describe(
        'class of jobs, whose run times are learned together; the image without its tag if it is missing',
      ),
    ),
  ),
  gang: optional(
    BooleanText.annotations(
      describe('"true": all pods run at the same time or none does; else each by itself'),
    ),
  ),
  'same-zone': optional(BooleanText.annotations(describe('"true": all pods in one zone'))),
  spread: optional(
    BooleanText.annotations(describe('"true": at most half of the pods, rounded up, in one zone')),
  ),
  estimate: optional(Seconds.annotations(describe('estimated run time of a pod, in seconds'))),
  'checkpoint-interval': optional(
    Seconds.annotations(
      describe('progress after which a pod saves by itself, in seconds; never if it is missing'),
    ),
  ),
  'save-time': optional(
    Seconds.annotations(describe('time that a pod needs to save when it is stopped, in seconds')),
  ),
  'image-size': optional(
    Quantity.annotations(describe('size of the image, a quantity in bytes; 0 if it is missing')),
  ),
  due: optional(
    Seconds.annotations(
      describe('when the Job should be complete, in seconds from its creation; not a limit'),
    ),
  ),
  awaits: optional(
    Schema.String.annotations(
      describe('Jobs of the same namespace to be done before this one starts, with commas between'),
    ),
  ),
  'instance-types': optional(
    Schema.String.annotations(describe('allowed machine types, with commas between; more than one')),
  ),
};
/** Name of one of the scheduler's annotations, without the prefix. */
export type AnnotationName = keyof typeof annotationSchemas;

const prefixedAnnotations = Object.fromEntries(
  Object.entries(annotationSchemas).map(([name, s]) => [ANNOTATION_PREFIX + name, s]),
) as {
  [K in AnnotationName as `shaleyoke/${K}`]: (typeof annotationSchemas)[K];
};

/** Annotations that only a Job may have. */
export const JOB_ONLY_ANNOTATIONS: readonly AnnotationName[] = [
  'gang',
  'same-zone',
  'spread',
  'estimate',
  'due',
  'awaits',
];

const Annotations = Schema.Struct(
  prefixedAnnotations,
  Schema.Record({ key: Schema.String, value: Schema.String }),
).pipe(
  Schema.filter((all) =>
    Object.keys(all)
      .filter((k) => k.startsWith(ANNOTATION_PREFIX) && !(k in prefixedAnnotations))
      .map((k) => ({
        path: [k],
        message: `is none of ours; those are ${Object.keys(annotationSchemas).join(', ')}`,
      })),
  ),
);

// ---- metadata ----------------------------------------------------------------------------------------

const Metadata = Schema.Struct({
  name: DnsLabel.annotations(describe('name of the object, once in its namespace')),
  namespace: optional(
    DnsLabel.annotations(describe('belongs to one team; that of the request if it is missing')),
  ),
  labels: optional(Labels.annotations(describe('kept, and selected by'))),
  annotations: optional(Annotations.annotations(describe('kept; those of ours are understood'))),
  creationTimestamp: optional(Schema.Null.annotations(describe('only null, as tools write it'))),
});

const PodMetadata = Schema.Struct({
  labels: optional(Labels.annotations(describe('kept, and shown on pods'))),
  annotations: optional(
    Schema.Record({ key: Schema.String, value: Schema.String })
      .pipe(
        Schema.filter((all) =>
          Object.keys(all)
            .filter((k) => k.startsWith(ANNOTATION_PREFIX))
            .map((k) => ({ path: [k], message: 'belongs to metadata.annotations of the object itself' })),
        ),
      )
      .annotations(describe('kept, and shown on pods')),
  ),
  creationTimestamp: optional(Schema.Null.annotations(describe('only null, as tools write it'))),
});

// ---- pods --------------------------------------------------------------------------------------------

/** Resource name of GPUs. */
export const GPU_RESOURCE = 'nvidia.com/gpu';
/** Node label of the zone. */
export const ZONE_LABEL = 'topology.kubernetes.io/zone';
/** Node label of the machine type. */
export const INSTANCE_TYPE_LABEL = 'node.kubernetes.io/instance-type';
/** Taint that a pod tolerates to run on spot machines. */
export const SPOT_TAINT = 'shaleyoke/spot';

const ResourceAmounts = Schema.Struct({
  cpu: optional(Quantity.annotations(describe('cores of each pod'))),
  memory: optional(Quantity.annotations(describe('memory of each pod, bytes'))),
  [GPU_RESOURCE]: optional(Quantity.annotations(describe('GPUs of each pod'))),
});

const Container = Schema.Struct({
  name: DnsLabel.annotations(describe('kept')),
  image: Schema.String.pipe(
    Schema.minLength(1, { message: () => 'must not be empty' }),
    Schema.maxLength(MAX_IMAGE_LENGTH, { message: () => `must be ${MAX_IMAGE_LENGTH} characters at most` }),
  ).annotations(describe('image that a machine must have; what runs is in it')),
  imagePullPolicy: optional(oneOf(['IfNotPresent'], 'only IfNotPresent: machines keep images')),
  resources: Schema.Struct({
    requests: optional(ResourceAmounts.annotations(describe('what each pod takes of its machine'))),
    limits: optional(ResourceAmounts.annotations(describe('the same as requests, or instead of them'))),
  }),
});

const Toleration = Schema.Struct({
  key: oneOf([SPOT_TAINT], 'pods may run on spot machines'),
  operator: oneOf(['Exists']),
  effect: optional(oneOf(['NoSchedule'])),
});

const podSpec = <R extends string>(restart: R) =>
  Schema.Struct({
    containers: Schema.Tuple(Container).annotations(describe('one container')),
    restartPolicy:
      restart === 'Always'
        ? optional(oneOf([restart]))
        : oneOf([restart], `only ${restart}: a failed pod starts anew, maybe elsewhere`),
    priorityClassName: optional(
      oneOf(['critical', 'urgent', 'normal', 'best-effort'], 'priority; normal if it is missing'),
    ),
    nodeSelector: optional(
      Schema.Struct({
        [ZONE_LABEL]: optional(Schema.String.annotations(describe('the only allowed zone'))),
        [INSTANCE_TYPE_LABEL]: optional(Schema.String.annotations(describe('the only allowed machine type'))),
      }),
    ),
    tolerations: optional(
      Schema.Array(Toleration)
        .pipe(Schema.maxItems(1, { message: () => 'must be one at most' }))
        .annotations(describe('spot machines')),
    ),
  });

// ---- objects -----------------------------------------------------------------------------------------

const EmptyStatus = optional(Schema.Struct({}).annotations(describe('only empty, as tools write it')));

/** Schema of the supported Job fields. */
export const Job = Schema.Struct({
  apiVersion: oneOf(['batch/v1']),
  kind: oneOf(['Job']),
  metadata: Metadata,
  spec: Schema.Struct({
    parallelism: optional(
      wholeNumber(1, MAX_TASKS_PER_JOB).annotations(
        describe('pods at a time, 1 if it is missing: not below completions'),
      ),
    ),
    completions: optional(
      wholeNumber(1, MAX_TASKS_PER_JOB).annotations(describe('number of pods, 1 if it is missing')),
    ),
    completionMode: optional(oneOf(['NonIndexed', 'Indexed'], 'kept: pods are numbered from 0 in both')),
    activeDeadlineSeconds: optional(
      wholeNumber(1, MAX_SECONDS).annotations(
        describe('the Job is withdrawn and Failed when it was active for so long'),
      ),
    ),
    suspend: optional(
      Schema.Boolean.annotations(describe('true: nothing is submitted until it is set to false')),
    ),
    ttlSecondsAfterFinished: optional(
      wholeNumber(0, MAX_SECONDS).annotations(
        describe('when the object goes after its end; never if it is missing'),
      ),
    ),
    template: Schema.Struct({ metadata: optional(PodMetadata), spec: podSpec('Never') }),
  }),
  status: EmptyStatus,
});
/** A valid Job manifest. */
export type Job = typeof Job.Type;

const CountOrPercentage = Schema.Union(
  wholeNumber(0, MAX_REPLICAS),
  matching(/^(100|[0-9]{1,2})%$/, 'must be a whole number or a percentage up to 100%'),
).annotations({
  message: () => ({ message: 'must be a whole number or a percentage up to 100%', override: true }),
});

/** Schema of the supported Deployment fields. */
export const Deployment = Schema.Struct({
  apiVersion: oneOf(['apps/v1']),
  kind: oneOf(['Deployment']),
  metadata: Metadata,
  spec: Schema.Struct({
    replicas: optional(
      wholeNumber(0, MAX_REPLICAS).annotations(describe('number of pods, 1 if it is missing')),
    ),
    selector: Schema.Struct({
      matchLabels: Labels.annotations(describe("labels of the template's; never changed")),
    }),
    template: Schema.Struct({ metadata: PodMetadata, spec: podSpec('Always') }),
    strategy: optional(
      Schema.Struct({
        type: optional(oneOf(['RollingUpdate', 'Recreate'], 'RollingUpdate if it is missing')),
        rollingUpdate: optional(
          Schema.Struct({
            maxSurge: optional(
              CountOrPercentage.annotations(describe('pods above replicas at any moment; 25%, rounded up')),
            ),
            maxUnavailable: optional(
              CountOrPercentage.annotations(describe('pods below replicas at any moment; 25%, rounded down')),
            ),
          }),
        ),
      }),
    ),
    progressDeadlineSeconds: optional(
      wholeNumber(1, MAX_SECONDS).annotations(
        describe('a rollout without progress for so long stops and keeps the old pods; 600 if it is missing'),
      ),
    ),
    paused: optional(Schema.Boolean.annotations(describe('true: a rollout stands still'))),
  }),
  status: EmptyStatus,
});
/** A valid Deployment manifest. */
export type Deployment = typeof Deployment.Type;

/** Schemas by kind. */
export const KINDS = { Job, Deployment } as const;
/** A supported kind. */
export type Kind = keyof typeof KINDS;
