/** Reads all items under a prefix of the key-value store, page by page. */
import type { StoredItem, StoreOperation } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';
import { MILLISECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** Maximum number of items per request. */
const PAGE_ITEM_LIMIT = 500;
/** Delay before a page is requested again after a failure. */
const RETRY_DELAY_US: Micros = 300 * MILLISECOND;

/** The part of the leader's term that listing depends on. */
export interface ListingTerm {
  readonly context: Pick<NodeContext, 'now' | 'requestStore'>;
  /** Whether the leader lease is lost: later replies are dropped. */
  readonly hasEnded: boolean;
  /** Runs a callback after a delay, unless the term has ended by then. */
  after(delay: Micros, run: () => void): void;
}

/** All items under a prefix. */
export interface ListedItems {
  /** The items of all pages, in the store's order. */
  readonly items: StoredItem[];
  /** Revision of the first page; later changes may or may not be included. */
  readonly revision: number;
  /** When the first page was requested. */
  readonly requestedAt: Micros;
}

/** Calls `onListed` once all items under `prefix` are read. Failed pages are requested again until the term ends. */
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
      limit: PAGE_ITEM_LIMIT,
      ...(after === undefined ? {} : { after }),
    };
    term.context.requestStore(operation, 0, (reply) => {
      if (term.hasEnded) return;
      if (reply.kind !== 'items') {
        term.after(RETRY_DELAY_US, () => {
          requestPage(after);
        });
        return;
      }
      // The list is only as recent as its first page: a job on that page may have ended while the others were read.
      firstPage ??= { revision: reply.revision, requestedAt };
      items = items.concat(reply.items);
      const last = reply.items.at(-1);
      if (reply.more && last !== undefined) requestPage(last.key);
      else onListed({ items, ...firstPage });
    });
  };
  requestPage(undefined);
};
