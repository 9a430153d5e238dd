/** Which capacity the cloud may grant now, by machine type, zone and kind (spot or on-demand). */
import type { Machine } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CapacityOffer } from '../scheduling/plan-input.js';

/** Machines that one request may ask for. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** After a refusal nothing is asked of an offer for this long, times the refusals in a row. */
const REFUSAL_BACKOFF: Micros = 8 * SECOND;
const MAX_COUNTED_REFUSALS = 3;
/** Pause after a request that failed for good. */
const FAILURE_BACKOFF: Micros = 3 * SECOND;
/** Returned capacity can be asked for again after this. */
const FREED_BACKOFF: Micros = 2 * SECOND;

/** State of the requests for one kind of capacity. */
export interface OfferState {
  /** Nothing is asked for before that. */
  refusedUntil: Micros;
  /** Refusals in a row. */
  refusals: number;
  /** A request has not been answered yet. */
  inFlight: boolean;
}

const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot ? 's' : 'o'}`;

/** Keeps, for each kind of capacity, whether it may be asked for. */
export class CapacityOffers {
  private readonly states = new Map<string, OfferState>();

  constructor(private readonly ctx: NodeContext) {}

  /** All kinds of capacity that may be asked for now. */
  available(): CapacityOffer[] {
    const offers: CapacityOffer[] = [];
    for (const type of this.ctx.types.values())
      for (const zone of type.zones)
        for (const spot of [false, true]) {
          const state = this.states.get(offerKey(type.name, zone, spot));
          if (state !== undefined && !this.isAvailable(state)) continue;
          offers.push({ type, zone, spot, limit: MAX_MACHINES_PER_REQUEST });
        }
    return offers;
  }

  /** Whether this capacity may be asked for now. */
  isAvailable(state: OfferState): boolean {
    return !state.inFlight && state.refusedUntil <= this.ctx.now;
  }

  /** The state of the requests for this capacity; from here on it is kept. */
  stateOf({ type, zone, spot }: CapacityOffer): OfferState {
    const key = offerKey(type.name, zone, spot);
    let state = this.states.get(key);
    if (state === undefined)
      this.states.set(key, (state = { refusedUntil: 0, refusals: 0, inFlight: false }));
    return state;
  }

  /** The cloud granted fewer machines than asked for, or none: there are no more for now. */
  recordRefusal(state: OfferState): void {
    state.refusals = Math.min(state.refusals + 1, MAX_COUNTED_REFUSALS);
    state.refusedUntil = this.ctx.now + REFUSAL_BACKOFF * state.refusals;
  }

  /** A request failed for good, and it is not known whether there is capacity. */
  recordFailure(state: OfferState): void {
    state.inFlight = false;
    state.refusedUntil = this.ctx.now + FAILURE_BACKOFF;
  }

  /** A returned machine leaves room for another at once. */
  recordFreed({ type, zone, spot }: Machine): void {
    const state = this.states.get(offerKey(type, zone, spot));
    if (state !== undefined) state.refusedUntil = Math.min(state.refusedUntil, this.ctx.now + FREED_BACKOFF);
  }
}
