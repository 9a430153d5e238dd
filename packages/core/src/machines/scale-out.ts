/** Scale-out: requests machines from the cloud, and repeats requests that got no answer under the same name. */
import type { CloudReply } from '../domain/cloud.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CapacityOffer } from '../scheduling/plan-input.js';
import type { AutoscalerHost } from './autoscaler-host.js';
import { type CapacityOffers, MAX_MACHINES_PER_REQUEST, type OfferState } from './capacity-offers.js';

const MAX_RETRIES = 4;
/** Pause before the first retry; each later one waits so much longer. */
const RETRY_DELAY: Micros = SECOND;
/** Urgency of provisioning calls. */
const URGENCY = 1;

/** One request for machines; sent again under its name until it is answered. */
interface ProvisioningRequest {
  /** Unique for all time: the cloud executes a request once, however often it is sent. */
  readonly name: string;
  readonly capacity: CapacityOffer;
  readonly count: number;
  readonly offer: OfferState;
  readonly requestedAt: Micros;
}

/** Requests machines, one request at a time for each kind of capacity. */
export class ScaleOut {
  private requests = 0;

  constructor(
    private readonly ctx: NodeContext,
    private readonly host: Pick<
      AutoscalerHost,
      'term' | 'recordProvisioned' | 'schedulePass' | 'isActive' | 'canActAsLeader'
    >,
    private readonly offers: CapacityOffers,
  ) {}

  /** Requests `count` machines, as far as one request may; nothing if this capacity can't be asked for now. */
  request(capacity: CapacityOffer, count: number): void {
    const offer = this.offers.stateOf(capacity);
    if (!this.offers.isAvailable(offer)) return;
    offer.inFlight = true;
    const request: ProvisioningRequest = {
      // The term is held by one process only, so the name is never used again, not even by another node.
      name: `r-${this.host.term}-${this.requests++}`,
      capacity,
      count: Math.min(count, MAX_MACHINES_PER_REQUEST),
      offer,
      requestedAt: this.ctx.now,
    };
    this.send(request, 0);
  }

  private send(request: ProvisioningRequest, retries: number): void {
    const { name, count } = request;
    const { type, zone, spot } = request.capacity;
    this.ctx.info('autoscaler.scale_out_requested', { request: name, type: type.name, zone, spot, count });
    this.ctx.requestCloud(
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
    // Fewer than asked for: there are no more for now.
    if (machines.length < count) this.offers.recordRefusal(offer);
    for (const machine of machines)
      this.host.recordProvisioned(machine, capacity.type.name, capacity.zone, capacity.spot, requestedAt);
    this.ctx.info('autoscaler.machines_provisioned', { request: name, machines });
    this.host.schedulePass();
  }

  private handleNoCapacity({ name, capacity, offer }: ProvisioningRequest): void {
    offer.inFlight = false;
    this.offers.recordRefusal(offer);
    this.ctx.info('autoscaler.capacity_refused', {
      request: name,
      type: capacity.type.name,
      zone: capacity.zone,
      spot: capacity.spot,
    });
    this.host.schedulePass();
  }

  /** The same name again: if the first request was executed, the retry provisions nothing more. */
  private retryLater(request: ProvisioningRequest, retries: number): void {
    this.ctx.after((1 + retries) * RETRY_DELAY, () => {
      if (!this.host.isActive()) return;
      // Without the leader lease nothing more is asked for; what was granted all the same shows in the list.
      if (this.host.canActAsLeader()) this.send(request, retries + 1);
      else this.offers.recordFailure(request.offer);
    });
  }
}
