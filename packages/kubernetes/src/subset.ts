/**
 * The declared subset: which fields of a Kubernetes Job or Deployment are understood, and what becomes of each. The
 * one place that says so: it validates, and the table for people and the published schema are made from it.
 * A description begins with what the field becomes. Every level is closed: what is not named here is refused.
 */
import { Schema } from 'effect';

import { parseQuantity } from './quantity.js';

/** May be left out, and is not `undefined` then: complaints are about what stands there. */
const optional = <S extends Schema.Schema.All>(schema: S): Schema.optionalWith<S, { exact: true }> =>
  Schema.optionalWith(schema, { exact: true });

const says = (description: string): { description: string } => ({ description });

// ---- texts -------------------------------------------------------------------------------------------

const LABEL = /^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$/;
const QUALIFIED = /^([a-z0-9]([-a-z0-9.]{0,251}[a-z0-9])?\/)?[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?$/;
const VALUE = /^([A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?$/;
const IMAGE_MOST = 200;

export const isLabel = (text: string): boolean => LABEL.test(text);

/** One accepted value, or a few. */
const only = <const A extends readonly [string, ...string[]]>(values: A, description?: string) =>
  Schema.Literal(...values).annotations({
    description: description ?? `only ${values.join(' or ')}`,
    message: () => ({ message: `must be ${values.join(' or ')}`, override: true }),
  });

const matching = (form: RegExp, message: string) =>
  Schema.String.pipe(Schema.pattern(form, { message: () => message }));

const DnsLabel = matching(
  LABEL,
  'must be 1 to 63 of a-z, 0-9 and "-", and begin and end with a letter or digit',
);

const Quantity = Schema.Union(Schema.String, Schema.Number)
  .annotations({
    message: () => ({ message: 'must be a quantity, such as 500m, 2 or 1.5Gi', override: true }),
  })
  .pipe(
    Schema.filter((v) => {
      const n = parseQuantity(String(v));
      if (n === null) return 'must be a quantity, such as 500m, 2 or 1.5Gi';
      return n < 0n ? 'must not be below 0' : true;
    }),
  );

const whole = (least: number, most: number) =>
  Schema.Int.pipe(
    Schema.between(least, most, { message: () => `must be a whole number from ${least} to ${most}` }),
  ).annotations({ message: () => `must be a whole number from ${least} to ${most}` });

const MOST_TASKS = 100_000;
const MOST_REPLICAS = 1_000;
/** Ten years; what is more has been written by mistake. */
const MOST_SECONDS = 315_360_000;

const Labels = Schema.Record({ key: Schema.String, value: Schema.String }).pipe(
  Schema.filter((labels) => {
    const issues: { path: [string]; message: string }[] = [];
    for (const [key, value] of Object.entries(labels)) {
      if (!QUALIFIED.test(key)) issues.push({ path: [key], message: 'is not the name of a label' });
      if (!VALUE.test(value)) issues.push({ path: [key], message: 'is not the value of a label' });
    }
    return issues;
  }),
);

// ---- annotations -------------------------------------------------------------------------------------

/** Names of ours: what the core needs to know and Kubernetes has no field for. */
export const PREFIX = 'shaleyoke/';

const Flag = only(['true', 'false']);
const SECONDS = /^[0-9]{1,9}(\.[0-9]{1,6})?$/;
const Seconds = matching(SECONDS, 'must be seconds, such as "240" or "7.5"');

const ours = {
  class: optional(
    matching(/^\S{1,200}$/, 'must be 1 to 200 characters without spaces').annotations(
      says('class of jobs, whose run times are learned together; the image without its tag if it is missing'),
    ),
  ),
  gang: optional(
    Flag.annotations(says('"true": all pods run at the same time or none does; else each by itself')),
  ),
  'same-zone': optional(Flag.annotations(says('"true": all pods in one zone'))),
  spread: optional(Flag.annotations(says('"true": at most half of the pods, rounded up, in one zone'))),
  estimate: optional(Seconds.annotations(says('estimated run time of a pod, in seconds'))),
  'checkpoint-interval': optional(
    Seconds.annotations(
      says('progress after which a pod saves by itself, in seconds; never if it is missing'),
    ),
  ),
  'save-time': optional(
    Seconds.annotations(says('time that a pod needs to save when it is stopped, in seconds')),
  ),
  'image-size': optional(
    Quantity.annotations(says('size of the image, a quantity in bytes; 0 if it is missing')),
  ),
  due: optional(
    Seconds.annotations(says('when the Job should be complete, in seconds from its creation; not a limit')),
  ),
  awaits: optional(
    Schema.String.annotations(
      says('Jobs of the same namespace to be done before this one starts, with commas between'),
    ),
  ),
  'instance-types': optional(
    Schema.String.annotations(says('allowed machine types, with commas between; more than one')),
  ),
};
export type OurAnnotation = keyof typeof ours;

const prefixed = Object.fromEntries(Object.entries(ours).map(([name, s]) => [PREFIX + name, s])) as {
  [K in OurAnnotation as `shaleyoke/${K}`]: (typeof ours)[K];
};

/** Those that only a Job can have. */
export const JOB_ONLY: readonly OurAnnotation[] = [
  'gang',
  'same-zone',
  'spread',
  'estimate',
  'due',
  'awaits',
];

const Annotations = Schema.Struct(prefixed, Schema.Record({ key: Schema.String, value: Schema.String })).pipe(
  Schema.filter((all) =>
    Object.keys(all)
      .filter((k) => k.startsWith(PREFIX) && !(k in prefixed))
      .map((k) => ({
        path: [k],
        message: `is none of ours; those are ${Object.keys(ours).join(', ')}`,
      })),
  ),
);

// ---- metadata ----------------------------------------------------------------------------------------

const Metadata = Schema.Struct({
  name: DnsLabel.annotations(says('name of the object, once in its namespace')),
  namespace: optional(
    DnsLabel.annotations(says('belongs to one team; that of the request if it is missing')),
  ),
  labels: optional(Labels.annotations(says('kept, and selected by'))),
  annotations: optional(Annotations.annotations(says('kept; those of ours are understood'))),
  creationTimestamp: optional(Schema.Null.annotations(says('only null, as tools write it'))),
});

const PodMetadata = Schema.Struct({
  labels: optional(Labels.annotations(says('kept, and shown on pods'))),
  annotations: optional(
    Schema.Record({ key: Schema.String, value: Schema.String })
      .pipe(
        Schema.filter((all) =>
          Object.keys(all)
            .filter((k) => k.startsWith(PREFIX))
            .map((k) => ({ path: [k], message: 'belongs to metadata.annotations of the object itself' })),
        ),
      )
      .annotations(says('kept, and shown on pods')),
  ),
  creationTimestamp: optional(Schema.Null.annotations(says('only null, as tools write it'))),
});

// ---- pods --------------------------------------------------------------------------------------------

export const GPU = 'nvidia.com/gpu';
export const ZONE = 'topology.kubernetes.io/zone';
export const TYPE = 'node.kubernetes.io/instance-type';
export const SPOT = 'shaleyoke/spot';

const Amounts = Schema.Struct({
  cpu: optional(Quantity.annotations(says('cores of each pod'))),
  memory: optional(Quantity.annotations(says('memory of each pod, bytes'))),
  [GPU]: optional(Quantity.annotations(says('GPUs of each pod'))),
});

const Container = Schema.Struct({
  name: DnsLabel.annotations(says('kept')),
  image: Schema.String.pipe(
    Schema.minLength(1, { message: () => 'must not be empty' }),
    Schema.maxLength(IMAGE_MOST, { message: () => `must be ${IMAGE_MOST} characters at most` }),
  ).annotations(says('image that a machine must have; what runs is in it')),
  imagePullPolicy: optional(only(['IfNotPresent'], 'only IfNotPresent: machines keep images')),
  resources: Schema.Struct({
    requests: optional(Amounts.annotations(says('what each pod takes of its machine'))),
    limits: optional(Amounts.annotations(says('the same as requests, or instead of them'))),
  }),
});

const Toleration = Schema.Struct({
  key: only([SPOT], 'pods may run on spot machines'),
  operator: only(['Exists']),
  effect: optional(only(['NoSchedule'])),
});

const podSpec = <R extends string>(restart: R) =>
  Schema.Struct({
    containers: Schema.Tuple(Container).annotations(says('one container')),
    restartPolicy:
      restart === 'Always'
        ? optional(only([restart]))
        : only([restart], `only ${restart}: a failed pod starts anew, maybe elsewhere`),
    priorityClassName: optional(
      only(['critical', 'urgent', 'normal', 'best-effort'], 'priority; normal if it is missing'),
    ),
    nodeSelector: optional(
      Schema.Struct({
        [ZONE]: optional(Schema.String.annotations(says('the only allowed zone'))),
        [TYPE]: optional(Schema.String.annotations(says('the only allowed machine type'))),
      }),
    ),
    tolerations: optional(
      Schema.Array(Toleration)
        .pipe(Schema.maxItems(1, { message: () => 'must be one at most' }))
        .annotations(says('spot machines')),
    ),
  });

// ---- objects -----------------------------------------------------------------------------------------

const NoStatus = optional(Schema.Struct({}).annotations(says('only empty, as tools write it')));

export const Job = Schema.Struct({
  apiVersion: only(['batch/v1']),
  kind: only(['Job']),
  metadata: Metadata,
  spec: Schema.Struct({
    parallelism: optional(
      whole(1, MOST_TASKS).annotations(says('pods at a time, 1 if it is missing: not below completions')),
    ),
    completions: optional(whole(1, MOST_TASKS).annotations(says('number of pods, 1 if it is missing'))),
    completionMode: optional(only(['NonIndexed', 'Indexed'], 'kept: pods are numbered from 0 in both')),
    activeDeadlineSeconds: optional(
      whole(1, MOST_SECONDS).annotations(
        says('the Job is withdrawn and Failed when it was active for so long'),
      ),
    ),
    suspend: optional(
      Schema.Boolean.annotations(says('true: nothing is submitted until it is set to false')),
    ),
    ttlSecondsAfterFinished: optional(
      whole(0, MOST_SECONDS).annotations(says('when the object goes after its end; never if it is missing')),
    ),
    template: Schema.Struct({ metadata: optional(PodMetadata), spec: podSpec('Never') }),
  }),
  status: NoStatus,
});
export type Job = typeof Job.Type;

const Share = Schema.Union(
  whole(0, MOST_REPLICAS),
  matching(/^(100|[0-9]{1,2})%$/, 'must be a whole number or a percentage up to 100%'),
).annotations({
  message: () => ({ message: 'must be a whole number or a percentage up to 100%', override: true }),
});

export const Deployment = Schema.Struct({
  apiVersion: only(['apps/v1']),
  kind: only(['Deployment']),
  metadata: Metadata,
  spec: Schema.Struct({
    replicas: optional(whole(0, MOST_REPLICAS).annotations(says('number of pods, 1 if it is missing'))),
    selector: Schema.Struct({
      matchLabels: Labels.annotations(says("labels of the template's; never changed")),
    }),
    template: Schema.Struct({ metadata: PodMetadata, spec: podSpec('Always') }),
    strategy: optional(
      Schema.Struct({
        type: optional(only(['RollingUpdate', 'Recreate'], 'RollingUpdate if it is missing')),
        rollingUpdate: optional(
          Schema.Struct({
            maxSurge: optional(Share.annotations(says('pods above replicas at any moment; 25%, rounded up'))),
            maxUnavailable: optional(
              Share.annotations(says('pods below replicas at any moment; 25%, rounded down')),
            ),
          }),
        ),
      }),
    ),
    progressDeadlineSeconds: optional(
      whole(1, MOST_SECONDS).annotations(
        says('a rollout without progress for so long stops and keeps the old pods; 600 if it is missing'),
      ),
    ),
    paused: optional(Schema.Boolean.annotations(says('true: a rollout stands still'))),
  }),
  status: NoStatus,
});
export type Deployment = typeof Deployment.Type;

export const KINDS = { Job, Deployment } as const;
export type Kind = keyof typeof KINDS;
