/** Objects on several nodes in simulated time: identity, reading, watching, status; through crashes, loss and outages. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Team } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import type { KubeAnswer, KubeRequest, Selector } from '@shaleyoke/kubernetes/api';
import { Kube } from '@shaleyoke/kubernetes/feature';
import { FEATURE } from '@shaleyoke/kubernetes/front';
import { nativeIdOf, uidOf } from '@shaleyoke/kubernetes/identity';
import { readObject, splitIntoChunks } from '@shaleyoke/kubernetes/records';
import { parseKube } from '@shaleyoke/kubernetes/settings';
import { newToken, tokenKey } from '@shaleyoke/kubernetes/tokens';

const WALL = Date.UTC(2026, 11, 1, 12) * 1000;
const ANY: Selector = { labels: {}, name: null };

const teams = (names: readonly string[]): Team[] =>
  names.map((name) => ({ name, guaranteedCores: 0, maxCores: 0, guaranteedGpus: 0, maxGpus: 0 }));
const SETTINGS = parseKube(
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
const tokenFor = (tenant: string, x: number): ReturnType<typeof newToken> => {
  const of = (n: number): Uint8Array => new Uint8Array(n).fill(x);
  return newToken(of(4), of(32), of(16), { tenant, at: 0, by: 'test', why: 'test' });
};
const TOKEN = tokenFor('maps', 1);
const OTHERS = tokenFor('others', 2);

interface Options {
  readonly seed: number;
  readonly next?: string;
  /** Random bytes of identities; drawn if it is missing. */
  readonly bytes?: () => Uint8Array;
}

const worldOf = ({ seed, next = '', bytes }: Options): ClusterSimulation => {
  const ids = new Random(seed * 31 + 7);
  const random = bytes ?? ((): Uint8Array => Uint8Array.from({ length: 16 }, () => ids.below(256)));
  const w = new ClusterSimulation(
    new Random(seed),
    3,
    '[[cluster.teams]]\nname = "t"\n[[cluster.teams]]\nname = "u"\n',
    1e9,
    4,
    next,
    () => [new Kube(random, SETTINGS)],
    WALL,
  );
  // Tokens are put as an operator's tool does it.
  for (const t of [TOKEN, OTHERS]) w.put(tokenKey(t.id), t.record);
  return w;
};
const WHO = { token: TOKEN.token, address: '10.1.2.3' };

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

/** Asks a node and waits for the answer; null where none came. */
const ask = (
  w: ClusterSimulation,
  node: number,
  r: KubeRequest,
  who = WHO,
  within = 20 * SECOND,
): KubeAnswer | null => {
  let answer: KubeAnswer | null = null;
  let open = true;
  w.askFeature(node, FEATURE, { who, ask: r }, (a) => {
    answer = a as KubeAnswer | null;
    open = false;
  });
  for (let t = 0; open && t < within; t += SECOND / 10) w.runFor(SECOND / 10);
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

const object = (a: KubeAnswer | null): unknown => {
  if (a?.kind !== 'object' && a?.kind !== 'deleted') assert.fail(JSON.stringify(a));
  return a.object;
};
const code = (a: KubeAnswer | null): number | string =>
  a?.kind === 'refusal' ? a.code : (a?.kind ?? 'none');

test('a Job is created, runs on the core, is complete, and another one takes its name', () => {
  const w = worldOf({ seed: 1 });
  w.runFor(5 * SECOND);
  const first = object(ask(w, 0, create('tiles', { labels: { app: 'x' } })));
  assert.equal((first as { spec: { completionMode: string } }).spec.completionMode, 'NonIndexed');
  assert.equal(code(ask(w, 1, create('tiles'))), 409);
  assert.equal(metaOf(object(ask(w, 2, get('tiles')))).uid, metaOf(first).uid);
  w.runFor(60 * SECOND);
  const done = object(ask(w, 1, get('tiles')));
  assert.deepEqual(typesOf(done), ['Complete']);
  assert.equal(statusOf(done)['succeeded'], 2);
  assert.equal(code(ask(w, 1, remove('tiles', { uid: 'another' }))), 409);
  assert.equal(code(ask(w, 1, remove('tiles', { version: 1 }))), 409);
  assert.equal(code(ask(w, 1, remove('tiles'))), 'deleted');
  assert.equal(code(ask(w, 0, get('tiles'))), 404);
  assert.equal(code(ask(w, 0, remove('tiles'))), 404);
  assert.deepEqual([...w.keys('k/o/'), ...w.keys('k/m/')], []);
  const second = object(ask(w, 2, create('tiles')));
  assert.notEqual(metaOf(second).uid, metaOf(first).uid);
  // The first one's final answer stays with its native id.
  assert.equal(w.keys('t/').filter((k) => k.includes('run-9')).length, 1);
  assert.deepEqual(w.broken, []);
});

test('what can never run, is unknown or is not served yet is refused, and leaves nothing behind', () => {
  const w = worldOf({ seed: 2 });
  w.runFor(5 * SECOND);
  const why = (a: KubeAnswer | null): string =>
    a?.kind === 'refusal' ? `${a.code} ${a.message}` : 'accepted';
  assert.match(
    why(ask(w, 0, create('a', { notes: { 'shaleyoke/awaits': 'nobody' } }))),
    /422 .*"nobody" is no Job/,
  );
  assert.match(
    why(ask(w, 0, create('a', { spec: { suspend: true } }))),
    /422 .*spec\.suspend: true is not served/,
  );
  assert.match(
    why(ask(w, 0, create('a', { spec: { backoffLimit: 3 } }))),
    /422 .*spec\.backoffLimit: is not in/,
  );
  assert.match(
    why(ask(w, 0, create('a', { notes: { 'shaleyoke/instance-types': 'none,such' } }))),
    /422 .*can never run: fits no/,
  );
  // A team never comes from the client.
  object(ask(w, 0, { ...create('b'), team: 'u' } as KubeRequest));
  assert.equal(decodeActiveJob(w.value(w.keys('j/')[0]!))?.spec.team, 't');
  w.users.asked.add(w.keys('j/')[0]!.slice(2));
  assert.equal(code(ask(w, 0, remove('b'))), 'deleted');
  w.runFor(60 * SECOND);
  assert.deepEqual([...w.keys('k/o/'), ...w.keys('k/m/'), ...w.keys('j/')], []);
  w.stateOutage(30 * SECOND);
  const a = ask(w, 0, get('a'));
  assert.ok(a?.kind === 'refusal' && a.code === 503 && a.retryAfterS === 1);
});

test('a Job that awaits another one starts after it, by the core’s own chain', () => {
  const w = worldOf({ seed: 3 });
  w.runFor(5 * SECOND);
  object(ask(w, 0, create('one')));
  object(ask(w, 1, create('two', { notes: { 'shaleyoke/awaits': 'one' } })));
  w.runFor(100 * SECOND);
  for (const name of ['one', 'two'])
    assert.deepEqual(typesOf(object(ask(w, 2, get(name)))), ['Complete'], name);
  // The world's own rule: too_early is among what is broken.
  assert.deepEqual(w.broken, []);
});

test('a deadline withdraws a Job and says so, and what is over goes when its time is up', () => {
  const w = worldOf({ seed: 4 });
  w.runFor(5 * SECOND);
  object(
    ask(
      w,
      0,
      create('slow', { spec: { activeDeadlineSeconds: 20 }, notes: { 'shaleyoke/estimate': '900' } }),
    ),
  );
  object(ask(w, 0, create('brief', { spec: { ttlSecondsAfterFinished: 30 } })));
  const id = readObject(w.value('k/o/job/maps/slow'))!.id;
  w.users.asked.add(id);
  w.runFor(45 * SECOND);
  // Its leader dies between what it says and what it does.
  w.crash(
    w.nodes.findIndex((n) => n.core?.leads() === true),
    3 * SECOND,
  );
  w.runFor(90 * SECOND);
  const slow = object(ask(w, 1, get('slow')));
  assert.deepEqual(typesOf(slow), ['Failed']);
  assert.equal((statusOf(slow)['conditions'] as { reason: string }[])[0]!.reason, 'DeadlineExceeded');
  assert.equal(code(ask(w, 1, get('brief'))), 404);
  assert.deepEqual(w.broken, []);
});

test('a manifest that is larger than a value is put in pieces before its object, and comes back whole', () => {
  const w = worldOf({ seed: 5, next: 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' });
  w.limits = { valueBytes: 2_048, ops: 5 };
  w.runFor(5 * SECOND);
  const text = 'ż"\\😀'.repeat(1_500);
  const o = object(ask(w, 0, create('large', { notes: { 'example.org/text': text } })));
  assert.equal(
    (metaOf(o) as unknown as { annotations: Record<string, string> }).annotations['example.org/text'],
    text,
  );
  const again = object(ask(w, 1, get('large')));
  assert.equal(
    (metaOf(again) as unknown as { annotations: Record<string, string> }).annotations['example.org/text'],
    text,
  );
  assert.ok(w.keys('k/m/').length > 6, `${w.keys('k/m/').length}`);
  assert.equal(w.refusals, 0);
  // A creation that was cut short leaves pieces: the leader sweeps them, and only them.
  w.put('k/m/lost/0', { v: 1, text: '{' });
  w.runFor(200 * SECOND);
  assert.equal(w.value('k/m/lost/0'), undefined);
  // An object that is put between the leader's look and its sweep: one of the two fails, whichever comes second.
  const o2 = { ...readObject(w.value('k/o/job/maps/large'))!, uid: 'late', pieces: 1 };
  w.put('k/m/late/guard', { v: 1, text: '' });
  w.put('k/m/late/0', { v: 1, text: '{"metadata":{}}' });
  const apply = w.state.apply.bind(w.state);
  let raced = false;
  w.state.apply = (op) => {
    if (!raced && op.kind === 'txn' && op.writes.some((x) => x.key === 'k/m/late/0')) {
      raced = true;
      w.remove('k/m/late/guard');
      w.put('k/o/job/maps/late', o2);
    }
    return apply(op);
  };
  w.runFor(200 * SECOND);
  w.state.apply = apply;
  assert.ok(raced);
  assert.notEqual(w.value('k/m/late/0'), undefined);
  for (const key of ['k/o/job/maps/late', 'k/m/late/0']) w.remove(key);
  assert.equal(code(ask(w, 2, remove('large'))), 'deleted');
  w.runFor(300 * SECOND);
  assert.deepEqual([...w.keys('k/o/'), ...w.keys('k/m/')], []);
});

test('the core is given the same, bit for bit, whether work comes natively or as a Job', () => {
  const w = worldOf({ seed: 9 });
  w.runFor(5 * SECOND);
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
  for (const [k, [name, notes, spec, native]] of kinds.entries()) {
    object(ask(w, k, create(name, { notes, spec })));
    const id = readObject(w.value(`k/o/job/maps/${name}`))!.id;
    const twin = specOf(`run-${k}`, { imageGb: 0, ...native });
    w.submit(twin);
    w.runFor(2 * SECOND);
    const [ours, theirs] = [id, twin.id].map((x) => decodeActiveJob(w.value(`j/${x}`))!.spec);
    assert.deepEqual({ ...ours, id: '' }, { ...theirs, id: '' }, name);
  }
});

test('an id that somebody has is drawn again', () => {
  const bytes = [new Uint8Array(16).fill(1), new Uint8Array(16).fill(1), new Uint8Array(16).fill(2)];
  const w = worldOf({ seed: 6, bytes: () => bytes.shift() ?? assert.fail('drawn too often') });
  w.runFor(5 * SECOND);
  const a = metaOf(object(ask(w, 0, create('a'))));
  const b = metaOf(object(ask(w, 0, create('b'))));
  assert.equal(a.uid, uidOf(new Uint8Array(16).fill(1)));
  assert.equal(b.uid, uidOf(new Uint8Array(16).fill(2)));
  assert.match(nativeIdOf(a.uid), /^run-9[0-9]{31}$/);
  assert.equal(w.keys('k/o/').length, 2);
});

test('a list in parts is of one moment, whatever changes in between', () => {
  const w = worldOf({ seed: 7 });
  w.runFor(5 * SECOND);
  for (let k = 0; k < 7; k++) object(ask(w, 0, create(`job-${k}`, { labels: { odd: String(k % 2) } })));
  const part = (a: KubeAnswer | null): { names: string[]; token: string | null; version: number } => {
    if (a?.kind !== 'list') assert.fail(JSON.stringify(a));
    return { names: a.items.map((o) => metaOf(o).name), token: a.token, version: a.version };
  };
  const one = part(ask(w, 0, list(3)));
  assert.equal(code(ask(w, 0, remove('job-5'))), 'deleted');
  object(ask(w, 1, create('job-4a')));
  const two = part(ask(w, 0, list(3, one.token)));
  const three = part(ask(w, 0, list(3, two.token)));
  assert.deepEqual(
    [...one.names, ...two.names, ...three.names],
    ['job-0', 'job-1', 'job-2', 'job-3', 'job-4', 'job-5', 'job-6'],
  );
  assert.equal(three.version, one.version);
  assert.equal(three.token, null);
  assert.equal(code(ask(w, 1, list(3, one.token))), 410);
  assert.equal(code(ask(w, 0, list(3, 'x'))), 400);
  assert.deepEqual(part(ask(w, 2, list(null, null, { labels: { odd: '1' }, name: null }))).names, [
    'job-1',
    'job-3',
  ]);
  assert.deepEqual(part(ask(w, 2, list(null, null, { labels: {}, name: 'job-6' }))).names, ['job-6']);
});

// ---- tenants ---------------------------------------------------------------------------------------------

test('a tenant sees and changes its own, and another’s is answered as what nobody has, in every verb', () => {
  const w = worldOf({ seed: 8 });
  w.runFor(5 * SECOND);
  object(ask(w, 0, create('tiles')));
  const verbs = (namespace: string): KubeRequest[] => [
    { ...create('tiles'), namespace } as KubeRequest,
    { ...get('tiles'), namespace } as KubeRequest,
    { ...remove('tiles'), namespace } as KubeRequest,
    { ...list(), namespaces: [namespace] } as KubeRequest,
    { verb: 'watch', namespaces: [namespace], selector: ANY, from: null, bookmarks: false },
  ];
  const other = { token: OTHERS.token, address: '192.0.2.1' };
  verbs('maps').forEach((r, i) => {
    const theirs = ask(w, i % 3, r, other);
    const nobodys = ask(w, i % 3, verbs('nowhere')[i]!, other);
    assert.equal(code(theirs), 403, r.verb);
    // Byte for byte, but for the name that was asked for.
    assert.equal(JSON.stringify(theirs).replaceAll('maps', 'nowhere'), JSON.stringify(nobodys));
  });
  const all = ask(w, 1, { ...list(), namespaces: [] } as KubeRequest, other);
  assert.ok(all?.kind === 'list' && all.items.length === 0);
  // The same name in the own namespace is another object.
  object(ask(w, 1, { ...create('tiles'), namespace: 'theirs' } as KubeRequest, other));
  const mine = ask(w, 1, { ...list(), namespaces: [] } as KubeRequest);
  assert.ok(mine?.kind === 'list' && mine.items.length === 1);
  const wrong = [
    { token: null, address: '10.1.2.3' },
    { token: 'x', address: '10.1.2.3' },
    { token: `${TOKEN.token}x`, address: '10.1.2.3' },
    { token: `${TOKEN.id}.${OTHERS.token.split('.')[1]}`, address: '10.1.2.3' },
    { token: TOKEN.token, address: '10.2.0.1' },
    { token: TOKEN.token, address: 'nonsense' },
  ];
  for (const who of wrong)
    for (const r of verbs('maps'))
      assert.equal(code(ask(w, 2, r, who as typeof WHO)), 401, JSON.stringify(who));
  assert.equal(code(ask(w, 2, get('tiles'), { ...WHO, address: '::ffff:10.1.9.9' })), 'object');
  // Revoked on record: on every node from then on.
  w.remove(tokenKey(TOKEN.id));
  for (const node of [0, 1, 2]) assert.equal(code(ask(w, node, get('tiles'))), 401);
});

// ---- informers through failures -----------------------------------------------------------------------------

/** What a client library does: lists, watches from there, and begins anew on another node when it must. */
class Informer {
  readonly known = new Map<string, { uid: string; version: number }>();
  version = 0;
  lists = 0;
  events = 0;
  readonly wrong: string[] = [];
  private life = 0;

  constructor(
    private readonly w: ClusterSimulation,
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
    this.w.askFeature(this.node, FEATURE, { who: WHO, ask: list() }, (answer) => {
      if (life !== this.life) return;
      const a = answer as KubeAnswer | null;
      if (a?.kind !== 'list') {
        this.next();
        return;
      }
      this.lists++;
      if (a.version < this.version) this.wrong.push(`a list of ${a.version} after ${this.version}`);
      this.version = a.version;
      this.known.clear();
      for (const o of a.items) {
        const m = metaOf(o);
        this.known.set(m.name, { uid: m.uid, version: Number(m.resourceVersion) });
      }
      this.watch();
    });
  }

  private watch(): void {
    const life = this.life;
    const r: KubeRequest = {
      verb: 'watch',
      namespaces: ['maps'],
      selector: ANY,
      from: this.version,
      bookmarks: true,
    };
    this.w.askFeature(this.node, FEATURE, { who: WHO, ask: r }, (answer) => {
      if (life !== this.life) return;
      const a = answer as KubeAnswer | null;
      if (a === null) {
        // The node is gone: the watch goes on elsewhere, from where it was.
        this.node = (this.node + 1) % 3;
        this.watch();
      } else if (a.kind === 'refusal' && a.code === 503) this.watch();
      else if (a.kind !== 'event') this.next();
      else this.take(a);
    });
  }

  private take(e: KubeAnswer & { kind: 'event' }): void {
    if (e.version < this.version) this.wrong.push(`${e.type} ${e.version} after ${this.version}`);
    this.version = Math.max(this.version, e.version);
    if (e.type === 'BOOKMARK') return;
    this.events++;
    const m = metaOf(e.object);
    const before = this.known.get(m.name);
    if (e.type === 'ADDED' && before !== undefined) this.wrong.push(`${m.name} added twice`);
    if (e.type !== 'ADDED' && before === undefined) this.wrong.push(`${m.name} ${e.type}, never added`);
    if (before !== undefined && before.uid !== m.uid)
      this.wrong.push(`${m.name} became another without a word`);
    if (before !== undefined && before.version >= e.version)
      this.wrong.push(`${m.name} ${e.version} told again`);
    if (e.type === 'DELETED') this.known.delete(m.name);
    else this.known.set(m.name, { uid: m.uid, version: e.version });
  }
}

test('informers on any node see each change once and in order, and end with what there is', () => {
  let events = 0;
  let created = 0;
  for (let seed = 1; seed <= 25; seed++) {
    const r = new Random(seed * 7_919);
    const w = worldOf({ seed, next: seed % 3 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '' });
    w.runFor(4 * SECOND);
    const informers = [0, 1, 2].map((n) => new Informer(w, n));
    /** By name: uids that a client was told of as created, and the last version that anyone saw. */
    const made = new Map<string, Set<string>>();
    const wrong: string[] = [];
    for (let step = 0; step < 25; step++) {
      w.loss = r.chance(0.3) ? 0.15 : 0.02;
      const name = `job-${r.below(4)}`;
      if (r.chance(0.6)) {
        // On two nodes at the same moment, at times.
        const nodes = r.chance(0.4) ? [0, 1] : [r.below(3)];
        let now = 0;
        for (const node of nodes)
          w.askFeature(node, FEATURE, { who: WHO, ask: create(name) }, (answer) => {
            const a = answer as KubeAnswer | null;
            if (a?.kind !== 'object') return;
            created++;
            if (++now > 1) wrong.push(`${name} was created twice at the same time`);
            const uids = made.get(name) ?? new Set<string>();
            made.set(name, uids);
            uids.add(metaOf(a.object).uid);
          });
      }
      if (r.chance(0.35)) {
        const o = readObject(w.value(`k/o/job/maps/${name}`));
        if (o !== null) w.users.asked.add(o.id);
        w.askFeature(r.below(3), FEATURE, { who: WHO, ask: remove(name) }, () => undefined);
      }
      if (r.chance(0.2)) w.crash(r.below(3), (2 + r.below(5)) * SECOND);
      if (r.chance(0.08)) w.stateOutage((2 + r.below(10)) * SECOND);
      w.runFor((1 + r.below(4)) * SECOND);
      // Nothing half made, at any moment: an object has its job and its manifest, a job its object or an end.
      for (const key of w.keys('k/o/')) {
        const o = readObject(w.value(key))!;
        const job = w.value(`j/${o.id}`) ?? w.value(`t/${o.id}`);
        if (job === undefined) wrong.push(`${key}: its job was never accepted`);
        for (let n = 0; n < o.pieces; n++)
          if (w.value(`k/m/${o.uid}/${n}`) === undefined) wrong.push(`${key}: piece ${n} is missing`);
      }
    }
    w.loss = 0;
    w.runFor(150 * SECOND);
    const end = ask(w, 0, list());
    if (end?.kind !== 'list') assert.fail(JSON.stringify(end));
    const there = new Map(
      end.items.map((o) => {
        const m = metaOf(o);
        return [m.name, { uid: m.uid, version: Number(m.resourceVersion) }];
      }),
    );
    for (const o of end.items) assert.deepEqual(typesOf(o).length, 1, `seed ${seed} ${JSON.stringify(o)}`);
    for (const i of informers) {
      assert.deepEqual(i.wrong.slice(0, 3), [], `seed ${seed}`);
      assert.deepEqual([...i.known].sort(), [...there].sort(), `seed ${seed}`);
      events += i.events;
    }
    // Every job of ours has ended, one way or the other, or its object still shows it.
    const shown = new Set(w.keys('k/o/').map((k) => readObject(w.value(k))!.id));
    for (const key of w.keys('j/')) assert.ok(shown.has(key.slice(2)), `seed ${seed} ${key}`);
    assert.deepEqual(wrong.slice(0, 3), [], `seed ${seed}`);
    assert.deepEqual([...new Set(w.broken)].slice(0, 3), [], `seed ${seed}`);
  }
  assert.ok(events > 500 && created > 100, `${events} events, ${created} created`);
});

test('a text in pieces is put together again, each within its room', () => {
  for (const text of ['', 'a', '😀'.repeat(50), '"\\\n'.repeat(90), 'x'.repeat(1_000)])
    for (const room of [60, 61, 64, 200]) {
      const pieces = splitIntoChunks(text, room);
      assert.equal(pieces.map((p) => p.text).join(''), text);
      for (const p of pieces) assert.ok(Buffer.byteLength(JSON.stringify(p)) <= room, `${room}`);
    }
});
