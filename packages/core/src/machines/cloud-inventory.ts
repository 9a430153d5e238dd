/** Follows the cloud's list of machines: discovers machines, and learns which are gone. */
import type { ListedMachine } from '../domain/machine.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { AutoscalerHost } from './autoscaler-host.js';

/** Machines that one page of the list holds. */
const PAGE_SIZE = 500;
/** Scale-out waits at most this long for the first list. */
const FIRST_LIST_WAIT: Micros = 3 * SECOND;
const MIN_POLL_INTERVAL: Micros = 4 * SECOND;
/** So many seconds' worth of calls to the cloud are left for others between two pages. */
const SECONDS_OF_CALLS_PER_PAGE = 6;
const MIN_REQUESTS_PER_SECOND = 0.1;
/** A list is at most so many times the cloud's list lag old. */
const MAX_LAGS = 2;
const LAG_MARGIN: Micros = SECOND;
/** Urgency of list calls: behind provisioning and deletions. */
const URGENCY = 2;

type InventoryHost = Pick<
  AutoscalerHost,
  'preprovisioned' | 'machines' | 'find' | 'recordListed' | 'remove' | 'schedulePass' | 'isActive'
>;

/** Lists the cloud's machines again and again, and compares them with the cluster state. */
export class CloudInventory {
  private startedAt: Micros = 0;
  private isFirstListPending = true;

  /** `remove` deletes a machine by name. */
  constructor(
    private readonly ctx: NodeContext,
    private readonly host: InventoryHost,
    private readonly remove: (name: string) => void,
  ) {}

  /** Lists the machines now, and again and again from then on. */
  start(): void {
    this.startedAt = this.ctx.now;
    this.poll();
  }

  /** Whether scale-out has to wait for the first list still. */
  get awaitsFirstList(): boolean {
    return this.isFirstListPending && this.ctx.now < this.startedAt + FIRST_LIST_WAIT;
  }

  private poll(): void {
    this.listFrom('', [], this.ctx.now);
  }

  /** Lists the machines after the name `after`, page by page, adding them to `seen`. */
  private listFrom(after: string, seen: ListedMachine[], startedAt: Micros): void {
    this.ctx.requestCloud({ kind: 'list', after, limit: PAGE_SIZE }, URGENCY, (reply) => {
      if (!this.host.isActive()) return;
      const interval = this.pollInterval(seen.length);
      if (reply.kind === 'listed') {
        seen.push(...reply.machines);
        const last = reply.machines.at(-1);
        if (reply.more && last !== undefined) {
          this.listFrom(last.name, seen, startedAt);
          return;
        }
        this.compare(seen, startedAt);
        this.host.schedulePass();
      }
      this.ctx.after(interval, () => {
        if (this.host.isActive()) this.poll();
      });
    });
  }

  /** No more often than the list changes, nor than leaves calls for provisioning and deletions. */
  private pollInterval(seenBefore: number): Micros {
    const { cloudListLagUs, cloudRequestsPerS } = this.ctx.settings;
    const pages = 1 + Math.floor(seenBefore / PAGE_SIZE);
    return Math.max(
      MIN_POLL_INTERVAL,
      cloudListLagUs,
      Math.ceil(
        (SECONDS_OF_CALLS_PER_PAGE * SECOND * pages) / Math.max(cloudRequestsPerS, MIN_REQUESTS_PER_SECOND),
      ),
    );
  }

  /** Adopts machines that were not expected, and removes those that are not listed any more. */
  private compare(listed: readonly ListedMachine[], startedAt: Micros): void {
    const names = new Set<string>();
    for (const machine of listed) {
      names.add(machine.name);
      this.recordListed(machine);
    }
    this.isFirstListPending = false;
    const { preprovisioned: preprovisioned } = this.host;
    if (preprovisioned.isOpen)
      preprovisioned.recordFirstList([...this.host.machines()].filter((machine) => names.has(machine.name)));
    // It shows every machine that was listed before the longest lag and still exists.
    const maxAge = this.ctx.settings.cloudListLagUs * MAX_LAGS + LAG_MARGIN;
    for (const machine of [...this.host.machines()]) {
      const { firstListedAt } = machine;
      if (!names.has(machine.name) && firstListedAt !== null && firstListedAt < startedAt - maxAge)
        this.host.remove(machine, 'unlisted');
    }
  }

  private recordListed(listed: ListedMachine): void {
    this.host.recordListed(listed);
    const machine = this.host.find(listed.name);
    if (machine === undefined) return;
    machine.firstListedAt ??= this.ctx.now;
    machine.lastListedAt = this.ctx.now;
    if (listed.state === 'failed') {
      // A failed machine stopped by itself; it stays listed until it is deleted.
      this.host.remove(machine, 'failed');
      this.remove(listed.name);
    }
  }
}
