/** Requests and answers of the Kubernetes API endpoint, independent of their HTTP form. */
import type { Problem } from './problems.js';

/** Label and name selector of lists and watches. */
export interface Selector {
  /** Labels that an object must have, with their values. */
  readonly labels: Readonly<Record<string, string>>;
  /** The name that an object must have; null for any. */
  readonly name: string | null;
}

/** A client's request. Authorization fills in the tenant's namespaces and the team. */
export type KubeRequest =
  | {
      readonly verb: 'create';
      readonly namespace: string;
      /** Team of the namespace; set by the server, never by the client. */
      readonly team: string;
      /** The manifest as sent, JSON or YAML. */
      readonly text: string;
    }
  | { readonly verb: 'get'; readonly namespace: string; readonly name: string }
  | {
      readonly verb: 'list';
      readonly namespaces: readonly string[];
      readonly selector: Selector;
      readonly limit: number | null;
      readonly token: string | null;
    }
  | {
      readonly verb: 'watch';
      readonly namespaces: readonly string[];
      readonly selector: Selector;
      /** Sends changes after this version; null: existing objects first, then changes. */
      readonly from: number | null;
      readonly bookmarks: boolean;
    }
  /** Ends a watch whose client has disconnected. */
  | { readonly verb: 'unwatch'; readonly watch: number }
  | {
      readonly verb: 'delete';
      readonly namespace: string;
      readonly name: string;
      /** Precondition on the object's uid and version; null for any. */
      readonly uid: string | null;
      readonly version: number | null;
    };

/** A JSON object. */
export type Json = Readonly<Record<string, unknown>>;

/** The reasons of the API's Status that are used here. */
export type StatusReason =
  | 'Unauthorized'
  | 'Forbidden'
  | 'Invalid'
  | 'AlreadyExists'
  | 'NotFound'
  | 'Conflict'
  | 'Expired'
  | 'BadRequest'
  | 'UnsupportedMediaType'
  | 'MethodNotAllowed'
  | 'RequestEntityTooLarge'
  | 'ServiceUnavailable'
  | 'TooManyRequests';

/** An error answer, rendered as a Status. */
export interface Refusal {
  readonly kind: 'refusal';
  /** HTTP status. */
  readonly code: number;
  readonly reason: StatusReason;
  readonly message: string;
  readonly causes: readonly Problem[];
  readonly retryAfterS: number | null;
}

/** An answer to a request; a watch gets several. */
export type KubeAnswer =
  | { readonly kind: 'object'; readonly created: boolean; readonly object: Json }
  | {
      readonly kind: 'list';
      readonly version: number;
      readonly items: readonly Json[];
      /** Continue token; null on the last page. */
      readonly token: string | null;
    }
  | {
      readonly kind: 'event';
      readonly type: 'ADDED' | 'MODIFIED' | 'DELETED' | 'BOOKMARK';
      readonly object: Json;
      readonly version: number;
    }
  | { readonly kind: 'deleted'; readonly object: Json }
  | Refusal;

/** A refusal; the client is told to retry after a second if the service is unavailable or busy. */
export const refuse = (
  code: number,
  reason: StatusReason,
  message: string,
  causes: readonly Problem[] = [],
): Refusal => ({
  kind: 'refusal',
  code,
  reason,
  message,
  causes,
  retryAfterS: code === 503 || code === 429 ? 1 : null,
});
