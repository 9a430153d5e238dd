/**
 * Objects on several nodes in simulated time: identity, reads, watches and status, with crashes, lost messages and
 * outages.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Team } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';
import type { KubeAnswer, KubeRequest, Selector } from '@shaleyoke/kubernetes/api';
import { KUBE_FEATURE } from '@shaleyoke/kubernetes/endpoint';
import { KubernetesFeature } from '@shaleyoke/kubernetes/feature';
import { nativeIdOf, uidOf } from '@shaleyoke/kubernetes/identity';
import { readObject, splitIntoChunks } from '@shaleyoke/kubernetes/records';
import { parseKubeSettings } from '@shaleyoke/kubernetes/settings';
import { newToken, tokenKey } from '@shaleyoke/kubernetes/tokens';

const WALL = Date.UTC(2026, 11, 1, 12) * 1000;
const ANY: Selector = { labels: {}, name: null };

const teams = (names: readonly string[]): Team[] =>
  names.map((name) => ({ name, guaranteedCores: 0, maxCores: 0, guaranteedGpus: 0, maxGpus: 0 }));
const SETTINGS = parseKubeSettings(
  `version: 1
listen: 127.0.0.1:6443
status_changes_per_s: 5
tenants:
  maps: { namespaces: { maps: t }, addresses: [10.1.0.0/16] }
  others: { namespaces: { theirs: u } }
`,
  teams(['t', 'u']),
  'kube.yaml',
);
const tokenFor = (tenant: string, fillByte: number): ReturnType<typeof newToken> => {
  const bytesOf = (n: number): Uint8Array => new Uint8Array(n).fill(fillByte);
  return newToken(bytesOf(4), bytesOf(32), bytesOf(16), { tenant, at: 0, by: 'test', why: 'test' });
};
const TOKEN = tokenFor('maps', 1);
const OTHERS = tokenFor('others', 2);

interface Options {
  readonly seed: number;
  readonly next?: string;
  /** Random bytes of identities; seeded random bytes if missing. */
  readonly bytes?: () => Uint8Array;
}

const simulationOf = ({ seed, next = '', bytes }: Options): ClusterSimulation => {
  const ids = new Random(seed * 31 + 7);
  const random = bytes ?? ((): Uint8Array => Uint8Array.from({ length: 16 }, () => ids.below(256)));
  const simulation = new ClusterSimulation(
    new Random(seed),
    3,
    '[[cluster.teams]]\nname = "t"\n[[cluster.teams]]\nname = "u"\n',
    1e9,
    4,
    next,
    () => [new KubernetesFeature(random, SETTINGS)],
    WALL,
  );
  // Stored as by the operator's `kube token create`.
  for (const token of [TOKEN, OTHERS]) simulation.put(tokenKey(token.id), token.record);
  return simulation;
};
const CREDENTIALS = { token: TOKEN.token, address: '10.1.2.3' };

const manifest = (name: string, more: { spec?: object; notes?: object; labels?: object } = {}): unknown => ({
  apiVersion: 'batch/v1',
  kind: 'Job',
  metadata: { name, labels: more.labels ?? {}, annotations: { 'shaleyoke/estimate': '5', ...more.notes } },
  spec: {
    completions: 2,
    parallelism: 2,
    ...more.spec,
    template: {
      spec: {
        restartPolicy: 'Never',
        containers: [{ name: 'm', image: 'img', resources: { requests: { cpu: 1, memory: '1G' } } }],
      },
    },
  },
});

const create = (name: string, more: Parameters<typeof manifest>[1] = {}): KubeRequest => ({
  verb: 'create',
  namespace: 'maps',
  team: 't',
  text: JSON.stringify(manifest(name, more)),
});
const get = (name: string): KubeRequest => ({ verb: 'get', namespace: 'maps', name });
const remove = (name: string, more: { uid?: string; version?: number } = {}): KubeRequest => ({
  verb: 'delete',
  namespace: 'maps',
  name,
  uid: more.uid ?? null,
  version: more.version ?? null,
});
const list = (limit: number | null = null, token: string | null = null, selector = ANY): KubeRequest => ({
  verb: 'list',
  namespaces: ['maps'],
  selector,
  limit,
  token,
});

/** Sends a request to a node and waits for the answer; null if there is none in time. */
const ask = (
  simulation: ClusterSimulation,
  node: number,
  request: KubeRequest,
  credentials = CREDENTIALS,
  within = 20 * SECOND,
): KubeAnswer | null => {
  let answer: KubeAnswer | null = null;
  let open = true;
  simulation.askFeature(node, KUBE_FEATURE, { credentials, request }, (received) => {
    answer = received as KubeAnswer | null;
    open = false;
  });
  for (let t = 0; open && t < within; t += SECOND / 10) simulation.runFor(SECOND / 10);
  return answer;
};

interface Meta {
  readonly name: string;
  readonly uid: string;
  readonly resourceVersion: string;
  readonly deletionTimestamp?: string;
}
const metaOf = (o: unknown): Meta => (o as { metadata: Meta }).metadata;
const statusOf = (o: unknown): Record<string, unknown> => (o as { status: Record<string, unknown> }).status;
const typesOf = (o: unknown): string[] =>
  (statusOf(o)['conditions'] as { type: string }[]).map((c) => c.type);

const object = (answer: KubeAnswer | null): unknown => {
  if (answer?.kind !== 'object' && answer?.kind !== 'deleted') assert.fail(JSON.stringify(answer));
  return answer.object;
};
const code = (answer: KubeAnswer | null): number | string =>
  answer?.kind === 'refusal' ? answer.code : (answer?.kind ?? 'none');

test('a Job is created, runs to completion and is deleted, and its name can be used again', () => {
  const simulation = simulationOf({ seed: 1 });
  simulation.runFor(5 * SECOND);
  const first = object(ask(simulation, 0, create('tiles', { labels: { app: 'x' } })));
  assert.equal((first as { spec: { completionMode: string } }).spec.completionMode, 'NonIndexed');
  assert.equal(code(ask(simulation, 1, create('tiles'))), 409);
  assert.equal(metaOf(object(ask(simulation, 2, get('tiles')))).uid, metaOf(first).uid);
  simulation.runFor(60 * SECOND);
  const done = object(ask(simulation, 1, get('tiles')));
  assert.deepEqual(typesOf(done), ['Complete']);
  assert.equal(statusOf(done)['succeeded'], 2);
  assert.equal(code(ask(simulation, 1, remove('tiles', { uid: 'another' }))), 409);
  assert.equal(code(ask(simulation, 1, remove('tiles', { version: 1 }))), 409);
  assert.equal(code(ask(simulation, 1, remove('tiles'))), 'deleted');
  assert.equal(code(ask(simulation, 0, get('tiles'))), 404);
  assert.equal(code(ask(simulation, 0, remove('tiles'))), 404);
  assert.deepEqual([...simulation.keys('k/o/'), ...simulation.keys('k/m/')], []);
  const second = object(ask(simulation, 2, create('tiles')));
  assert.notEqual(metaOf(second).uid, metaOf(first).uid);
  // The final record of the first job remains under its job id.
  assert.equal(simulation.keys('t/').filter((k) => k.includes('run-9')).length, 1);
  assert.deepEqual(simulation.violations, []);
});

test('a manifest that can never run, is invalid or is not served yet is refused and leaves no records', () => {
  const simulation = simulationOf({ seed: 2 });
  simulation.runFor(5 * SECOND);
  const why = (answer: KubeAnswer | null): string =>
    answer?.kind === 'refusal' ? `${answer.code} ${answer.message}` : 'accepted';
  assert.match(
    why(ask(simulation, 0, create('a', { notes: { 'shaleyoke/awaits': 'nobody' } }))),
    /422 .*"nobody" is no Job/,
  );
  assert.match(
    why(ask(simulation, 0, create('a', { spec: { suspend: true } }))),
    /422 .*spec\.suspend: true is not served/,
  );
  assert.match(
    why(ask(simulation, 0, create('a', { spec: { backoffLimit: 3 } }))),
    /422 .*spec\.backoffLimit: is not in/,
  );
  assert.match(
    why(ask(simulation, 0, create('a', { notes: { 'shaleyoke/instance-types': 'none,such' } }))),
    /422 .*can never run: fits no/,
  );
  // The team is never taken from the client.
  object(ask(simulation, 0, { ...create('b'), team: 'u' } as KubeRequest));
  assert.equal(decodeActiveJob(simulation.value(simulation.keys('j/')[0]!))?.spec.team, 't');
  simulation.users.cancelRequested.add(simulation.keys('j/')[0]!.slice(2));
  assert.equal(code(ask(simulation, 0, remove('b'))), 'deleted');
  simulation.runFor(60 * SECOND);
  assert.deepEqual([...simulation.keys('k/o/'), ...simulation.keys('k/m/'), ...simulation.keys('j/')], []);
  simulation.stateOutage(30 * SECOND);
  const unavailable = ask(simulation, 0, get('a'));
  assert.ok(unavailable?.kind === 'refusal' && unavailable.code === 503 && unavailable.retryAfterS === 1);
});

test('a Job with a dependency starts after it, by the core’s job dependencies', () => {
  const simulation = simulationOf({ seed: 3 });
  simulation.runFor(5 * SECOND);
  object(ask(simulation, 0, create('one')));
  object(ask(simulation, 1, create('two', { notes: { 'shaleyoke/awaits': 'one' } })));
  simulation.runFor(100 * SECOND);
  for (const name of ['one', 'two'])
    assert.deepEqual(typesOf(object(ask(simulation, 2, get(name)))), ['Complete'], name);
  // The simulation reports a job that starts before its dependency in `broken`, as too_early.
  assert.deepEqual(simulation.violations, []);
});

test('a Job fails with DeadlineExceeded at its deadline, and a finished Job is deleted after its TTL', () => {
  const simulation = simulationOf({ seed: 4 });
  simulation.runFor(5 * SECOND);
  object(
    ask(
      simulation,
      0,
      create('slow', { spec: { activeDeadlineSeconds: 20 }, notes: { 'shaleyoke/estimate': '900' } }),
    ),
  );
  object(ask(simulation, 0, create('brief', { spec: { ttlSecondsAfterFinished: 30 } })));
  const id = readObject(simulation.value('k/o/job/maps/slow'))!.id;
  simulation.users.cancelRequested.add(id);
  simulation.runFor(45 * SECOND);
  // The leader crashes between storing the reason and cancelling the job.
  simulation.crash(
    simulation.nodes.findIndex((n) => n.core?.canActAsLeader() === true),
    3 * SECOND,
  );
  simulation.runFor(90 * SECOND);
  const slow = object(ask(simulation, 1, get('slow')));
  assert.deepEqual(typesOf(slow), ['Failed']);
  assert.equal((statusOf(slow)['conditions'] as { reason: string }[])[0]!.reason, 'DeadlineExceeded');
  assert.equal(code(ask(simulation, 1, get('brief'))), 404);
  assert.deepEqual(simulation.violations, []);
});

test('a manifest larger than a stored value is written in chunks before its object and read back whole', () => {
  const simulation = simulationOf({ seed: 5, next: 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' });
  simulation.limits = { valueBytes: 2_048, ops: 5 };
  simulation.runFor(5 * SECOND);
  const text = 'ż"\\😀'.repeat(1_500);
  const created = object(ask(simulation, 0, create('large', { notes: { 'example.org/text': text } })));
  assert.equal(
    (metaOf(created) as unknown as { annotations: Record<string, string> }).annotations['example.org/text'],
    text,
  );
  const again = object(ask(simulation, 1, get('large')));
  assert.equal(
    (metaOf(again) as unknown as { annotations: Record<string, string> }).annotations['example.org/text'],
    text,
  );
  assert.ok(simulation.keys('k/m/').length > 6, `${simulation.keys('k/m/').length}`);
  assert.equal(simulation.oversizedTransactions, 0);
  // An interrupted creation leaves chunks: the leader deletes them, and only them.
  simulation.put('k/m/lost/0', { v: 1, text: '{' });
  simulation.runFor(200 * SECOND);
  assert.equal(simulation.value('k/m/lost/0'), undefined);
  // An object created between the leader's read and its garbage collection: the later of the two has to fail.
  const o2 = { ...readObject(simulation.value('k/o/job/maps/large'))!, uid: 'late', pieces: 1 };
  simulation.put('k/m/late/guard', { v: 1, text: '' });
  simulation.put('k/m/late/0', { v: 1, text: '{"metadata":{}}' });
  const apply = simulation.state.apply.bind(simulation.state);
  let raced = false;
  simulation.state.apply = (op) => {
    if (!raced && op.kind === 'txn' && op.writes.some((x) => x.key === 'k/m/late/0')) {
      raced = true;
      simulation.remove('k/m/late/guard');
      simulation.put('k/o/job/maps/late', o2);
    }
    return apply(op);
  };
  simulation.runFor(200 * SECOND);
  simulation.state.apply = apply;
  assert.ok(raced);
  assert.notEqual(simulation.value('k/m/late/0'), undefined);
  for (const key of ['k/o/job/maps/late', 'k/m/late/0']) simulation.remove(key);
  assert.equal(code(ask(simulation, 2, remove('large'))), 'deleted');
  simulation.runFor(300 * SECOND);
  assert.deepEqual([...simulation.keys('k/o/'), ...simulation.keys('k/m/')], []);
});

test('the core gets an identical job specification from a native submission and from a Job', () => {
  const simulation = simulationOf({ seed: 9 });
  simulation.runFor(5 * SECOND);
  const kinds: [string, object, object, Partial<JobSpec>][] = [
    ['array', {}, {}, { memoryGb: 1, cores: 1, estimatedRunUs: 5 * SECOND, class: 'img' }],
    [
      'gang',
      { 'shaleyoke/gang': 'true', 'shaleyoke/same-zone': 'true' },
      { completions: 3, parallelism: 3 },
      {
        shape: 'gang',
        tasks: 3,
        sameZone: true,
        estimatedRunUs: 5 * SECOND,
        class: 'img',
      },
    ],
    [
      'saving',
      {
        'shaleyoke/checkpoint-interval': '10',
        'shaleyoke/save-time': '0.5',
        'shaleyoke/due': '900',
        'shaleyoke/class': 'c',
      },
      {},
      {
        checkpointIntervalUs: 10 * SECOND,
        checkpointDurationUs: SECOND / 2,
        deadlineUs: 900 * SECOND,
        estimatedRunUs: 5 * SECOND,
      },
    ],
  ];
  for (const [node, [name, notes, spec, native]] of kinds.entries()) {
    object(ask(simulation, node, create(name, { notes, spec })));
    const id = readObject(simulation.value(`k/o/job/maps/${name}`))!.id;
    const twin = makeJobSpec(`run-${node}`, { imageGb: 0, ...native });
    simulation.submit(twin);
    simulation.runFor(2 * SECOND);
    const [ours, theirs] = [id, twin.id].map((x) => decodeActiveJob(simulation.value(`j/${x}`))!.spec);
    assert.deepEqual({ ...ours, id: '' }, { ...theirs, id: '' }, name);
  }
});

test('a creation retries with a new id if the first one is taken', () => {
  const bytes = [new Uint8Array(16).fill(1), new Uint8Array(16).fill(1), new Uint8Array(16).fill(2)];
  const simulation = simulationOf({ seed: 6, bytes: () => bytes.shift() ?? assert.fail('drawn too often') });
  simulation.runFor(5 * SECOND);
  const first = metaOf(object(ask(simulation, 0, create('a'))));
  const second = metaOf(object(ask(simulation, 0, create('b'))));
  assert.equal(first.uid, uidOf(new Uint8Array(16).fill(1)));
  assert.equal(second.uid, uidOf(new Uint8Array(16).fill(2)));
  assert.match(nativeIdOf(first.uid), /^run-9[0-9]{31}$/);
  assert.equal(simulation.keys('k/o/').length, 2);
});

test('all pages of a list come from one snapshot, whatever changes in between', () => {
  const simulation = simulationOf({ seed: 7 });
  simulation.runFor(5 * SECOND);
  for (let k = 0; k < 7; k++)
    object(ask(simulation, 0, create(`job-${k}`, { labels: { odd: String(k % 2) } })));
  const part = (page: KubeAnswer | null): { names: string[]; token: string | null; version: number } => {
    if (page?.kind !== 'list') assert.fail(JSON.stringify(page));
    return { names: page.items.map((o) => metaOf(o).name), token: page.token, version: page.version };
  };
  const one = part(ask(simulation, 0, list(3)));
  assert.equal(code(ask(simulation, 0, remove('job-5'))), 'deleted');
  object(ask(simulation, 1, create('job-4a')));
  const two = part(ask(simulation, 0, list(3, one.token)));
  const three = part(ask(simulation, 0, list(3, two.token)));
  assert.deepEqual(
    [...one.names, ...two.names, ...three.names],
    ['job-0', 'job-1', 'job-2', 'job-3', 'job-4', 'job-5', 'job-6'],
  );
  assert.equal(three.version, one.version);
  assert.equal(three.token, null);
  assert.equal(code(ask(simulation, 1, list(3, one.token))), 410);
  assert.equal(code(ask(simulation, 0, list(3, 'x'))), 400);
  assert.deepEqual(part(ask(simulation, 2, list(null, null, { labels: { odd: '1' }, name: null }))).names, [
    'job-1',
    'job-3',
  ]);
  assert.deepEqual(part(ask(simulation, 2, list(null, null, { labels: {}, name: 'job-6' }))).names, [
    'job-6',
  ]);
});

// ---- tenants ---------------------------------------------------------------------------------------------

test('a tenant uses only its own objects, and those of another one are refused like nonexistent ones, for every verb', () => {
  const simulation = simulationOf({ seed: 8 });
  simulation.runFor(5 * SECOND);
  object(ask(simulation, 0, create('tiles')));
  const verbs = (namespace: string): KubeRequest[] => [
    { ...create('tiles'), namespace } as KubeRequest,
    { ...get('tiles'), namespace } as KubeRequest,
    { ...remove('tiles'), namespace } as KubeRequest,
    { ...list(), namespaces: [namespace] } as KubeRequest,
    { verb: 'watch', namespaces: [namespace], selector: ANY, from: null, bookmarks: false },
  ];
  const other = { token: OTHERS.token, address: '192.0.2.1' };
  verbs('maps').forEach((request, i) => {
    const theirs = ask(simulation, i % 3, request, other);
    const nobodys = ask(simulation, i % 3, verbs('nowhere')[i]!, other);
    assert.equal(code(theirs), 403, request.verb);
    // Equal bytes, apart from the requested namespace.
    assert.equal(JSON.stringify(theirs).replaceAll('maps', 'nowhere'), JSON.stringify(nobodys));
  });
  const all = ask(simulation, 1, { ...list(), namespaces: [] } as KubeRequest, other);
  assert.ok(all?.kind === 'list' && all.items.length === 0);
  // The same name in its own namespace is a different object.
  object(ask(simulation, 1, { ...create('tiles'), namespace: 'theirs' } as KubeRequest, other));
  const mine = ask(simulation, 1, { ...list(), namespaces: [] } as KubeRequest);
  assert.ok(mine?.kind === 'list' && mine.items.length === 1);
  const wrong = [
    { token: null, address: '10.1.2.3' },
    { token: 'x', address: '10.1.2.3' },
    { token: `${TOKEN.token}x`, address: '10.1.2.3' },
    { token: `${TOKEN.id}.${OTHERS.token.split('.')[1]}`, address: '10.1.2.3' },
    { token: TOKEN.token, address: '10.2.0.1' },
    { token: TOKEN.token, address: 'nonsense' },
  ];
  for (const credentials of wrong)
    for (const request of verbs('maps'))
      assert.equal(
        code(ask(simulation, 2, request, credentials as typeof CREDENTIALS)),
        401,
        JSON.stringify(credentials),
      );
  assert.equal(
    code(ask(simulation, 2, get('tiles'), { ...CREDENTIALS, address: '::ffff:10.1.9.9' })),
    'object',
  );
  // A revoked token is refused on every node.
  simulation.remove(tokenKey(TOKEN.id));
  for (const node of [0, 1, 2]) assert.equal(code(ask(simulation, node, get('tiles'))), 401);
});

// ---- informers through failures -----------------------------------------------------------------------------

/** Acts like a client library: lists, watches from that version, and lists again on another node when it has to. */
class Informer {
  readonly known = new Map<string, { uid: string; version: number }>();
  version = 0;
  lists = 0;
  events = 0;
  readonly wrong: string[] = [];
  private life = 0;

  constructor(
    private readonly simulation: ClusterSimulation,
    private node: number,
  ) {
    this.list();
  }

  private next(): void {
    this.life++;
    this.node = (this.node + 1) % 3;
    this.list();
  }

  private list(): void {
    const life = ++this.life;
    this.simulation.askFeature(
      this.node,
      KUBE_FEATURE,
      { credentials: CREDENTIALS, request: list() },
      (answer) => {
        if (life !== this.life) return;
        const listed = answer as KubeAnswer | null;
        if (listed?.kind !== 'list') {
          this.next();
          return;
        }
        this.lists++;
        if (listed.version < this.version)
          this.wrong.push(`a list of ${listed.version} after ${this.version}`);
        this.version = listed.version;
        this.known.clear();
        for (const item of listed.items) {
          const meta = metaOf(item);
          this.known.set(meta.name, { uid: meta.uid, version: Number(meta.resourceVersion) });
        }
        this.watch();
      },
    );
  }

  private watch(): void {
    const life = this.life;
    const request: KubeRequest = {
      verb: 'watch',
      namespaces: ['maps'],
      selector: ANY,
      from: this.version,
      bookmarks: true,
    };
    this.simulation.askFeature(this.node, KUBE_FEATURE, { credentials: CREDENTIALS, request }, (answer) => {
      if (life !== this.life) return;
      const received = answer as KubeAnswer | null;
      if (received === null) {
        // The node is down: the watch resumes on another node from the last version.
        this.node = (this.node + 1) % 3;
        this.watch();
      } else if (received.kind === 'refusal' && received.code === 503) this.watch();
      else if (received.kind !== 'event') this.next();
      else this.take(received);
    });
  }

  private take(event: KubeAnswer & { kind: 'event' }): void {
    if (event.version < this.version) this.wrong.push(`${event.type} ${event.version} after ${this.version}`);
    this.version = Math.max(this.version, event.version);
    if (event.type === 'BOOKMARK') return;
    this.events++;
    const meta = metaOf(event.object);
    const before = this.known.get(meta.name);
    if (event.type === 'ADDED' && before !== undefined) this.wrong.push(`${meta.name} added twice`);
    if (event.type !== 'ADDED' && before === undefined)
      this.wrong.push(`${meta.name} ${event.type}, never added`);
    if (before !== undefined && before.uid !== meta.uid)
      this.wrong.push(`${meta.name} became another without a word`);
    if (before !== undefined && before.version >= event.version)
      this.wrong.push(`${meta.name} ${event.version} told again`);
    if (event.type === 'DELETED') this.known.delete(meta.name);
    else this.known.set(meta.name, { uid: meta.uid, version: event.version });
  }
}

test('informers on any node get each change once and in order, and end with the stored objects', () => {
  let events = 0;
  let created = 0;
  for (let seed = 1; seed <= 25; seed++) {
    const random = new Random(seed * 7_919);
    const simulation = simulationOf({
      seed,
      next: seed % 3 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '',
    });
    simulation.runFor(4 * SECOND);
    const informers = [0, 1, 2].map((n) => new Informer(simulation, n));
    /** Uids that a client got as created, by name. */
    const made = new Map<string, Set<string>>();
    const wrong: string[] = [];
    for (let step = 0; step < 25; step++) {
      simulation.messageLoss = random.chance(0.3) ? 0.15 : 0.02;
      const name = `job-${random.below(4)}`;
      if (random.chance(0.6)) {
        // Sometimes on two nodes at the same time.
        const nodes = random.chance(0.4) ? [0, 1] : [random.below(3)];
        let now = 0;
        for (const node of nodes)
          simulation.askFeature(
            node,
            KUBE_FEATURE,
            { credentials: CREDENTIALS, request: create(name) },
            (answer) => {
              const received = answer as KubeAnswer | null;
              if (received?.kind !== 'object') return;
              created++;
              if (++now > 1) wrong.push(`${name} was created twice at the same time`);
              const uids = made.get(name) ?? new Set<string>();
              made.set(name, uids);
              uids.add(metaOf(received.object).uid);
            },
          );
      }
      if (random.chance(0.35)) {
        const record = readObject(simulation.value(`k/o/job/maps/${name}`));
        if (record !== null) simulation.users.cancelRequested.add(record.id);
        simulation.askFeature(
          random.below(3),
          KUBE_FEATURE,
          { credentials: CREDENTIALS, request: remove(name) },
          () => undefined,
        );
      }
      if (random.chance(0.2)) simulation.crash(random.below(3), (2 + random.below(5)) * SECOND);
      if (random.chance(0.08)) simulation.stateOutage((2 + random.below(10)) * SECOND);
      simulation.runFor((1 + random.below(4)) * SECOND);
      // No partial creation at any time: every object has its job and its whole manifest.
      for (const key of simulation.keys('k/o/')) {
        const record = readObject(simulation.value(key))!;
        const job = simulation.value(`j/${record.id}`) ?? simulation.value(`t/${record.id}`);
        if (job === undefined) wrong.push(`${key}: its job was never accepted`);
        for (let n = 0; n < record.pieces; n++)
          if (simulation.value(`k/m/${record.uid}/${n}`) === undefined)
            wrong.push(`${key}: piece ${n} is missing`);
      }
    }
    simulation.messageLoss = 0;
    simulation.runFor(150 * SECOND);
    const end = ask(simulation, 0, list());
    if (end?.kind !== 'list') assert.fail(JSON.stringify(end));
    const there = new Map(
      end.items.map((o) => {
        const meta = metaOf(o);
        return [meta.name, { uid: meta.uid, version: Number(meta.resourceVersion) }];
      }),
    );
    for (const item of end.items)
      assert.deepEqual(typesOf(item).length, 1, `seed ${seed} ${JSON.stringify(item)}`);
    for (const i of informers) {
      assert.deepEqual(i.wrong.slice(0, 3), [], `seed ${seed}`);
      assert.deepEqual([...i.known].sort(), [...there].sort(), `seed ${seed}`);
      events += i.events;
    }
    // Every open job still has its object.
    const shown = new Set(simulation.keys('k/o/').map((k) => readObject(simulation.value(k))!.id));
    for (const key of simulation.keys('j/')) assert.ok(shown.has(key.slice(2)), `seed ${seed} ${key}`);
    assert.deepEqual(wrong.slice(0, 3), [], `seed ${seed}`);
    assert.deepEqual([...new Set(simulation.violations)].slice(0, 3), [], `seed ${seed}`);
  }
  assert.ok(events > 500 && created > 100, `${events} events, ${created} created`);
});

test('chunks of a text join to the same text, and each is within the size limit', () => {
  for (const text of ['', 'a', '😀'.repeat(50), '"\\\n'.repeat(90), 'x'.repeat(1_000)])
    for (const room of [60, 61, 64, 200]) {
      const pieces = splitIntoChunks(text, room);
      assert.equal(pieces.map((p) => p.text).join(''), text);
      for (const chunk of pieces) assert.ok(Buffer.byteLength(JSON.stringify(chunk)) <= room, `${room}`);
    }
});
