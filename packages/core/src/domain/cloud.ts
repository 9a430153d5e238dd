/** Operations of the cloud API and their results. */
import type { ListedMachine, MachineType } from './machine.js';

/** A request to the cloud. `request` is an idempotency key; `list` returns a page of machines after the name `after`. */
export type CloudOperation =
  | { readonly kind: 'types' }
  | {
      readonly kind: 'rent';
      readonly request: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: 'delete'; readonly machines: readonly string[] }
  | { readonly kind: 'list'; readonly after: string; readonly limit: number };

/** Reply of the cloud. `noCapacity`: it has no such machines at present; `more`: further pages follow. */
export type CloudReply =
  | { readonly kind: 'types'; readonly types: readonly MachineType[] }
  | { readonly kind: 'rented'; readonly machines: readonly string[] }
  | { readonly kind: 'noCapacity' }
  | { readonly kind: 'deleted' }
  | { readonly kind: 'listed'; readonly machines: readonly ListedMachine[]; readonly more: boolean }
  | { readonly kind: 'failed'; readonly reason: string };
