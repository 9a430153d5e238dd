/** Tracks which capacity may be requested from the cloud, by machine type, zone and kind (spot or on-demand). */
import type { Machine } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CapacityOffer } from '../scheduling/plan-input.js';

/** Maximum number of machines in one provisioning request. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** Maximum number of machines of one kind that a gang may count on beyond the existing ones: those of four requests. */
const MAX_MACHINES_PER_GANG = 4 * MAX_MACHINES_PER_REQUEST;
/** After a refusal, a gang may count on no more than one request for this time. */
const REFUSAL_MEMORY: Micros = 300 * SECOND;
/** Backoff after a refusal, multiplied by the number of consecutive refusals. */
const REFUSAL_BACKOFF: Micros = 8 * SECOND;
const MAX_COUNTED_REFUSALS = 3;
/** Backoff after a request that failed and isn't retried any more. */
const FAILURE_BACKOFF: Micros = 3 * SECOND;
/** Longest remaining backoff once a machine of the same kind was deleted. */
const FREED_BACKOFF: Micros = 2 * SECOND;

/** Backoff state of the requests for one kind of capacity. */
export interface OfferState {
  /** End of the backoff; no request is sent before it. */
  refusedUntil: Micros;
  /** Number of consecutive refusals, up to a limit. */
  refusals: number;
  /** When the cloud last provisioned fewer machines than requested; -Infinity if never. */
  lastRefusedAt: Micros;
  /** Whether a request has not been answered yet. */
  inFlight: boolean;
}

const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot ? 's' : 'o'}`;

/** Keeps the backoff state of each kind of capacity. */
export class CapacityOffers {
  private readonly states = new Map<string, OfferState>();

  constructor(private readonly context: NodeContext) {}

  /** All kinds of capacity that may be requested now. */
  available(): CapacityOffer[] {
    return this.offersWhere((state) => state === undefined || this.isAvailable(state));
  }

  /** All kinds of capacity whose last request has not been answered yet. */
  inFlight(): CapacityOffer[] {
    return this.offersWhere((state) => state?.inFlight === true);
  }

  private offersWhere(accept: (state: OfferState | undefined) => boolean): CapacityOffer[] {
    const offers: CapacityOffer[] = [];
    for (const type of this.context.machineTypes.values())
      for (const zone of type.zones)
        for (const spot of [false, true]) {
          const state = this.states.get(offerKey(type.name, zone, spot));
          if (!accept(state)) continue;
          const gangLimit = this.gangLimit(state);
          offers.push({ type, zone, spot, limit: MAX_MACHINES_PER_REQUEST, gangLimit });
        }
    return offers;
  }

  /** A gang must be provisioned for as a whole, but the cloud's capacity is not known until it refuses a request. */
  private gangLimit(state: OfferState | undefined): number {
    const wasRefused = state !== undefined && this.context.now - state.lastRefusedAt < REFUSAL_MEMORY;
    return wasRefused ? MAX_MACHINES_PER_REQUEST : MAX_MACHINES_PER_GANG;
  }

  /** Whether a request may be sent now: none is in flight, and the backoff is over. */
  isAvailable(state: OfferState): boolean {
    return !state.inFlight && state.refusedUntil <= this.context.now;
  }

  /** Returns the backoff state of a kind of capacity, creating it if needed. */
  stateOf({ type, zone, spot }: CapacityOffer): OfferState {
    const key = offerKey(type.name, zone, spot);
    let state = this.states.get(key);
    if (state === undefined)
      this.states.set(
        key,
        (state = { refusedUntil: 0, refusals: 0, lastRefusedAt: -Infinity, inFlight: false }),
      );
    return state;
  }

  /** Starts the backoff after the cloud provisioned fewer machines than requested, or none. */
  recordRefusal(state: OfferState): void {
    state.refusals = Math.min(state.refusals + 1, MAX_COUNTED_REFUSALS);
    state.lastRefusedAt = this.context.now;
    state.refusedUntil = this.context.now + REFUSAL_BACKOFF * state.refusals;
  }

  /** Starts the backoff after a request that failed and isn't retried; whether there is capacity is unknown. */
  recordFailure(state: OfferState): void {
    state.inFlight = false;
    state.refusedUntil = this.context.now + FAILURE_BACKOFF;
  }

  /** Shortens the backoff after a machine was deleted, since that frees capacity. */
  recordFreed({ type, zone, spot }: Machine): void {
    const state = this.states.get(offerKey(type, zone, spot));
    if (state !== undefined)
      state.refusedUntil = Math.min(state.refusedUntil, this.context.now + FREED_BACKOFF);
  }
}
