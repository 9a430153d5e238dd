/** Manifests: every accepted field is mapped, and every field outside the subset is refused by its name. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { checkText } from '@shaleyoke/kubernetes/check';
import { mapManifest, type MappedManifest, type WorkSpec } from '@shaleyoke/kubernetes/mapping';
import { formatPath, type Problem } from '@shaleyoke/kubernetes/problems';
import { UNSUPPORTED_FIELDS } from '@shaleyoke/kubernetes/refusals';
import { markdownOf } from '@shaleyoke/kubernetes/table';
import { Either } from 'effect';
import fc from 'fast-check';

type Tree = Record<string, unknown>;

const root = new URL('../../../', import.meta.url);
const file = (name: string): string => readFileSync(new URL(name, root), 'utf8');

const accepted = (value: unknown): MappedManifest => {
  const mapped = mapManifest(value);
  if (Either.isLeft(mapped))
    assert.fail(mapped.left.map((p) => `${formatPath(p.path)}: ${p.message}`).join('\n'));
  return mapped.right;
};
const refused = (value: unknown): readonly Problem[] => {
  const mapped = mapManifest(value);
  assert.ok(Either.isLeft(mapped), 'accepted');
  return mapped.left;
};

// ---- generated manifests ---------------------------------------------------------------------------------

const priorities = ['best-effort', 'normal', 'urgent', 'critical'] as const;
const label = fc.stringMatching(/^[a-z][a-z0-9-]{0,8}[a-z0-9]$/);
const micros = fc.integer({ min: 1, max: 5_000_000_000 });

/** A job specification and a manifest that describes it. */
const generated = fc
  .record({
    name: label,
    class: label,
    gang: fc.boolean(),
    priority: fc.constantFrom(0, 1, 2, 3),
    tasks: fc.integer({ min: 1, max: 100_000 }),
    millicores: fc.integer({ min: 1, max: 500_000 }),
    gpus: fc.integer({ min: 0, max: 16 }),
    megabytes: fc.integer({ min: 1, max: 4_000_000 }),
    image: label,
    imageMb: fc.integer({ min: 0, max: 90_000 }),
    types: fc.option(fc.uniqueArray(label, { minLength: 1, maxLength: 3 }), { nil: null }),
    zone: fc.option(label, { nil: null }),
    place: fc.constantFrom('any', 'same', 'spread'),
    spot: fc.boolean(),
    estimateUs: micros,
    checkpointUs: fc.option(micros, { nil: 0 }),
    saveUs: micros,
    deadlineUs: fc.option(micros, { nil: null }),
    awaits: fc.uniqueArray(fc.stringMatching(/^w[0-9]{1,4}$/), { maxLength: 4 }),
    viaLimits: fc.boolean(),
    suspend: fc.boolean(),
  })
  .map((drawn) => {
    const seconds = (us: number): string => `${Math.floor(us / 1e6)}.${String(us % 1e6).padStart(6, '0')}`;
    const amounts = {
      cpu: `${drawn.millicores}m`,
      memory: `${drawn.megabytes}M`,
      ...(drawn.gpus > 0 ? { 'nvidia.com/gpu': drawn.gpus } : {}),
    };
    const work: WorkSpec = {
      class: drawn.class,
      shape: drawn.gang ? 'gang' : 'array',
      priority: drawn.priority,
      tasks: drawn.tasks,
      cores: drawn.millicores / 1000,
      gpus: drawn.gpus,
      memoryGb: drawn.megabytes / 1000,
      image: drawn.image,
      imageGb: drawn.imageMb / 1000,
      machineTypes: drawn.types,
      zone: drawn.zone,
      sameZone: drawn.place === 'same',
      spreadAcrossZones: drawn.place === 'spread',
      spot: drawn.spot,
      estimatedRunUs: drawn.estimateUs,
      checkpointIntervalUs: drawn.checkpointUs,
      checkpointDurationUs: drawn.checkpointUs > 0 ? drawn.saveUs : 0,
      deadlineUs: drawn.deadlineUs,
    };
    const one = drawn.types?.length === 1 ? drawn.types[0]! : null;
    const selector = {
      ...(drawn.zone === null ? {} : { 'topology.kubernetes.io/zone': drawn.zone }),
      ...(one === null ? {} : { 'node.kubernetes.io/instance-type': one }),
    };
    const manifest = {
      apiVersion: 'batch/v1',
      kind: 'Job',
      metadata: {
        name: drawn.name,
        annotations: {
          'shaleyoke/class': drawn.class,
          'shaleyoke/gang': String(drawn.gang),
          ...(drawn.place === 'same' ? { 'shaleyoke/same-zone': 'true' } : {}),
          ...(drawn.place === 'spread' ? { 'shaleyoke/spread': 'true' } : {}),
          'shaleyoke/estimate': seconds(drawn.estimateUs),
          ...(drawn.checkpointUs > 0
            ? {
                'shaleyoke/checkpoint-interval': seconds(drawn.checkpointUs),
                'shaleyoke/save-time': seconds(drawn.saveUs),
              }
            : {}),
          'shaleyoke/image-size': `${drawn.imageMb}M`,
          ...(drawn.deadlineUs === null ? {} : { 'shaleyoke/due': seconds(drawn.deadlineUs) }),
          ...(drawn.awaits.length === 0 ? {} : { 'shaleyoke/awaits': drawn.awaits.join(', ') }),
          ...(drawn.types !== null && one === null
            ? { 'shaleyoke/instance-types': drawn.types.join(',') }
            : {}),
          'example.org/kept': 'as it is',
        },
      },
      spec: {
        completions: drawn.tasks,
        parallelism: drawn.tasks,
        suspend: drawn.suspend,
        template: {
          spec: {
            restartPolicy: 'Never',
            priorityClassName: priorities[drawn.priority],
            ...(Object.keys(selector).length > 0 ? { nodeSelector: selector } : {}),
            ...(drawn.spot ? { tolerations: [{ key: 'shaleyoke/spot', operator: 'Exists' }] } : {}),
            containers: [
              {
                name: 'main',
                image: drawn.image,
                resources: drawn.viaLimits ? { limits: amounts } : { requests: amounts, limits: amounts },
              },
            ],
          },
        },
      },
    };
    return { g: drawn, work, manifest };
  });

test('every field of a manifest is mapped to the core’s job specification', () => {
  fc.assert(
    fc.property(generated, ({ g: drawn, work, manifest }) => {
      const mapped = accepted(manifest);
      assert.ok(mapped.kind === 'Job');
      assert.deepEqual(mapped.work, work);
      assert.deepEqual(mapped.awaits, drawn.awaits);
      assert.equal(mapped.suspend, drawn.suspend);
      assert.deepEqual(mapped.manifest, manifest);
    }),
    { seed: 14, numRuns: 500 },
  );
});

/** Every object within a tree, with its path. */
const objectsIn = (
  value: unknown,
  path: (string | number)[] = [],
): { at: Tree; path: (string | number)[] }[] => {
  if (Array.isArray(value)) return value.flatMap((x, i) => objectsIn(x, [...path, i]));
  if (typeof value !== 'object' || value === null) return [];
  return [
    { at: value as Tree, path },
    ...Object.entries(value).flatMap(([k, x]) => objectsIn(x, [...path, k])),
  ];
};
/** Paths of maps with arbitrary keys. */
const FREE_KEYED_MAPS = /(labels|annotations|matchLabels)$/;

test('a field outside the subset is refused by its name at every level', () => {
  fc.assert(
    fc.property(
      generated,
      fc.nat(),
      fc.stringMatching(/^[a-z][A-Za-z]{3,10}$/),
      fc.anything({ maxDepth: 1 }),
      ({ manifest }, where, name, value) => {
        const copy = structuredClone(manifest) as Tree;
        const places = objectsIn(copy).filter((o) => !FREE_KEYED_MAPS.test(formatPath(o.path)));
        const { at, path } = places[where % places.length]!;
        fc.pre(
          value !== undefined && !(name in at) && !['status', 'limits', 'labels', 'effect'].includes(name),
        );
        at[name] = value;
        const field = formatPath([...path, name]);
        const found = refused(copy).find((p) => formatPath(p.path) === field);
        assert.equal(found?.reason, 'FieldValueForbidden', field);
      },
    ),
    { seed: 15, numRuns: 500 },
  );
});

test('any input is either accepted or refused with a field, and nothing is thrown', () => {
  fc.assert(
    fc.property(generated, fc.nat(), fc.anything({ maxDepth: 3 }), ({ manifest }, where, value) => {
      const copy = structuredClone(manifest) as Tree;
      const places = objectsIn(copy);
      const { at } = places[where % places.length]!;
      const keys = Object.keys(at);
      const key = keys[where % Math.max(1, keys.length)];
      if (key !== undefined) at[key] = value;
      const mapped = mapManifest(copy);
      if (Either.isLeft(mapped))
        for (const problem of mapped.left) {
          assert.ok(problem.message.length > 3);
          // The message is not the schema library's own.
          assert.doesNotMatch(problem.message, /^Expected|readonly|undefined/, formatPath(problem.path));
        }
    }),
    { seed: 16, numRuns: 1_000 },
  );
});

// ---- the refusals that people meet -------------------------------------------------------------------------

const base = (): Tree =>
  structuredClone({
    apiVersion: 'batch/v1',
    kind: 'Job',
    metadata: { name: 'a' },
    spec: {
      template: {
        spec: {
          restartPolicy: 'Never',
          containers: [{ name: 'm', image: 'i', resources: { requests: { cpu: 1, memory: '1G' } } }],
        },
      },
    },
  });

const changed = (path: (string | number)[], value: unknown): Tree => {
  const all = base();
  let at: Tree = all;
  for (const segment of path.slice(0, -1)) at = (at[segment] ??= {}) as Tree;
  at[String(path.at(-1))] = value;
  return all;
};
const messagesFor = (path: (string | number)[], value: unknown): string =>
  refused(changed(path, value))
    .map((p) => `${formatPath(p.path)}: ${p.message}`)
    .join('\n');

test('each refusal names the field and what to do', () => {
  accepted(base());
  const pod = ['spec', 'template', 'spec'];
  assert.match(messagesFor(['spec', 'completions'], 5), /^spec\.parallelism: must be 5.*1 if it is missing/);
  assert.match(messagesFor(['spec', 'parallelism'], 5), /^spec\.completions: is required/);
  assert.match(messagesFor(['spec', 'completions'], 0), /^spec\.completions: must be a whole number from 1/);
  assert.match(messagesFor(['spec', 'completions'], '5'), /^spec\.completions: must be a (whole )?number/);
  assert.match(messagesFor([...pod, 'restartPolicy'], 'OnFailure'), /restartPolicy: must be Never/);
  assert.match(
    messagesFor([...pod, 'containers', 0, 'command'], ['sh']),
    /command: is not in the subset: what runs/,
  );
  assert.match(messagesFor([...pod, 'containers'], []), /containers\[0\]: is required/);
  const one = (base()['spec'] as { template: { spec: { containers: Tree[] } } }).template.spec.containers[0];
  assert.match(messagesFor([...pod, 'containers'], [one, one]), /containers\[1\]: .*a pod is one container/);
  assert.match(
    messagesFor([...pod, 'containers', 0, 'resources', 'requests', 'cpu'], '1x'),
    /cpu: must be a quantity/,
  );
  assert.match(
    messagesFor([...pod, 'containers', 0, 'resources', 'requests'], { cpu: 1 }),
    /requests\.memory: is req/,
  );
  assert.match(
    messagesFor([...pod, 'containers', 0, 'resources', 'limits'], { cpu: '1500m' }),
    /limits\.cpu: must equal the request, 1:/,
  );
  assert.match(
    messagesFor(['metadata', 'annotations'], { 'shaleyoke/gnag': 'true' }),
    /\[shaleyoke\/gnag\]: is none/,
  );
  assert.match(
    messagesFor(['metadata', 'annotations'], { 'shaleyoke/gang': true }),
    /gang\]: must be true or false/,
  );
  assert.match(messagesFor(['metadata', 'annotations'], { 'shaleyoke/awaits': 'a' }), /names the Job itself/);
  assert.match(messagesFor(['metadata', 'name'], 'A_b'), /^metadata\.name: must be 1 to 63/);
  assert.match(messagesFor(['spec'], null), /^spec: must be an object/);
  assert.match(messagesFor(['kind'], 'CronJob'), /^kind: .*"CronJob" is not served here/);
  // Every field with a listed reason is refused.
  for (const pattern of UNSUPPORTED_FIELDS.keys()) {
    const path = pattern.split('.').flatMap((p) => (p.endsWith('[]') ? [p.slice(0, -2), 0] : [p]));
    if (path.at(-1) === 0 || pattern.includes('resources.') || pattern.includes('minReady')) continue;
    assert.ok(refused(changed(path, 1)).length > 0, pattern);
  }
});

test('a Deployment’s percentages are rounded as in the API, and a rollout that could never proceed is refused', () => {
  const [, doc] = file('examples/borders-gang.yaml').split('---\n');
  assert.ok(doc !== undefined);
  const deploymentOf = (replicas: number, rollingUpdate: Tree): MappedManifest =>
    accepted({
      apiVersion: 'apps/v1',
      kind: 'Deployment',
      metadata: { name: 'd' },
      spec: {
        replicas,
        selector: { matchLabels: { app: 'd' } },
        strategy: { rollingUpdate },
        template: {
          metadata: { labels: { app: 'd' } },
          spec: {
            containers: [{ name: 'm', image: 'i', resources: { limits: { cpu: 1, memory: '1G' } } }],
          },
        },
      },
    });
  const rolling = (m: MappedManifest): unknown => (m.kind === 'Deployment' ? m.rolling : null);
  assert.deepEqual(rolling(deploymentOf(10, {})), { surge: 3, unavailable: 2 });
  assert.deepEqual(rolling(deploymentOf(3, { maxSurge: 0, maxUnavailable: '10%' })), {
    surge: 0,
    unavailable: 1,
  });
  assert.deepEqual(rolling(deploymentOf(7, { maxSurge: '100%', maxUnavailable: 0 })), {
    surge: 7,
    unavailable: 0,
  });
  assert.throws(
    () => deploymentOf(3, { maxSurge: 0, maxUnavailable: '0%' }),
    /maxUnavailable: must not be 0/,
  );
  assert.throws(
    () => deploymentOf(3, { maxSurge: '101%' }),
    /maxSurge: must be a whole number or a percentage/,
  );
});

// ---- files -----------------------------------------------------------------------------------------------

test('the examples are mapped or refused as they describe, by line', () => {
  const lines = (name: string): string[] =>
    checkText(file(`examples/${name}`)).map((f) => `${f.line}${f.bad ? '!' : ''} ${f.text}`);
  assert.equal(lines('tiles-job.yaml')[0], '2 Job tiles-warszawa: an array of 40 tasks');
  assert.ok(lines('borders-gang.yaml').includes('2 starts after tiles-warszawa'));
  assert.ok(lines('borders-gang.yaml').includes('25 Deployment viewer: 4 pods, each a service of one task'));
  assert.ok(!lines('borders-gang.yaml').some((l) => l.includes('!')));
  const bad = lines('refused.yaml');
  for (const [line, field] of [
    [5, 'metadata.generateName'],
    [7, 'spec.backoffLimit'],
    [11, 'spec.template.spec.restartPolicy'],
    [12, 'spec.template.spec.volumes'],
    [17, 'spec.template.spec.containers[0].command'],
  ] as const)
    assert.ok(
      bad.some((l) => l.startsWith(`${line}! ${field}: `)),
      `${line} ${field}\n${bad.join('\n')}`,
    );
});

test('files without valid manifests get specific messages, within bounds on time and memory', () => {
  const first = (text: string): string => checkText(text)[0]?.text ?? 'nothing';
  assert.match(first('a: ['), /is not YAML/);
  assert.match(first('kind: Job\nkind: Job\n'), /is not YAML: Map keys must be unique/);
  assert.match(first('[1, 2]'), /is no object/);
  assert.match(first('x: 1\n'), /is not served here/);
  assert.match(first(`a: ${'x'.repeat(70_000)}`), /bytes as JSON; 65536 at most/);
  const bomb = [
    'a: &a [x,x,x,x,x,x,x,x,x]',
    ...'bcdefghij'.split('').map((letter, i) => {
      const before = 'abcdefghi'[i];
      return `${letter}: &${letter} [${Array.from({ length: 9 }, () => `*${before}`).join(',')}]`;
    }),
  ].join('\n');
  assert.match(first(bomb), /can't be read/);
  assert.match(first('---\n'.repeat(500).replaceAll('---\n', '---\na: 1\n')), /at most/);
});

test('the table in the documents is that of the schema', () => {
  const page = file('docs/operating-kube.md').replace(/ +/g, ' ').replace(/-{3,}/g, '---');
  for (const kind of ['Job', 'Deployment'] as const)
    assert.ok(page.includes(markdownOf(kind).replace(/ +/g, ' ')), kind);
});
