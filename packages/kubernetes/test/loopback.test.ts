/**
 * Conformance of the supported subset: real controllers on loopback, driven by the published client library and by raw
 * HTTP requests. The assertions don't depend on the speed of the machine.
 */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { after, before, test } from 'node:test';

import { BatchV1Api, KubeConfig, makeInformer, type V1Job } from '@kubernetes/client-node';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { commandRunner } from '@shaleyoke/emulator/command-runner';
import { LoopbackDeployment } from '@shaleyoke/emulator/loopback';

const MAIN = new URL('../../cli/src/main.ts', import.meta.url).pathname;
const PROGRAM = [process.execPath, '--import', 'tsx', MAIN];
const MACHINE_TYPE: MachineType = {
  name: 'box',
  cores: 8,
  gpus: 0,
  memoryGb: 32,
  imageCacheGb: 50,
  imagePullGbPerS: 10,
  price: 1,
  spotPrice: 0.4,
  bootUs: 2 * SECOND,
  zones: ['zone-a', 'zone-b'],
};

const loopback = new LoopbackDeployment({
  program: PROGRAM,
  nodes: 3,
  teams: ['t', 'u'],
  types: [MACHINE_TYPE],
  perZone: 3,
  budgets: null,
  kube: (port) =>
    `version: 1\nlisten: 127.0.0.1:${port}\nsockets: 20\nstatus_changes_per_s: 5\ntenants:\n` +
    '  maps: { namespaces: { maps: t }, addresses: [127.0.0.0/8] }\n  others: { namespaces: { theirs: u } }\n',
  log: null,
});
const tokens = { maps: '', others: '' };

const tool = commandRunner(PROGRAM);
const until = async (what: string, holds: () => boolean | Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < 240; attempt++) {
    if (await holds()) return;
    await new Promise((done) => setTimeout(done, 250));
  }
  assert.fail(`a minute passed, and never: ${what}`);
};

const configOf = (node: number, token: string): KubeConfig => {
  const kubeConfig = new KubeConfig();
  kubeConfig.loadFromOptions({
    clusters: [{ name: 'c', server: `http://${loopback.nodes[node]!.kube}`, skipTLSVerify: true }],
    users: [{ name: 'u', token }],
    contexts: [{ name: 'x', cluster: 'c', user: 'u' }],
    currentContext: 'x',
  });
  return kubeConfig;
};
const api = (node: number, token = tokens.maps): BatchV1Api =>
  configOf(node, token).makeApiClient(BatchV1Api);

const jobOf = (name: string, more: Partial<NonNullable<V1Job['spec']>> = {}): V1Job => ({
  apiVersion: 'batch/v1',
  kind: 'Job',
  metadata: { name, labels: { app: 'tiles' }, annotations: { 'shaleyoke/estimate': '2' } },
  spec: {
    completions: 2,
    parallelism: 2,
    ...more,
    template: {
      spec: {
        restartPolicy: 'Never',
        containers: [{ name: 'm', image: 'img', resources: { requests: { cpu: '500m', memory: '512Mi' } } }],
      },
    },
  },
});

interface Reply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}
const raw = (
  method: string,
  path: string,
  body = '',
  headers: http.OutgoingHttpHeaders = {},
  node = 0,
): Promise<Reply> =>
  new Promise((resolve, reject) => {
    const [host, port] = loopback.nodes[node]!.kube.split(':');
    const req = http.request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: { Authorization: `Bearer ${tokens.maps}`, 'Content-Type': 'application/json', ...headers },
      },
      (res) => {
        let text = '';
        res.on('data', (c: Buffer) => (text += c.toString()));
        res.on('end', () => {
          resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text });
        });
        res.on('error', reject);
      },
    );
    req.on('error', reject);
    req.end(body);
  });
const JOBS = '/apis/batch/v1/namespaces/maps/jobs';
const codeOf = async (what: Promise<unknown>): Promise<number> => {
  try {
    await what;
    return 200;
  } catch (error) {
    return (error as { code?: number }).code ?? -1;
  }
};

before(async () => {
  await loopback.start();
  await until('somebody leads', () => loopback.leader() !== null);
  const files = (node: number): string[] => [
    '--config',
    loopback.nodes[node]!.config,
    '--kube',
    loopback.kubeFile(loopback.nodes[node]!.member),
  ];
  for (const tenant of ['maps', 'others'] as const) {
    const result = await tool(
      'kube',
      'token',
      'create',
      ...files(0),
      '--tenant',
      tenant,
      '--by',
      'ada',
      '--why',
      'tests',
    );
    assert.equal(result.exitCode, 0, result.output);
    assert.match(result.output, /^CREATED token [0-9a-f]{16} for /);
    tokens[tenant] = result.output.trim().split('\n').at(-1)!;
  }
  const none = await tool(
    'kube',
    'token',
    'create',
    ...files(0),
    '--tenant',
    'x',
    '--by',
    'ada',
    '--why',
    'y',
  );
  assert.deepEqual(
    [none.exitCode, /--tenant: x is none of .*maps, others/.test(none.output)],
    [2, true],
    none.output,
  );
  await until('each node answers', async () => {
    for (const node of [0, 1, 2])
      if ((await codeOf(api(node).listNamespacedJob({ namespace: 'maps' }))) !== 200) return false;
    return true;
  });
});
after(() => {
  loopback.stop();
});

test('discovery lists the served API without authentication', async () => {
  const groups = JSON.parse((await raw('GET', '/apis?timeout=32s', '', { Authorization: '' })).body) as {
    groups: { name: string }[];
  };
  assert.deepEqual(
    groups.groups.map((g) => g.name),
    ['batch'],
  );
  const resources = JSON.parse((await raw('GET', '/apis/batch/v1')).body) as {
    resources: { name: string; verbs: string[] }[];
  };
  assert.deepEqual(
    resources.resources.map((r) => r.name),
    ['jobs'],
  );
  assert.equal((await raw('GET', '/version')).status, 200);
  assert.equal((await raw('GET', '/apis/apps/v1')).status, 404);
});

test('the client library creates, lists, reads and deletes a Job on any node, and sees it complete', async () => {
  const made = await api(0).createNamespacedJob({ namespace: 'maps', body: jobOf('tiles') });
  assert.equal(made.metadata?.namespace, 'maps');
  assert.equal(made.spec?.completionMode, 'NonIndexed');
  assert.equal(await codeOf(api(1).createNamespacedJob({ namespace: 'maps', body: jobOf('tiles') })), 409);
  const read = await api(1).readNamespacedJob({ namespace: 'maps', name: 'tiles' });
  assert.equal(read.metadata?.uid, made.metadata?.uid);
  const plain = (j: V1Job): unknown => JSON.parse(JSON.stringify(j.spec?.template.spec?.containers));
  assert.deepEqual(plain(read), plain(jobOf('tiles')));
  const label = await api(2).listNamespacedJob({ namespace: 'maps', labelSelector: 'app=tiles' });
  assert.equal(label.items.length, 1);
  const none = await api(2).listNamespacedJob({ namespace: 'maps', labelSelector: 'app=none' });
  assert.equal(none.items.length, 0);
  await until('it is complete', async () => {
    const job = await api(2).readNamespacedJob({ namespace: 'maps', name: 'tiles' });
    return job.status?.conditions?.some((c) => c.type === 'Complete' && c.status === 'True') === true;
  });
  const done = await api(0).readNamespacedJob({ namespace: 'maps', name: 'tiles' });
  assert.equal(done.status?.succeeded, 2);
  assert.ok(done.status?.completionTime instanceof Date);
  await api(1).deleteNamespacedJob({ namespace: 'maps', name: 'tiles' });
  assert.equal(await codeOf(api(2).readNamespacedJob({ namespace: 'maps', name: 'tiles' })), 404);
});

test('another tenant, a wrong token and a foreign namespace get the API’s status codes and no information', async () => {
  await api(0).createNamespacedJob({ namespace: 'maps', body: jobOf('mine') });
  for (const name of ['mine', 'nobodys'])
    assert.equal(await codeOf(api(1, tokens.others).readNamespacedJob({ namespace: 'maps', name })), 403);
  assert.equal(
    await codeOf(api(1, tokens.others).createNamespacedJob({ namespace: 'maps', body: jobOf('x') })),
    403,
  );
  assert.equal((await api(1, tokens.others).listJobForAllNamespaces()).items.length, 0);
  assert.equal(await codeOf(api(1, 'no.token').listNamespacedJob({ namespace: 'maps' })), 401);
  assert.equal((await raw('GET', JOBS, '', { Authorization: 'Basic eDp5' })).status, 401);
  await api(2).deleteNamespacedJob({ namespace: 'maps', name: 'mine', propagationPolicy: 'Background' });
});

test('a wrong request is refused with a Status that names each field', async () => {
  const bad = jobOf('bad', { backoffLimit: 3 });
  const result = await raw('POST', JOBS, JSON.stringify(bad));
  const status = JSON.parse(result.body) as {
    kind: string;
    reason: string;
    details: { causes: { field: string; reason: string }[] };
  };
  assert.deepEqual([result.status, status.kind, status.reason], [422, 'Status', 'Invalid']);
  assert.deepEqual(
    status.details.causes.map((c) => `${c.field} ${c.reason}`),
    ['spec.backoffLimit FieldValueForbidden'],
  );
  // `fieldValidation=Ignore` doesn't make an unsupported field accepted.
  assert.equal((await raw('POST', `${JOBS}?fieldValidation=Ignore`, JSON.stringify(bad))).status, 422);
  const code = async (...args: Parameters<typeof raw>): Promise<number> => (await raw(...args)).status;
  const good = JSON.stringify(jobOf('good'));
  assert.equal(await code('POST', JOBS, '{'), 400);
  assert.equal(await code('POST', JOBS, good.replace('{', '{"kind":"Job",')), 400);
  assert.equal(await code('POST', JOBS, '['.repeat(30_000)), 400);
  assert.equal(await code('POST', JOBS, '{"a":'.repeat(5_000) + '1' + '}'.repeat(5_000)), 400);
  assert.equal(await code('POST', JOBS, ' '.repeat(70_000)), 413);
  assert.equal(
    await code('POST', JOBS, good, { 'Content-Type': 'application/vnd.kubernetes.protobuf' }),
    415,
  );
  assert.equal(await code('POST', `${JOBS}?dryRun=All`, good), 400);
  assert.equal(await code('PUT', `${JOBS}/good`, good), 405);
  assert.equal(await code('GET', `${JOBS}?labelSelector=app+in+(a,b)`), 400);
  assert.equal(await code('GET', `${JOBS}?limit=x`), 400);
  assert.equal(await code('DELETE', `${JOBS}/good?propagationPolicy=Orphan`), 400);
  assert.equal(await code('GET', JOBS, '', { 'X-Long': 'x'.repeat(20_000) }), 400);
  assert.equal(await code('GET', '/api/v1/namespaces/maps/pods'), 404);
  assert.deepEqual((await api(0).listNamespacedJob({ namespace: 'maps' })).items, []);
  const yaml =
    'apiVersion: batch/v1\nkind: Job\nmetadata: { name: from-yaml }\nspec:\n  template:\n    spec:\n      restartPolicy: Never\n      containers: [{ name: m, image: i, resources: { limits: { cpu: 1, memory: 1G } } }]\n';
  assert.equal(await code('POST', JOBS, yaml, { 'Content-Type': 'application/yaml' }), 201);
  assert.equal(await code('DELETE', `${JOBS}/from-yaml`), 200);
});

test('an informer of the client library survives a killed controller and a store outage', async () => {
  const seen = new Map<string, string>();
  const log: string[] = [];
  let node = 0;
  let stop = (): void => undefined;
  const begin = (): void => {
    const kubeConfig = configOf(node, tokens.maps);
    const list = () => kubeConfig.makeApiClient(BatchV1Api).listNamespacedJob({ namespace: 'maps' });
    const informer = makeInformer(kubeConfig, JOBS, list);
    let over = false;
    const note = (what: string) => (job: V1Job) => {
      const name = job.metadata?.name ?? '';
      log.push(`${what} ${name}`);
      if (what === 'delete') seen.delete(name);
      else seen.set(name, job.status?.conditions?.find((c) => c.status === 'True')?.type ?? 'open');
    };
    for (const what of ['add', 'update', 'delete'] as const) informer.on(what, note(what));
    const again = (error?: unknown): void => {
      log.push(String(error));
      if (over) return;
      over = true;
      void informer.stop();
      node = (node + 1) % 3;
      setTimeout(begin, 300);
    };
    informer.on('error', again);
    stop = () => {
      over = true;
      void informer.stop();
    };
    informer.start().catch(again);
  };
  begin();
  try {
    for (let k = 0; k < 3; k++)
      await api(1).createNamespacedJob({ namespace: 'maps', body: jobOf(`run-${k}`) });
    await until('all three are seen', () => seen.size === 3);
    loopback.crash(node, 1_500);
    loopback.state.outage(3 * SECOND);
    const other = (node + 1) % 3;
    await until('one more is taken', async () => {
      const status = await codeOf(
        api(other).createNamespacedJob({ namespace: 'maps', body: jobOf('later') }),
      );
      // 409 says that an earlier create, whose answer was lost, was executed.
      return status === 200 || status === 409;
    });
    await until('all four are seen complete', () =>
      ['run-0', 'run-1', 'run-2', 'later'].every((n) => seen.get(n) === 'Complete'),
    );
    await api(other).deleteNamespacedJob({ namespace: 'maps', name: 'run-1' });
    await until('one is seen to go', () => !seen.has('run-1') && seen.size === 3);
  } finally {
    stop();
  }
  assert.ok(log.length > 7, log.join());
});
