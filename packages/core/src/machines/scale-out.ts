/** Scale-out: requests machines from the cloud, and retries unanswered requests under the same name. */
import type { CloudReply } from '../domain/cloud.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CapacityOffer } from '../scheduling/plan-input.js';
import type { AutoscalerHost } from './autoscaler-host.js';
import { type CapacityOffers, MAX_MACHINES_PER_REQUEST, type OfferState } from './capacity-offers.js';

const MAX_RETRIES = 4;
/** Delay before the first retry; each later delay is longer by the same amount. */
const RETRY_DELAY: Micros = SECOND;
/** Urgency of provisioning calls, between deletions and list calls. */
const URGENCY = 1;

/** A provisioning request; retries use the same name. */
interface ProvisioningRequest {
  /** Idempotency key, never reused: the cloud executes a request only once, however often it is sent. */
  readonly name: string;
  readonly capacity: CapacityOffer;
  readonly count: number;
  readonly offer: OfferState;
  readonly requestedAt: Micros;
}

/** Sends provisioning requests, one at a time for each kind of capacity. */
export class ScaleOut {
  private requestCount = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly host: Pick<
      AutoscalerHost,
      'term' | 'recordProvisioned' | 'schedulePass' | 'isActive' | 'canActAsLeader'
    >,
    private readonly offers: CapacityOffers,
  ) {}

  /** Requests up to `count` machines, limited by the request size; does nothing while the capacity is unavailable. */
  request(capacity: CapacityOffer, count: number): void {
    const offer = this.offers.stateOf(capacity);
    if (!this.offers.isAvailable(offer)) return;
    offer.inFlight = true;
    const request: ProvisioningRequest = {
      // Only one process holds a term, so no other node can use the same name.
      name: `r-${this.host.term}-${this.requestCount++}`,
      capacity,
      count: Math.min(count, MAX_MACHINES_PER_REQUEST),
      offer,
      requestedAt: this.context.now,
    };
    this.send(request, 0);
  }

  private send(request: ProvisioningRequest, retries: number): void {
    const { name, count } = request;
    const { type, zone, spot } = request.capacity;
    this.context.info('autoscaler.scale_out_requested', {
      request: name,
      type: type.name,
      zone,
      spot,
      count,
    });
    this.context.requestCloud(
      { kind: 'rent', request: name, type: type.name, zone, spot, count },
      URGENCY,
      (reply) => {
        if (this.host.isActive()) this.handleReply(request, retries, reply);
      },
    );
  }

  private handleReply(request: ProvisioningRequest, retries: number, reply: CloudReply): void {
    if (reply.kind === 'rented') this.handleGranted(request, reply.machines);
    else if (reply.kind === 'noCapacity') this.handleNoCapacity(request);
    else if (retries < MAX_RETRIES) this.retryLater(request, retries);
    else this.offers.recordFailure(request.offer);
  }

  private handleGranted(
    { name, capacity, count, offer, requestedAt }: ProvisioningRequest,
    machines: readonly string[],
  ): void {
    offer.inFlight = false;
    offer.refusals = 0;
    for (const machine of machines)
      this.host.recordProvisioned(machine, capacity.type.name, capacity.zone, capacity.spot, requestedAt);
    // With fewer machines than requested, the cloud has no more capacity of this kind for now.
    if (machines.length < count) this.offers.recordRefusal(capacity);
    else this.offers.recordGrant(capacity);
    this.context.info('autoscaler.machines_provisioned', { request: name, machines });
    this.host.schedulePass();
  }

  private handleNoCapacity({ name, capacity, offer }: ProvisioningRequest): void {
    offer.inFlight = false;
    this.offers.recordRefusal(capacity);
    this.context.info('autoscaler.capacity_refused', {
      request: name,
      type: capacity.type.name,
      zone: capacity.zone,
      spot: capacity.spot,
    });
    this.host.schedulePass();
  }

  /** Retries under the same name: if the first request was executed, the retry provisions nothing more. */
  private retryLater(request: ProvisioningRequest, retries: number): void {
    this.context.after((1 + retries) * RETRY_DELAY, () => {
      if (!this.host.isActive()) return;
      // Without the leader lease nothing is requested; machines provisioned by earlier tries appear in the list.
      if (this.host.canActAsLeader()) this.send(request, retries + 1);
      else this.offers.recordFailure(request.offer);
    });
  }
}
