/**
 * The API endpoint of a node: creates, reads, lists, watches and deletes objects. It does no I/O of its own: everything
 * goes through the node's context and the request path that native submissions use as well.
 */
import type { InternalResponse } from '@shaleyoke/core/domain/client-api';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreWrite, VersionCondition } from '@shaleyoke/core/domain/key-value-store';
import type { FeatureEndpoint, NodeServices } from '@shaleyoke/core/feature-api';
import { Either } from 'effect';

import { authenticate, authorize, type Credentials } from './access.js';
import { type KubeAnswer, type KubeRequest, type Refusal, refuse } from './api.js';
import { CacheSync } from './cache-sync.js';
import { Deletion } from './deletion.js';
import { nativeIdOf, uidOf } from './identity.js';
import { maxChunkBytes } from './limits.js';
import { Lists } from './lists.js';
import { mapManifest, type MappedJob } from './mapping.js';
import type { KubeObject } from './object-cache.js';
import { formatProblem, type Problem } from './problems.js';
import {
  guardKey,
  manifestKey,
  newStatus,
  objectKey,
  type ObjectRecord,
  splitIntoChunks,
} from './records.js';
import { jobOf } from './render.js';
import type { Tenant } from './settings.js';
import { parseText } from './text.js';
import { Watches } from './watches.js';

/** Maximum number of objects in total: every node caches all of them. */
const MAX_OBJECTS = 10_000;
/** How many random ids a creation tries. */
const MAX_ID_ATTEMPTS = 3;

/** Name under which the core routes requests to this feature. */
export const KUBE_FEATURE = 'kube';

/** A client's request with its credentials. */
export interface KubeAsk {
  readonly credentials: Credentials;
  readonly request: KubeRequest;
}

const invalid = (name: string, causes: readonly Problem[]): Refusal =>
  refuse(422, 'Invalid', `Job.batch "${name}" is invalid: ${causes.map(formatProblem).join('; ')}`, causes);
const unavailable = (problem: string): Refusal => refuse(503, 'ServiceUnavailable', problem);
const notFound = (name: string): Refusal => refuse(404, 'NotFound', `jobs.batch "${name}" not found`);

/** Authorizes and serves the requests of clients. */
export class KubeEndpoint implements FeatureEndpoint {
  /** Shared with the leader's controller on this node. */
  readonly cacheSync: CacheSync;
  private readonly watches: Watches;
  private readonly lists: Lists;
  private readonly deletion: Deletion;

  /** `random` returns 16 cryptographically random bytes per call. */
  constructor(
    private readonly services: NodeServices,
    private readonly random: () => Uint8Array,
    private readonly tenants: ReadonlyMap<string, Tenant>,
  ) {
    this.cacheSync = new CacheSync(services.context, {
      changed: (changes) => {
        this.watches.broadcast(changes);
      },
      lost: () => {
        this.watches.endAll();
      },
    });
    this.watches = new Watches(services.context, this.cacheSync, (request, answer, last) => {
      this.answer(request, answer, last);
    });
    this.lists = new Lists(this.cacheSync.cache, () => services.context.now);
    this.deletion = new Deletion(services);
  }

  private answer(request: number, answer: KubeAnswer, last = true): void {
    this.services.context.emit({ kind: 'featureResponse', feature: KUBE_FEATURE, request, answer, last });
  }

  /** Serves one request; the answers are emitted as `featureResponse` outputs. */
  handle(request: number, body: unknown): void {
    const { credentials, request: kubeRequest } = body as KubeAsk;
    if (kubeRequest.verb === 'unwatch') {
      this.watches.end(kubeRequest.watch);
      this.services.context.emit({
        kind: 'featureResponse',
        feature: KUBE_FEATURE,
        request,
        answer: null,
        last: true,
      });
      return;
    }
    // Tokens are refreshed together with objects, so a revoked token stops working on every node at once.
    this.cacheSync.sync((ok) => {
      if (!ok) {
        this.answer(request, unavailable('state service not answering'));
        return;
      }
      const tenant = authenticate(credentials, this.cacheSync.cache.tokens, this.tenants);
      const allowed = 'kind' in tenant ? tenant : authorize(kubeRequest, tenant);
      if ('kind' in allowed) this.answer(request, allowed);
      else this.serve(request, allowed);
    });
  }

  /** Serves an authorized request; the cache is at least as recent as the request. */
  private serve(request: number, kubeRequest: KubeRequest): void {
    switch (kubeRequest.verb) {
      case 'get':
        this.get(request, kubeRequest.namespace, kubeRequest.name);
        return;
      case 'list':
        this.answer(request, this.lists.answer(kubeRequest));
        return;
      case 'watch':
        this.watches.begin(request, kubeRequest);
        return;
      case 'create':
        this.create(request, kubeRequest);
        return;
      case 'delete':
        this.remove(request, kubeRequest);
        return;
      case 'unwatch':
        return;
    }
  }

  private get(request: number, namespace: string, name: string): void {
    const object = this.cacheSync.cache.get(objectKey(namespace, name));
    this.answer(
      request,
      object === null ? notFound(name) : { kind: 'object', created: false, object: jobOf(object) },
    );
  }

  // ---- creation ----------------------------------------------------------------------------------------

  private create(request: number, kubeRequest: KubeRequest & { verb: 'create' }): void {
    const parsed = parseText(kubeRequest.text);
    if ('problem' in parsed) {
      this.answer(request, refuse(400, 'BadRequest', `the body can't be read: ${parsed.problem}`));
      return;
    }
    const mapping = mapManifest(parsed.value);
    if (Either.isLeft(mapping)) {
      this.answer(request, invalid(manifestName(parsed.value), mapping.left));
      return;
    }
    const mapped = mapping.right;
    const unsupported = unsupportedProblem(
      mapped.kind,
      mapped.kind === 'Job' && mapped.suspend,
      mapped.manifest.metadata.namespace,
      kubeRequest.namespace,
    );
    if (unsupported !== null || mapped.kind !== 'Job') {
      this.answer(request, invalid(mapped.manifest.metadata.name, unsupported === null ? [] : [unsupported]));
      return;
    }
    this.admit(request, kubeRequest, mapped);
  }

  private admit(request: number, kubeRequest: KubeRequest & { verb: 'create' }, mapped: MappedJob): void {
    const { cache } = this.cacheSync;
    const { name } = mapped.manifest.metadata;
    const key = objectKey(kubeRequest.namespace, name);
    if (cache.get(key) !== null || cache.unreadable.has(key)) {
      this.answer(request, refuse(409, 'AlreadyExists', `jobs.batch "${name}" already exists`));
      return;
    }
    if (cache.count >= MAX_OBJECTS) {
      this.answer(request, refuse(429, 'TooManyRequests', `there are ${MAX_OBJECTS} objects; delete some`));
      return;
    }
    const dependencyIds: string[] = [];
    const causes: Problem[] = [];
    for (const awaited of mapped.awaits) {
      const object = cache.get(objectKey(kubeRequest.namespace, awaited));
      if (object !== null && object.record.deleting === null) dependencyIds.push(object.record.id);
      else
        causes.push({
          path: ['metadata', 'annotations', 'shaleyoke/awaits'],
          reason: 'FieldValueInvalid',
          message: `"${awaited}" is no Job of this namespace; create it first`,
        });
    }
    if (causes.length > 0) this.answer(request, invalid(name, causes));
    else this.submit(request, kubeRequest, mapped, dependencyIds, MAX_ID_ATTEMPTS);
  }

  /** Creates the object and its job under a random identity; `attemptsLeft` bounds the retries with another one. */
  private submit(
    request: number,
    kubeRequest: KubeRequest & { verb: 'create' },
    mapped: MappedJob,
    dependencyIds: readonly string[],
    attemptsLeft: number,
  ): void {
    const { settings, wallNow } = this.services.context;
    const uid = uidOf(this.random());
    const spec: JobSpec = {
      ...mapped.work,
      id: nativeIdOf(uid),
      team: kubeRequest.team,
      dependsOn: dependencyIds,
    };
    const chunks = splitIntoChunks(JSON.stringify(mapped.manifest), maxChunkBytes(settings.maxValueBytes));
    const record: ObjectRecord = {
      v: 1,
      uid,
      id: spec.id,
      at: wallNow,
      pieces: chunks.length,
      status: newStatus(),
      deleting: null,
    };
    const writes = chunks.map((value, n): StoreWrite => ({ kind: 'put', key: manifestKey(uid, n), value }));
    // One transaction holds the job, the object and as many chunks as fit; the other chunks are written first, under a
    // guard.
    const fitsOneTransaction = writes.length <= settings.maxTransactionOperations - 2;
    const chunksBesideObject = settings.maxTransactionOperations - (fitsOneTransaction ? 2 : 3);
    const guard = guardKey(uid);
    const earlyWrites: StoreWrite[] = fitsOneTransaction
      ? []
      : [{ kind: 'put', key: guard, value: { v: 1, text: '' } }, ...writes.slice(chunksBesideObject)];
    this.writeInBatches(earlyWrites, settings.maxTransactionOperations, [], (conditions) => {
      if (conditions === null) {
        this.answer(request, unavailable('state service not answering'));
        return;
      }
      const key = objectKey(kubeRequest.namespace, mapped.manifest.metadata.name);
      const extraWrites = {
        conditions: [{ key, version: 0 }, ...conditions],
        writes: [
          { kind: 'put' as const, key, value: record },
          ...(fitsOneTransaction ? [] : [{ kind: 'delete' as const, key: guard }]),
          ...writes.slice(0, chunksBesideObject),
        ],
      };
      this.services.submitRequest(
        { kind: 'submit', id: spec.id, spec, problem: null, extraWrites },
        (response) => {
          const idTaken = response.kind === 'view' && !response.created;
          // With about 100 random bits an id is only taken if a native user submitted it on purpose.
          if (idTaken && attemptsLeft > 1)
            this.submit(request, kubeRequest, mapped, dependencyIds, attemptsLeft - 1);
          else this.answerCreation(request, kubeRequest.namespace, mapped, record, response);
        },
      );
    });
  }

  /** Writes chunks that don't fit beside the object; their versions become conditions of the object's creation. */
  private writeInBatches(
    writes: readonly StoreWrite[],
    maxOperations: number,
    written: readonly VersionCondition[],
    then: (conditions: readonly VersionCondition[] | null) => void,
  ): void {
    if (writes.length === 0) {
      then(written);
      return;
    }
    const batch = writes.slice(0, maxOperations);
    const conditions = batch.map((w) => ({ key: w.key, version: 0 }));
    this.services.context.requestStore({ kind: 'txn', conditions, writes: batch }, 1, (result) => {
      if (result.kind !== 'ok') then(null);
      else {
        const batchConditions = batch.map((w) => ({ key: w.key, version: result.revision }));
        this.writeInBatches(
          writes.slice(maxOperations),
          maxOperations,
          [...written, ...batchConditions],
          then,
        );
      }
    });
  }

  private answerCreation(
    request: number,
    namespace: string,
    mapped: MappedJob,
    record: ObjectRecord,
    response: InternalResponse,
  ): void {
    const { name } = mapped.manifest.metadata;
    const invalidSpec = (message: string): Refusal =>
      invalid(name, [{ path: ['spec'], reason: 'FieldValueInvalid', message }]);
    switch (response.kind) {
      case 'view': {
        if (!response.created || response.revision === undefined) {
          this.answer(request, unavailable('no free id was found'));
          return;
        }
        const key = objectKey(namespace, name);
        const manifest = mapped.manifest as unknown as KubeObject['manifest'];
        const object: KubeObject = { key, namespace, name, record, manifest, version: response.revision };
        this.answer(request, { kind: 'object', created: true, object: jobOf(object) });
        return;
      }
      case 'taken':
        this.answer(
          request,
          response.keys.includes(objectKey(namespace, name))
            ? refuse(409, 'AlreadyExists', `jobs.batch "${name}" already exists`)
            : unavailable('the manifest was swept away meanwhile'),
        );
        return;
      case 'impossible':
      case 'malformed':
        this.answer(request, invalidSpec(`can never run: ${response.problem}`));
        return;
      case 'unavailable':
        this.answer(request, unavailable(response.problem));
        return;
      default:
        this.answer(request, unavailable('not decided'));
    }
  }

  // ---- deletion ----------------------------------------------------------------------------------------

  private remove(request: number, kubeRequest: KubeRequest & { verb: 'delete' }): void {
    const object = this.cacheSync.cache.get(objectKey(kubeRequest.namespace, kubeRequest.name));
    if (object === null) {
      this.answer(request, notFound(kubeRequest.name));
      return;
    }
    if (
      (kubeRequest.uid !== null && kubeRequest.uid !== object.record.uid) ||
      (kubeRequest.version !== null && kubeRequest.version !== object.version)
    ) {
      this.answer(
        request,
        refuse(409, 'Conflict', `jobs.batch "${kubeRequest.name}": preconditions are not met`),
      );
      return;
    }
    this.deletion.begin(object, (marked) => {
      if (marked === 'changed')
        this.cacheSync.sync((ok) => {
          if (ok) this.remove(request, kubeRequest);
          else this.answer(request, unavailable('state service not answering'));
        });
      else if (marked === 'failed') this.answer(request, unavailable('state service not answering'));
      else {
        // The deletion is stored now: if this node dies, the leader completes it.
        this.deletion.finish(marked, () => {
          this.answer(request, { kind: 'deleted', object: jobOf(marked) });
        });
      }
    });
  }
}

const manifestName = (manifest: unknown): string => {
  const manifestObject = manifest as { metadata?: { name?: unknown } } | null | undefined;
  return typeof manifestObject?.metadata?.name === 'string' ? manifestObject.metadata.name : '';
};

/** The problem of a valid manifest that is not served yet or contradicts the request's namespace. */
const unsupportedProblem = (
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
