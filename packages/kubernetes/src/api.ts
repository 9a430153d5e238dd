/** What clients ask of the front and what they are told, apart from any wire form. */
import type { Problem } from './problems.js';

export interface Selector {
  /** Labels that must have these values. */
  readonly labels: Readonly<Record<string, string>>;
  /** The only name; null for any. */
  readonly name: string | null;
}

/** Which namespaces are the client's, and so their teams, is settled before. */
export type KubeRequest =
  | {
      readonly verb: 'create';
      readonly namespace: string;
      /** Of the namespace; never from the client. */
      readonly team: string;
      /** The manifest as it came, JSON or YAML. */
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
      /** Changes after this version; null: what is there first, then changes. */
      readonly from: number | null;
      readonly bookmarks: boolean;
    }
  /** The client of a watch is gone. */
  | { readonly verb: 'unwatch'; readonly watch: number }
  | {
      readonly verb: 'delete';
      readonly namespace: string;
      readonly name: string;
      /** Only if it is still this one; null for any. */
      readonly uid: string | null;
      readonly version: number | null;
    };

export type Json = Readonly<Record<string, unknown>>;

/** The published reasons that are used here. */
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

export interface Refusal {
  readonly kind: 'refusal';
  /** HTTP status. */
  readonly code: number;
  readonly reason: StatusReason;
  readonly message: string;
  readonly causes: readonly Problem[];
  readonly retryAfterS: number | null;
}

export type KubeAnswer =
  | { readonly kind: 'object'; readonly created: boolean; readonly object: Json }
  | {
      readonly kind: 'list';
      readonly version: number;
      readonly items: readonly Json[];
      /** To go on with; null: that is all. */
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
