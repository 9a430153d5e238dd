/** Renting and returning machines. What to rent comes from the same play-out that places tasks. */
import type { NodeContext } from '../node/node-context.js';
import type { Machine } from '../cluster/cluster-model.js';
import type { CloudReply } from '../domain/cloud.js';
import type { JobSpec } from '../domain/job.js';
import type { ListedMachine } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';
import type { TaskGroup, CapacityOffer } from '../scheduling/plan-input.js';
import type { Decision } from '../scheduling/placement-search.js';
import { allowedWait, mustStartAtOnce } from '../cluster/objectives.js';
import { typeAllowed } from '../domain/resources.js';
import type { PreprovisionedMachines } from './preprovisioned-machines.js';

interface Offer {
  refusedUntil: Micros;
  refusals: number;
  inFlight: boolean;
}

/** Jobs of a class that came lately. */
interface Arrivals {
  readonly at: Micros[];
  /** The largest of them. */
  spec: JobSpec;
  /** Tasks of one job, as a moving mean. */
  tasks: number;
  readonly since: Micros;
}

/** What the fleet needs of the scheduler. */
export interface AutoscalerHost {
  readonly term: number;
  readonly standing: Pick<PreprovisionedMachines, 'isOpen' | 'canProvision' | 'recordFirstList'>;
  machines(): Iterable<Machine>;
  find(name: string): Machine | undefined;
  rented(name: string, type: string, zone: string, spot: boolean, since: Micros): void;
  listed(m: ListedMachine): void;
  gone(m: Machine, reason: string): void;
  retire(m: Machine, reason: string): void;
  changed(): void;
  active(): boolean;
  /** Whether anything may be decided now. */
  entitled(): boolean;
  thrifty(): boolean;
}

const MAX_RENT = 50;
const MAX_DELETE = 100;
const PAGE = 500;
/** Quantile of the normal distribution that headroom is sized by; about nine arrivals in ten. */
const HEADROOM_Z = 1.3;
/** Renting waits at most this long for the first list. */
const FIRST_LIST_WAIT: Micros = 3 * SECOND;
/** Where capacity isn't saved, idle machines are kept this many times as long. */
const UNTHRIFTY_PATIENCE = 6;
/** Window over which arrivals are counted. */
const WINDOW: Micros = 150 * SECOND;

const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot ? 's' : 'o'}`;

export class Autoscaler {
  private readonly offers = new Map<string, Offer>();
  private readonly arrivals = new Map<string, Arrivals>();
  private bookings = 0;
  private firstList = true;
  private began: Micros = 0;
  private deletes: string[] = [];
  private deleting = false;

  constructor(
    private readonly ctx: NodeContext,
    private readonly host: AutoscalerHost,
  ) {}

  start(): void {
    this.began = this.ctx.now;
    this.poll();
    this.refreshTypes();
  }

  noteArrival(spec: JobSpec): void {
    const now = this.ctx.now;
    let a = this.arrivals.get(spec.class);
    if (a === undefined) this.arrivals.set(spec.class, (a = { at: [], spec, tasks: spec.tasks, since: now }));
    a.at.push(now);
    while (a.at.length > 200 || (a.at[0] !== undefined && a.at[0] < now - WINDOW)) a.at.shift();
    a.tasks = 0.8 * a.tasks + 0.2 * spec.tasks;
    if (spec.tasks >= a.spec.tasks) a.spec = spec;
  }

  /** What comes lately, one of each class. */
  kinds(): JobSpec[] {
    const out: JobSpec[] = [];
    for (const a of this.arrivals.values())
      if ((a.at.at(-1) ?? -Infinity) > this.ctx.now - WINDOW) out.push(a.spec);
    return out;
  }

  /** What can be rented now, by type, zone and kind. */
  rentable(): CapacityOffer[] {
    const out: CapacityOffer[] = [];
    for (const type of this.ctx.types.values())
      for (const zone of type.zones)
        for (const spot of [false, true]) {
          const o = this.offers.get(offerKey(type.name, zone, spot));
          if (o !== undefined && (o.refusedUntil > this.ctx.now || o.inFlight)) continue;
          out.push({ type, zone, spot, limit: MAX_RENT });
        }
    return out;
  }

  /**
   * Room kept for arrivals of classes that must start sooner than a machine boots: the spread of the
   * difference between arrivals and completions while one boots.
   */
  headroom(): TaskGroup[] {
    const out: TaskGroup[] = [];
    for (const [cls, a] of this.arrivals) {
      const within = allowedWait(cls, this.ctx.settings.objectives);
      if (within === null || a.spec.shape === 'service' || this.mustStartAtOnce(a.spec)) continue;
      let boot: Micros | null = null;
      for (const t of this.ctx.types.values())
        if (typeAllowed(a.spec, t)) boot = boot === null ? t.bootUs : Math.min(boot, t.bootUs);
      if (boot === null || boot <= within) continue;
      while (a.at[0] !== undefined && a.at[0] < this.ctx.now - WINDOW) a.at.shift();
      const span = Math.max(30 * SECOND, Math.min(WINDOW, this.ctx.now - a.since));
      const expected = (a.at.length * boot) / span;
      const jobs = HEADROOM_Z * Math.sqrt(2 * expected);
      const count = Math.ceil(jobs * a.tasks);
      if (count === 0) continue;
      out.push(
        this.roomFor(
          { ...a.spec, shape: 'array', tasks: count, sameZone: false, spreadAcrossZones: false },
          count,
        ),
      );
    }
    return out;
  }

  /**
   * Room kept free for work that must start sooner than tasks end that others would put there. What ends gives room again
   * all the time, so the largest job that came lately is enough, or as many as come within the time they may wait. Without it such a service trickled in: a third of those
   * that came to full machines had tasks waiting for longer than their aim (adresy-pomorze steady).
   */
  kept(): TaskGroup[] {
    const out: TaskGroup[] = [];
    for (const a of this.arrivals.values()) {
      if ((a.at.at(-1) ?? -Infinity) < this.ctx.now - WINDOW || !this.mustStartAtOnce(a.spec)) continue;
      out.push({ ...this.roomFor(a.spec, this.tasksToKeepRoomFor(a)), kept: true });
    }
    return out;
  }

  /** Tasks of a class that come within the time that they may wait, and those of its largest job at least. */
  private tasksToKeepRoomFor({ at, spec, tasks }: Arrivals): number {
    const span = Math.max(SECOND, this.ctx.now - (at[0] ?? this.ctx.now));
    const within = allowedWait(spec.class, this.ctx.settings.objectives) ?? 0;
    // One arrival alone tells of no rate.
    return Math.max(spec.tasks, Math.ceil((tasks * (at.length - 1) * within) / span));
  }

  /** Work that can't wait for the next tasks to end. */
  mustStartAtOnce(spec: JobSpec): boolean {
    return mustStartAtOnce(spec, this.ctx.settings.objectives);
  }

  private roomFor(spec: JobSpec, count: number): TaskGroup {
    return {
      spec,
      count,
      zones: new Map(),
      avoid: new Set(),
      checkpointedProgress: 0,
      scaleOutThreshold: this.host.thrifty() ? 60 * SECOND : 0,
      allowedDelay: 60 * SECOND,
      allowedMachines: null,
      reserve: false,
      hypothetical: true,
      runTimes: new Map(),
      costPenalties: new Map(),
    };
  }

  /** Rents what the play-out used of machines that are not there. */
  rentFor(d: Decision): void {
    // First see what is there, and put it on record: what stands ready before any renting is never returned.
    if (this.firstList && this.ctx.now < this.began + FIRST_LIST_WAIT) return;
    const { standing } = this.host;
    if (standing.isOpen && d.picture.rented.size > 0) standing.recordFirstList([]);
    if (!standing.canProvision) return;
    for (const [r, count] of d.picture.rented) {
      if (count <= 0) continue;
      const key = offerKey(r.type.name, r.zone, r.spot);
      const offer = this.offers.get(key) ?? { refusedUntil: 0, refusals: 0, inFlight: false };
      this.offers.set(key, offer);
      if (offer.inFlight || offer.refusedUntil > this.ctx.now) continue;
      this.rent(r, Math.min(count, MAX_RENT), offer);
    }
  }

  private rent(r: CapacityOffer, count: number, offer: Offer): void {
    offer.inFlight = true;
    // The term is held by one process only, so the name is never used again, not even by another node.
    const request = `r-${this.host.term}-${this.bookings++}`;
    this.book(request, r, count, offer, this.ctx.now, 0);
  }

  private book(
    request: string,
    r: CapacityOffer,
    count: number,
    offer: Offer,
    since: Micros,
    tries: number,
  ): void {
    this.ctx.info('autoscaler.scale_out_requested', {
      request,
      type: r.type.name,
      zone: r.zone,
      spot: r.spot,
      count,
    });
    this.ctx.requestCloud(
      { kind: 'rent', request, type: r.type.name, zone: r.zone, spot: r.spot, count },
      1,
      (reply: CloudReply) => {
        if (!this.host.active()) return;
        if (reply.kind === 'rented') {
          offer.inFlight = false;
          offer.refusals = 0;
          // Fewer than asked for: there are no more for now.
          if (reply.machines.length < count) this.refuse(offer);
          for (const m of reply.machines) this.host.rented(m, r.type.name, r.zone, r.spot, since);
          this.ctx.info('autoscaler.machines_provisioned', { request, machines: reply.machines });
          this.host.changed();
        } else if (reply.kind === 'noCapacity') {
          offer.inFlight = false;
          this.refuse(offer);
          this.ctx.info('autoscaler.capacity_refused', {
            request,
            type: r.type.name,
            zone: r.zone,
            spot: r.spot,
          });
          this.host.changed();
        } else if (tries < 4) {
          // The same name again: if the first request was executed, it rents nothing more.
          this.ctx.after((1 + tries) * SECOND, () => {
            if (!this.host.active()) return;
            // Without right nothing more is asked for; what was rented all the same shows in the list.
            if (this.host.entitled()) this.book(request, r, count, offer, since, tries + 1);
            else this.giveUp(offer);
          });
        } else this.giveUp(offer);
      },
    );
  }

  private giveUp(offer: Offer): void {
    offer.inFlight = false;
    offer.refusedUntil = this.ctx.now + 3 * SECOND;
  }

  private refuse(offer: Offer): void {
    offer.refusals = Math.min(offer.refusals + 1, 3);
    offer.refusedUntil = this.ctx.now + 8 * SECOND * offer.refusals;
  }

  /** A returned machine leaves room for another at once. */
  freed(m: Machine): void {
    const o = this.offers.get(offerKey(m.type, m.zone, m.spot));
    if (o !== undefined) o.refusedUntil = Math.min(o.refusedUntil, this.ctx.now + 2 * SECOND);
  }

  /** Deletes a machine that is on record as retiring; everything on it is gone once that is answered. */
  remove(name: string): void {
    if (!this.deletes.includes(name)) this.deletes.push(name);
    this.flushDeletes();
  }

  private flushDeletes(): void {
    if (this.deleting || this.deletes.length === 0) return;
    this.deleting = true;
    const batch = this.deletes.slice(0, MAX_DELETE);
    this.ctx.requestCloud({ kind: 'delete', machines: batch }, 0, (r) => {
      this.deleting = false;
      if (!this.host.active()) return;
      if (r.kind === 'deleted') {
        this.deletes = this.deletes.filter((n) => !batch.includes(n));
        for (const n of batch) {
          const m = this.host.find(n);
          if (m !== undefined) {
            this.freed(m);
            this.host.gone(m, 'deleted');
          }
        }
        this.flushDeletes();
      } else {
        this.ctx.after(SECOND, () => {
          if (this.host.active()) this.flushDeletes();
        });
      }
    });
  }

  private refreshTypes(): void {
    this.ctx.after(60 * SECOND, () => {
      if (!this.host.active()) return;
      this.ctx.requestCloud({ kind: 'types' }, 2, (r) => {
        if (r.kind === 'types' && r.types.length > 0)
          this.ctx.types = new Map(r.types.map((t) => [t.name, t]));
      });
      this.refreshTypes();
    });
  }

  private poll(): void {
    this.listFrom('', [], this.ctx.now);
  }

  private listFrom(after: string, seen: ListedMachine[], began: Micros): void {
    this.ctx.requestCloud({ kind: 'list', after, limit: PAGE }, 2, (r) => {
      if (!this.host.active()) return;
      // No more often than the list changes, nor than leaves calls for renting and returning.
      const pages = 1 + Math.floor(seen.length / PAGE);
      const every = Math.max(
        4 * SECOND,
        this.ctx.settings.cloudListLagUs,
        Math.ceil((6 * SECOND * pages) / Math.max(this.ctx.settings.cloudRequestsPerS, 0.1)),
      );
      if (r.kind === 'listed') {
        seen.push(...r.machines);
        const last = r.machines.at(-1);
        if (r.more && last !== undefined) {
          this.listFrom(last.name, seen, began);
          return;
        }
        this.compare(seen, began);
        this.host.changed();
      }
      this.ctx.after(every, () => {
        if (this.host.active()) this.poll();
      });
    });
  }

  /** Adopts what nobody expected, and learns what is gone from what is not listed any more. */
  private compare(listed: readonly ListedMachine[], began: Micros): void {
    const names = new Set<string>();
    for (const l of listed) {
      names.add(l.name);
      this.host.listed(l);
      const m = this.host.find(l.name);
      if (m === undefined) continue;
      m.firstListedAt ??= this.ctx.now;
      m.lastListedAt = this.ctx.now;
      if (l.state === 'failed') {
        // A failed machine stopped by itself; it stays listed until it is deleted.
        this.host.gone(m, 'failed');
        this.remove(l.name);
      }
    }
    this.firstList = false;
    const { standing } = this.host;
    if (standing.isOpen) standing.recordFirstList([...this.host.machines()].filter((m) => names.has(m.name)));
    // A list is at most two lags old. It shows every machine that was listed before that and still exists.
    const lag = this.ctx.settings.cloudListLagUs * 2 + SECOND;
    for (const m of [...this.host.machines()])
      if (!names.has(m.name) && m.firstListedAt !== null && m.firstListedAt < began - lag)
        this.host.gone(m, 'unlisted');
  }

  /** Replaces what never boots; returns what stands idle. `needed` is what the plan counts on. */
  sweep(needed: ReadonlySet<string>): void {
    const { now } = this.ctx;
    const thrifty = this.host.thrifty();
    for (const m of this.host.machines()) {
      if (m.retirementReason !== null) continue;
      const type = this.ctx.types.get(m.type);
      if (type === undefined) continue;
      if (
        !m.up &&
        m.agentEpoch === 0 &&
        !m.awaitingReconciliation &&
        now - m.provisionedAt > 3 * type.bootUs + 15 * SECOND
      ) {
        this.host.retire(m, 'never came up');
        continue;
      }
      if (!m.isUsable() || m.preprovisioned || m.attempts.size > 0 || needed.has(m.name)) continue;
      const patience = this.ctx.settings.tuning.idleScaleInUs * (thrifty ? 1 : UNTHRIFTY_PATIENCE);
      if (now - m.idleSince > patience) this.host.retire(m, 'idle');
    }
  }
}
