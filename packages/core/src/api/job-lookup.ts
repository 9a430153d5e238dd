/** Reads the records of jobs from the state service. */
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

/** Looks jobs up in the state service, and remembers in the cache what was found. */
export class JobLookup {
  constructor(
    private readonly context: NodeContext,
    private readonly cache: JobCache,
  ) {}

  /** Reads a job's record: first that of an active job, then that of an ended one, as records only ever move that way. */
  lookup(id: string, callback: LookupCallback): void {
    this.context.requestStore({ kind: 'get', key: activeJobKey(id) }, CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind === 'item') callback(this.readActive(id, reply.item));
      else if (reply.kind === 'missing') this.lookupEnded(id, callback);
      else callback({ kind: 'unknown' });
    });
  }

  /** The same for a job whose active record is gone, or whose ended record was seen: one request is enough then. */
  lookupLikelyEnded(id: string, callback: LookupCallback): void {
    this.lookupEnded(id, (result) => {
      // Absence rests on both records, read in the order in which they move.
      if (result.kind === 'absent') this.lookup(id, callback);
      else callback(result);
    });
  }

  /** Remembers the record of an active job that was read with others. */
  rememberListed(item: StoredItem): void {
    const id = jobIdOfActiveKey(item.key);
    const known = this.cache.get(id);
    if (known === undefined || (known.kind === 'active' && known.version !== item.version))
      this.readActive(id, item);
  }

  private lookupEnded(id: string, callback: LookupCallback): void {
    this.context.requestStore({ kind: 'get', key: endedJobKey(id) }, CLIENT_REQUEST_URGENCY, (reply) => {
      if (reply.kind === 'item') callback(this.readEnded(id, reply.item));
      else callback({ kind: reply.kind === 'missing' ? 'absent' : 'unknown' });
    });
  }

  private readActive(id: string, item: StoredItem): LookupResult {
    const record = decodeActiveJob(item.value);
    if (record === null) return { kind: 'unknown' };
    const job: KnownJob = { kind: 'active', version: item.version, spec: record.spec };
    this.cache.remember(id, job);
    // Its end may have become known while the record was being read.
    return this.cache.get(id) ?? job;
  }

  private readEnded(id: string, item: StoredItem): LookupResult {
    const record = decodeEndedJob(item.value);
    if (record === null) return { kind: 'unknown' };
    const job: KnownEndedJob = {
      kind: 'ended',
      stage: record.stage,
      completedTasks: record.done,
      isService: record.shape === 'service',
    };
    this.cache.remember(id, job);
    return job;
  }
}
