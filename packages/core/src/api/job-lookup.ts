/** Reads job records from the state service. */
import { decodeActiveJob, decodeEndedJob } from '../codecs/job-codec.js';
import { activeJobKey, endedJobKey, jobIdOfActiveKey } from '../codecs/keys.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { NodeContext } from '../node/node-context.js';
import type { JobCache, KnownEndedJob, KnownJob } from './job-cache.js';
import { CLIENT_REQUEST_URGENCY } from './request-urgency.js';

/** `absent`: never accepted; `unknown`: the state service did not answer, or the record is unreadable. */
export type LookupResult = KnownJob | { readonly kind: 'absent' } | { readonly kind: 'unknown' };

/** Receives the result of a lookup. */
export type LookupCallback = (result: LookupResult) => void;

/** Looks up jobs in the state service, and caches the records found. */
export class JobLookup {
  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
  ) {}

  /**
   * Reads a job's record. The active record is read before the ended one, since a job only ever moves in that
   * direction.
   */
  lookup(id: string, callback: LookupCallback): void {
    this.context.requestStore({ kind: 'get', key: activeJobKey(id) }, CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind === 'item') callback(this.cacheActiveRecord(id, reply.item));
      else if (reply.kind === 'missing') this.lookupEnded(id, callback);
      else callback({ kind: 'unknown' });
    });
  }

  /** Reads the record of a job that has probably ended: the ended record first, so that one request usually suffices. */
  lookupLikelyEnded(id: string, callback: LookupCallback): void {
    this.lookupEnded(id, (result) => {
      // Only both reads, in the order in which a job moves, prove that the job is absent.
      if (result.kind === 'absent') this.lookup(id, callback);
      else callback(result);
    });
  }

  /**
   * Caches the record of an active job from a list, unless the job is known to have ended or this version is cached.
   */
  cacheListedRecord(item: StoredItem): void {
    const id = jobIdOfActiveKey(item.key);
    const known = this.cache.get(id);
    if (known === undefined || (known.kind === 'active' && known.version !== item.version))
      this.cacheActiveRecord(id, item);
  }

  private lookupEnded(id: string, callback: LookupCallback): void {
    this.context.requestStore({ kind: 'get', key: endedJobKey(id) }, CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind === 'item') callback(this.cacheEndedRecord(id, reply.item));
      else callback({ kind: reply.kind === 'missing' ? 'absent' : 'unknown' });
    });
  }

  private cacheActiveRecord(id: string, item: StoredItem): LookupResult {
    const record = decodeActiveJob(item.value);
    if (record === null) return { kind: 'unknown' };
    const job: KnownJob = { kind: 'active', version: item.version, spec: record.spec };
    this.cache.put(id, job);
    // The job's end may have been cached while this record was being read.
    return this.cache.get(id) ?? job;
  }

  private cacheEndedRecord(id: string, item: StoredItem): LookupResult {
    const record = decodeEndedJob(item.value);
    if (record === null) return { kind: 'unknown' };
    const job: KnownEndedJob = {
      kind: 'ended',
      stage: record.stage,
      completedTasks: record.done,
      isService: record.shape === 'service',
    };
    this.cache.put(id, job);
    return job;
  }
}
