/** Reads all items under a prefix of the key-value store, page by page. */
import type { StoredItem, StoreOperation } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLI } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** Items that one request asks for. */
const PAGE_ITEMS = 500;
/** Pause before a page that was not answered is requested again. */
const RETRY_DELAY: Micros = 300 * MILLI;

/** What reading a list needs of the leader's term. */
export interface ListingTerm {
  readonly context: Pick<NodeContext, 'now' | 'requestStore'>;
  /** The leader lease is lost: replies that still arrive are dropped. */
  readonly hasEnded: boolean;
  /** Runs a callback after a delay, unless the term has ended by then. */
  after(delay: Micros, run: () => void): void;
}

/** All items under a prefix. */
export interface ListedItems {
  readonly items: StoredItem[];
  /** Revision of the first page: what changed later may or may not be in the list. */
  readonly revision: number;
  /** When the first page was requested. */
  readonly requestedAt: Micros;
}

/** Calls back once all items under `prefix` are read; a page that fails is requested again until the term ends. */
export const listAllItems = (
  term: ListingTerm,
  prefix: string,
  onListed: (listed: ListedItems) => void,
): void => {
  let items: StoredItem[] = [];
  let firstPage: { revision: number; requestedAt: Micros } | null = null;
  const requestPage = (after: string | undefined): void => {
    const requestedAt = term.context.now;
    const operation: StoreOperation = {
      kind: 'list',
      prefix,
      limit: PAGE_ITEMS,
      ...(after === undefined ? {} : { after }),
    };
    term.context.requestStore(operation, 0, (reply) => {
      if (term.hasEnded) return;
      if (reply.kind !== 'items') {
        term.after(RETRY_DELAY, () => {
          requestPage(after);
        });
        return;
      }
      // The list counts as old as its first page, however long the others take: a job on that page may have ended since.
      firstPage ??= { revision: reply.revision, requestedAt };
      items = items.concat(reply.items);
      const last = reply.items.at(-1);
      if (reply.more && last !== undefined) requestPage(last.key);
      else onListed({ items, ...firstPage });
    });
  };
  requestPage(undefined);
};
