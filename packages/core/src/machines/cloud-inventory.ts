/** Polls the cloud's list of machines, to discover new machines and to detect removed ones. */
import type { ListedMachine } from '../domain/machine.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { AutoscalerHost } from './autoscaler-host.js';

/** Number of machines per page of the list. */
const PAGE_SIZE = 500;
/** Longest time that scale-out waits for the first list. */
const FIRST_LIST_WAIT: Micros = 3 * SECOND;
const MIN_POLL_INTERVAL: Micros = 4 * SECOND;
/** Cloud calls for which the poll interval allows per listed page; all but one are left for other uses. */
const CALLS_PER_LISTED_PAGE = 6;
const MIN_REQUESTS_PER_SECOND = 0.1;
/** Assumed upper bound on the age of a list, in multiples of the cloud's list lag, plus a margin. */
const MAX_LIST_LAGS = 2;
const LAG_MARGIN: Micros = SECOND;
/** Urgency of list calls, after provisioning (1) and deletions (0). */
const URGENCY = 2;

type InventoryHost = Pick<
  AutoscalerHost,
  'preprovisioned' | 'machines' | 'find' | 'recordListed' | 'remove' | 'schedulePass' | 'isActive'
>;

/** Periodically lists the cloud's machines and reconciles the cluster state with them. */
export class CloudInventory {
  private startedAt: Micros = 0;
  private isFirstListPending = true;

  /** `deleteMachine` has the cloud delete a machine by name. */
  constructor(
    private readonly context: NodeContext,
    private readonly host: InventoryHost,
    private readonly deleteMachine: (name: string) => void,
  ) {}

  /** Lists the machines now and starts polling. */
  start(): void {
    this.startedAt = this.context.now;
    this.poll();
  }

  /** Whether scale-out still has to wait for the first list. */
  get awaitsFirstList(): boolean {
    return this.isFirstListPending && this.context.now < this.startedAt + FIRST_LIST_WAIT;
  }

  private poll(): void {
    this.listFrom('', [], this.context.now);
  }

  /** Lists the machines whose names follow `after`, page by page, and adds them to `seen`. */
  private listFrom(after: string, seen: ListedMachine[], startedAt: Micros): void {
    this.context.requestCloud({ kind: 'list', after, limit: PAGE_SIZE }, URGENCY, (reply) => {
      if (!this.host.isActive()) return;
      const interval = this.pollInterval(seen.length);
      if (reply.kind === 'listed') {
        seen.push(...reply.machines);
        const last = reply.machines.at(-1);
        if (reply.more && last !== undefined) {
          this.listFrom(last.name, seen, startedAt);
          return;
        }
        this.reconcile(seen, startedAt);
        this.host.schedulePass();
      }
      this.context.after(interval, () => {
        if (this.host.isActive()) this.poll();
      });
    });
  }

  /** Polls no more often than the list changes, and leaves enough calls for provisioning and deletions. */
  private pollInterval(seenBefore: number): Micros {
    const { cloudListLagUs, cloudRequestsPerS } = this.context.settings;
    const pages = 1 + Math.floor(seenBefore / PAGE_SIZE);
    return Math.max(
      MIN_POLL_INTERVAL,
      cloudListLagUs,
      Math.ceil(
        (CALLS_PER_LISTED_PAGE * SECOND * pages) / Math.max(cloudRequestsPerS, MIN_REQUESTS_PER_SECOND),
      ),
    );
  }

  /** Adds unknown machines to the cluster state, and removes those that are no longer listed. */
  private reconcile(listed: readonly ListedMachine[], startedAt: Micros): void {
    const names = new Set<string>();
    for (const machine of listed) {
      names.add(machine.name);
      this.recordListed(machine);
    }
    this.isFirstListPending = false;
    const { preprovisioned } = this.host;
    if (preprovisioned.acceptsFirstList)
      preprovisioned.recordFirstList([...this.host.machines()].filter((machine) => names.has(machine.name)));
    // A list may be stale by up to this age: a missing machine is gone only if it was first listed earlier than that.
    const maxAge = this.context.settings.cloudListLagUs * MAX_LIST_LAGS + LAG_MARGIN;
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
    machine.firstListedAt ??= this.context.now;
    machine.lastListedAt = this.context.now;
    if (listed.state === 'failed') {
      // A failed machine has stopped by itself, but stays listed until it is deleted.
      this.host.remove(machine, 'failed');
      this.deleteMachine(listed.name);
    }
  }
}
