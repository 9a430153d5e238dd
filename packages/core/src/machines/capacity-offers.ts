/** Tracks which capacity may be requested from the cloud, by machine type, zone and kind (spot or on-demand). */
import type { Machine } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CapacityOffer } from '../scheduling/plan-input.js';

/** Maximum number of machines in one provisioning request. */
export const MAX_MACHINES_PER_REQUEST = 50;
/** Maximum number of machines of one kind that a gang may count on beyond the existing ones: those of four requests. */
const MAX_MACHINES_PER_GANG = 4 * MAX_MACHINES_PER_REQUEST;
/** How long a gang counts on no more machines than the cloud had when it refused; doubled if it refuses again after that. */
const MIN_CAPACITY_MEMORY: Micros = 60 * SECOND;
const MAX_CAPACITY_MEMORY: Micros = 900 * SECOND;
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
  /** Number of machines that the cloud had provided when it last refused more; null if it never did. */
  knownCapacity: number | null;
  /** Until when gangs count on no more than that, and for how long from the refusal on. */
  knownUntil: Micros;
  memory: Micros;
  /** Whether a request has not been answered yet. */
  inFlight: boolean;
}

const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot ? 's' : 'o'}`;

const keyOf = ({ type, zone, spot }: CapacityOffer): string => offerKey(type.name, zone, spot);

/** Keeps the backoff state of each kind of capacity. */
export class CapacityOffers {
  private readonly states = new Map<string, OfferState>();

  /** `machines`: returns all machines of the cluster state, whether up, booting or retiring. */
  constructor(
    private readonly context: NodeContext,
    private readonly machines: () => Iterable<Machine>,
  ) {}

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
    const counts = this.countMachines();
    for (const type of this.context.machineTypes.values())
      for (const zone of type.zones)
        for (const spot of [false, true]) {
          const key = offerKey(type.name, zone, spot);
          const state = this.states.get(key);
          if (!accept(state)) continue;
          const gangLimit = this.gangLimit(state, counts.get(key) ?? 0);
          offers.push({ type, zone, spot, limit: MAX_MACHINES_PER_REQUEST, gangLimit });
        }
    return offers;
  }

  /** Number of existing machines of each kind. */
  private countMachines(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { type, zone, spot } of this.machines()) {
      const key = offerKey(type, zone, spot);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * A gang must be provisioned for as a whole, but the cloud's capacity is not known until it refuses a request. Without a memory
   * of that, machines would be provisioned again and again for a gang that it can't hold.
   */
  private gangLimit(state: OfferState | undefined, existing: number): number {
    if (state === undefined || state.knownCapacity === null || this.context.now >= state.knownUntil)
      return MAX_MACHINES_PER_GANG;
    return Math.max(0, state.knownCapacity - existing);
  }

  /** Whether a request may be sent now: none is in flight, and the backoff is over. */
  isAvailable(state: OfferState): boolean {
    return !state.inFlight && state.refusedUntil <= this.context.now;
  }

  /** Returns the backoff state of a kind of capacity, creating it if needed. */
  stateOf(capacity: CapacityOffer): OfferState {
    const key = keyOf(capacity);
    let state = this.states.get(key);
    if (state === undefined)
      this.states.set(
        key,
        (state = {
          refusedUntil: 0,
          refusals: 0,
          knownCapacity: null,
          knownUntil: 0,
          memory: MIN_CAPACITY_MEMORY,
          inFlight: false,
        }),
      );
    return state;
  }

  /** Starts the backoff after the cloud provisioned fewer machines than requested, or none. */
  recordRefusal(capacity: CapacityOffer): void {
    const { now } = this.context;
    const state = this.stateOf(capacity);
    state.refusals = Math.min(state.refusals + 1, MAX_COUNTED_REFUSALS);
    state.refusedUntil = now + REFUSAL_BACKOFF * state.refusals;
    this.recordKnownCapacity(state, this.countOf(capacity));
  }

  /** Forgets the known capacity after the cloud provisioned all machines of a request, if there are more of them now. */
  recordGrant(capacity: CapacityOffer): void {
    const state = this.stateOf(capacity);
    if (state.knownCapacity !== null && this.countOf(capacity) > state.knownCapacity)
      state.knownCapacity = null;
  }

  private countOf(capacity: CapacityOffer): number {
    return this.countMachines().get(keyOf(capacity)) ?? 0;
  }

  private recordKnownCapacity(state: OfferState, existing: number): void {
    const { now } = this.context;
    const isSameAgain = state.knownCapacity !== null && existing <= state.knownCapacity;
    if (!isSameAgain) state.memory = MIN_CAPACITY_MEMORY;
    else if (now >= state.knownUntil) state.memory = Math.min(2 * state.memory, MAX_CAPACITY_MEMORY);
    state.knownCapacity = existing;
    state.knownUntil = now + state.memory;
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
