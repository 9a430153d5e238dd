/**
 * The front on a node: takes objects, shows them, and tells of their changes. Decides and remembers; its only way out is
 * the core's context, and the desk that native submissions go through as well.
 */
import type { InternalResponse } from '@shaleyoke/core/domain/client-api';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreWrite, VersionCondition } from '@shaleyoke/core/domain/key-value-store';
import type { FeatureEndpoint, NodeServices } from '@shaleyoke/core/feature-api';
import { Either } from 'effect';

import { allow, type Credentials, tenantOf } from './access.js';
import { type KubeAnswer, type KubeRequest, type Refusal, refuse } from './api.js';
import { Deletion } from './deletion.js';
import { Follow } from './follow.js';
import { nativeIdOf, uidOf } from './identity.js';
import { objectRoom } from './limits.js';
import { Lists } from './lists.js';
import { mapManifest, type MappedJob } from './mapping.js';
import { type Problem, textOf } from './problems.js';
import { guardKey, manifestKey, newStatus, objectKey, type ObjectRecord, piecesOf } from './records.js';
import { jobOf } from './render.js';
import type { Tenant } from './settings.js';
import { readText } from './text.js';
import type { KubeObject } from './view.js';
import { Watches } from './watches.js';

/** Objects in all: each node holds them. */
const MOST_OBJECTS = 10_000;
/** Ids that are drawn before it is given up. */
const DRAWS = 3;

export const FEATURE = 'kube';

/** What a client asks, and what it shows of itself. */
export interface KubeAsk {
  readonly who: Credentials;
  readonly ask: KubeRequest;
}

const invalid = (name: string, causes: readonly Problem[]): Refusal =>
  refuse(422, 'Invalid', `Job.batch "${name}" is invalid: ${causes.map(textOf).join('; ')}`, causes);
const unavailable = (problem: string): Refusal => refuse(503, 'ServiceUnavailable', problem);
const notFound = (name: string): Refusal => refuse(404, 'NotFound', `jobs.batch "${name}" not found`);

export class Front implements FeatureEndpoint {
  readonly follow: Follow;
  private readonly watches: Watches;
  private readonly lists: Lists;
  private readonly deletion: Deletion;

  /** `random`: 16 bytes that nobody can guess, for each call. */
  constructor(
    private readonly links: NodeServices,
    private readonly random: () => Uint8Array,
    private readonly tenants: ReadonlyMap<string, Tenant>,
  ) {
    this.follow = new Follow(links.context, {
      changed: (changes) => {
        this.watches.tell(changes);
      },
      lost: () => {
        this.watches.endAll();
      },
    });
    this.watches = new Watches(links.context, this.follow, (request, answer, last) => {
      this.answer(request, answer, last);
    });
    this.lists = new Lists(this.follow.view, () => links.context.now);
    this.deletion = new Deletion(links);
  }

  private answer(request: number, answer: KubeAnswer, last = true): void {
    this.links.context.emit({ kind: 'featureResponse', feature: FEATURE, request, answer, last });
  }

  handle(request: number, body: unknown): void {
    const { who, ask } = body as KubeAsk;
    if (ask.verb === 'unwatch') {
      this.watches.end(ask.watch);
      this.links.context.emit({
        kind: 'featureResponse',
        feature: FEATURE,
        request,
        answer: null,
        last: true,
      });
      return;
    }
    // Tokens are as new as objects: one that is revoked opens nothing on any node from then on.
    this.follow.sync((ok) => {
      if (!ok) {
        this.answer(request, unavailable('state service not answering'));
        return;
      }
      const tenant = tenantOf(who, this.follow.view.tokens, this.tenants);
      const r = 'kind' in tenant ? tenant : allow(ask, tenant);
      if ('kind' in r) this.answer(request, r);
      else this.serve(request, r);
    });
  }

  /** The view is no older than the request, and the client may ask for that. */
  private serve(request: number, r: KubeRequest): void {
    switch (r.verb) {
      case 'get':
        this.get(request, r.namespace, r.name);
        return;
      case 'list':
        this.answer(request, this.lists.answer(r));
        return;
      case 'watch':
        this.watches.begin(request, r);
        return;
      case 'create':
        this.create(request, r);
        return;
      case 'delete':
        this.remove(request, r);
        return;
      case 'unwatch':
        return;
    }
  }

  private get(request: number, namespace: string, name: string): void {
    const o = this.follow.view.get(objectKey(namespace, name));
    this.answer(request, o === null ? notFound(name) : { kind: 'object', created: false, object: jobOf(o) });
  }

  // ---- creation ----------------------------------------------------------------------------------------

  private create(request: number, r: KubeRequest & { verb: 'create' }): void {
    const parsed = readText(r.text);
    if ('problem' in parsed) {
      this.answer(request, refuse(400, 'BadRequest', `the body can't be read: ${parsed.problem}`));
      return;
    }
    const mapped = mapManifest(parsed.value);
    if (Either.isLeft(mapped)) {
      this.answer(request, invalid(nameIn(parsed.value), mapped.left));
      return;
    }
    const m = mapped.right;
    const wrong = notYet(m.kind, m.kind === 'Job' && m.suspend, m.manifest.metadata.namespace, r.namespace);
    if (wrong !== null || m.kind !== 'Job') {
      this.answer(request, invalid(m.manifest.metadata.name, wrong === null ? [] : [wrong]));
      return;
    }
    this.admit(request, r, m);
  }

  private admit(request: number, r: KubeRequest & { verb: 'create' }, m: MappedJob): void {
    const { view } = this.follow;
    const { name } = m.manifest.metadata;
    const key = objectKey(r.namespace, name);
    if (view.get(key) !== null || view.unreadable.has(key)) {
      this.answer(request, refuse(409, 'AlreadyExists', `jobs.batch "${name}" already exists`));
      return;
    }
    if (view.count >= MOST_OBJECTS) {
      this.answer(request, refuse(429, 'TooManyRequests', `there are ${MOST_OBJECTS} objects; delete some`));
      return;
    }
    const needs: string[] = [];
    const causes: Problem[] = [];
    for (const awaited of m.awaits) {
      const o = view.get(objectKey(r.namespace, awaited));
      if (o !== null && o.record.deleting === null) needs.push(o.record.id);
      else
        causes.push({
          path: ['metadata', 'annotations', 'shaleyoke/awaits'],
          reason: 'FieldValueInvalid',
          message: `"${awaited}" is no Job of this namespace; create it first`,
        });
    }
    if (causes.length > 0) this.answer(request, invalid(name, causes));
    else this.draw(request, r, m, needs, DRAWS);
  }

  /** Draws an identity and puts all of it; `draws`: how often another one may be tried. */
  private draw(
    request: number,
    r: KubeRequest & { verb: 'create' },
    m: MappedJob,
    needs: readonly string[],
    draws: number,
  ): void {
    const { settings, wallNow } = this.links.context;
    const uid = uidOf(this.random());
    const spec: JobSpec = { ...m.work, id: nativeIdOf(uid), team: r.team, dependsOn: needs };
    const pieces = piecesOf(JSON.stringify(m.manifest), objectRoom(settings.maxValueBytes));
    const record: ObjectRecord = {
      v: 1,
      uid,
      id: spec.id,
      at: wallNow,
      pieces: pieces.length,
      status: newStatus(),
      deleting: null,
    };
    const writes = pieces.map((value, n): StoreWrite => ({ kind: 'put', key: manifestKey(uid, n), value }));
    // The job's record, the object, and as many pieces as there is room for; the others come before, under a guard.
    const all = writes.length <= settings.maxTransactionOperations - 2;
    const room = settings.maxTransactionOperations - (all ? 2 : 3);
    const guard = guardKey(uid);
    const early: StoreWrite[] = all
      ? []
      : [{ kind: 'put', key: guard, value: { v: 1, text: '' } }, ...writes.slice(room)];
    this.putFirst(early, settings.maxTransactionOperations, [], (conditions) => {
      if (conditions === null) {
        this.answer(request, unavailable('state service not answering'));
        return;
      }
      const key = objectKey(r.namespace, m.manifest.metadata.name);
      const beside = {
        conditions: [{ key, version: 0 }, ...conditions],
        writes: [
          { kind: 'put' as const, key, value: record },
          ...(all ? [] : [{ kind: 'delete' as const, key: guard }]),
          ...writes.slice(0, room),
        ],
      };
      this.links.submitRequest(
        { kind: 'submit', id: spec.id, spec, problem: null, extraWrites: beside },
        (a) => {
          const taken = a.kind === 'view' && !a.created;
          // Somebody has that id: with a hundred random bits, a native user who was told it, if anybody.
          if (taken && draws > 1) this.draw(request, r, m, needs, draws - 1);
          else this.created(request, r.namespace, m, record, a);
        },
      );
    });
  }

  /** Pieces that have no room beside the object; their versions are conditions of it then. */
  private putFirst(
    writes: readonly StoreWrite[],
    ops: number,
    put: readonly VersionCondition[],
    then: (conditions: readonly VersionCondition[] | null) => void,
  ): void {
    if (writes.length === 0) {
      then(put);
      return;
    }
    const some = writes.slice(0, ops);
    const conditions = some.map((w) => ({ key: w.key, version: 0 }));
    this.links.context.requestStore({ kind: 'txn', conditions, writes: some }, 1, (r) => {
      if (r.kind !== 'ok') then(null);
      else {
        const now = some.map((w) => ({ key: w.key, version: r.revision }));
        this.putFirst(writes.slice(ops), ops, [...put, ...now], then);
      }
    });
  }

  private created(
    request: number,
    namespace: string,
    m: MappedJob,
    record: ObjectRecord,
    a: InternalResponse,
  ): void {
    const { name } = m.manifest.metadata;
    const cause = (message: string): Refusal =>
      invalid(name, [{ path: ['spec'], reason: 'FieldValueInvalid', message }]);
    switch (a.kind) {
      case 'view': {
        if (!a.created || a.revision === undefined) {
          this.answer(request, unavailable('no free id was found'));
          return;
        }
        const key = objectKey(namespace, name);
        const manifest = m.manifest as unknown as KubeObject['manifest'];
        const object: KubeObject = { key, namespace, name, record, manifest, version: a.revision };
        this.answer(request, { kind: 'object', created: true, object: jobOf(object) });
        return;
      }
      case 'taken':
        this.answer(
          request,
          a.keys.includes(objectKey(namespace, name))
            ? refuse(409, 'AlreadyExists', `jobs.batch "${name}" already exists`)
            : unavailable('the manifest was swept away meanwhile'),
        );
        return;
      case 'impossible':
      case 'malformed':
        this.answer(request, cause(`can never run: ${a.problem}`));
        return;
      case 'unavailable':
        this.answer(request, unavailable(a.problem));
        return;
      default:
        this.answer(request, unavailable('not decided'));
    }
  }

  // ---- deletion ----------------------------------------------------------------------------------------

  private remove(request: number, r: KubeRequest & { verb: 'delete' }): void {
    const o = this.follow.view.get(objectKey(r.namespace, r.name));
    if (o === null) {
      this.answer(request, notFound(r.name));
      return;
    }
    if ((r.uid !== null && r.uid !== o.record.uid) || (r.version !== null && r.version !== o.version)) {
      this.answer(request, refuse(409, 'Conflict', `jobs.batch "${r.name}": preconditions are not met`));
      return;
    }
    this.deletion.begin(o, (marked) => {
      if (marked === 'changed')
        this.follow.sync((ok) => {
          if (ok) this.remove(request, r);
          else this.answer(request, unavailable('state service not answering'));
        });
      else if (marked === 'failed') this.answer(request, unavailable('state service not answering'));
      else {
        // From here on it is sure; a node that dies now leaves the rest to the leader.
        this.deletion.finish(marked, () => {
          this.answer(request, { kind: 'deleted', object: jobOf(marked) });
        });
      }
    });
  }
}

const nameIn = (manifest: unknown): string => {
  const m = manifest as { metadata?: { name?: unknown } } | null | undefined;
  return typeof m?.metadata?.name === 'string' ? m.metadata.name : '';
};

/** What is understood and not served yet, or contradicts the request. */
const notYet = (
  kind: string,
  suspended: boolean,
  named: string | undefined,
  namespace: string,
): Problem | null => {
  if (kind !== 'Job')
    return { path: ['kind'], reason: 'FieldValueNotSupported', message: `${kind} is not served yet` };
  if (suspended)
    return { path: ['spec', 'suspend'], reason: 'FieldValueNotSupported', message: 'true is not served yet' };
  if (named !== undefined && named !== namespace)
    return {
      path: ['metadata', 'namespace'],
      reason: 'FieldValueInvalid',
      message: `must be ${namespace}, the namespace of the request`,
    };
  return null;
};
