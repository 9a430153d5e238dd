/** Jobs that have not ended, machines and their sessions, and the attempts that join them. */
import type { AdmissionHold } from './admission-hold.js';
import type { DeadlineChain } from './deadline-chain.js';
import type { MachineSlot } from './machine-slot.js';
import type { AttemptState } from './task-attempt.js';
import type { WorkerCommand, Heartbeat } from '../domain/heartbeat.js';
import type { JobSpec, Priority } from '../domain/job.js';
import type { Micros } from '../domain/time.js';
import { TaskBitset } from '../domain/task-bitset.js';
import { spreadLimit, type Amounts } from '../domain/resources.js';

export interface TaskAttempt {
  readonly job: ActiveJob;
  readonly index: number;
  readonly number: number;
  readonly machine: Machine;
  readonly agentEpoch: number;
  state: AttemptState;
  /** Token under which the start was sent. */
  fencingToken: number;
  readonly commandedAt: Micros;
  runningAt: Micros | null;
  /** False for an adopted attempt: when it began is not known. */
  readonly startTimeKnown: boolean;
  /**
   * This leader's own, or seen in a report with a token of this term. Else only an older report told of it, which may be a
   * late copy: then it may be anywhere, and nothing rests on its being here.
   */
  confirmed: boolean;
  stopping: { readonly since: Micros; readonly graceUs: Micros } | null;
}

/** The leader's picture of a job. Compact: one bit a task, records only for live ones. */
export class ActiveJob {
  readonly done: TaskBitset;
  /** The done tasks that are known to be written. */
  readonly durablyDone: TaskBitset;
  readonly liveAttempts = new Map<number, TaskAttempt>();
  /** Machines on record as possibly holding tasks of this job: written before the first start there. */
  recordedMachines = new Set<string>();
  /** Machines that may still hold tasks from before this term, until they prove otherwise. */
  readonly unreconciledMachines = new Set<string>();
  /** Progress that is safe outside the machines: by task, or for the whole gang under -1. */
  readonly checkpointedProgress = new Map<number, Micros>();
  /** Machines on which tasks of this job failed. */
  readonly failuresByMachine = new Map<string, number>();
  consecutiveFailures = 0;
  retryNotBefore: Micros = 0;
  phase: 'active' | 'finishing' | 'ended' = 'active';
  cancelled = false;
  /** A member of the gang's attempt is lost: the others are being stopped. */
  gangBroken = false;
  progressDirty = false;
  /** Its record of places can't be read: none of its tasks may be started. */
  progressUnreadable = false;
  startedBefore = false;
  /** Room is being made for it until then. */
  reservedUntil: Micros = 0;
  /** Where that is; the plan looks nowhere else meanwhile. */
  reservedMachines: ReadonlySet<string> | null = null;
  /** Waits for other jobs: nothing of it may be started, and it counts towards nothing. */
  blockedOnDependencies = false;
  /** Why a feature holds it back; only before any task of it has begun. Counts as `held` does. */
  admissionHold: AdmissionHold | null = null;
  /** A job that it needs is cancelled: it can never run. */
  dependencyFailed = false;
  /** Time of day at which the last job that it needs was done; null for a job that needs none. */
  dependenciesMetAt: Micros | null = null;
  /** The tightest deadline among the jobs that need it. */
  deadlineChain: DeadlineChain | null = null;
  private cursor = 0;
  private effectivePriority: Priority;

  constructor(
    readonly spec: JobSpec,
    readonly version: number,
    /** Time of day of acceptance: the order of jobs within a team. */
    readonly acceptedAt: Micros,
    /** When this leader learned of it. */
    readonly discoveredAt: Micros,
  ) {
    this.done = new TaskBitset(spec.tasks);
    this.durablyDone = new TaskBitset(spec.tasks);
    this.effectivePriority = spec.priority;
  }

  /** The highest priority of the jobs that need it, and of its own. */
  get priority(): Priority {
    return this.effectivePriority;
  }

  set priority(value: Priority) {
    if (value === this.effectivePriority) return;
    this.effectivePriority = value;
    for (const attempt of this.liveAttempts.values()) attempt.machine.notifyObserver();
  }

  /** Whether any task of it was ever started, by this leader or an earlier one: then it goes on to its end. */
  get hasStarted(): boolean {
    return this.startedBefore || this.liveAttempts.size > 0 || this.done.count > 0;
  }

  /** Time of day from which its waiting counts. */
  get waitingSince(): Micros {
    return this.dependenciesMetAt ?? this.acceptedAt;
  }

  get id(): string {
    return this.spec.id;
  }

  get waitingCount(): number {
    return this.spec.tasks - this.done.count - this.liveAttempts.size;
  }

  get isComplete(): boolean {
    return this.spec.shape !== 'service' && this.done.count >= this.spec.tasks;
  }

  runningCount(): number {
    let n = 0;
    for (const a of this.liveAttempts.values()) if (a.state === 'running') n++;
    return n;
  }

  /** Up to `n` tasks that neither completed nor may be anywhere. */
  takeWaiting(n: number): number[] {
    const out: number[] = [];
    let first: number | null = null;
    for (let i = this.cursor; i < this.spec.tasks && out.length < n; i++) {
      if (this.done.has(i) || this.liveAttempts.has(i)) continue;
      first ??= i;
      out.push(i);
    }
    if (first !== null) this.cursor = first;
    return out;
  }

  /** A task waits again. */
  requeue(index: number): void {
    this.cursor = Math.min(this.cursor, index);
  }

  tasksByZone(): Map<string, number> {
    const z = new Map<string, number>();
    for (const a of this.liveAttempts.values()) z.set(a.machine.zone, (z.get(a.machine.zone) ?? 0) + 1);
    return z;
  }

  /** Whether one more task may begin in the zone, given where the job's other tasks are. */
  zoneAllows(zone: string): boolean {
    if (!this.spec.sameZone && !this.spec.spreadAcrossZones) return true;
    const z = this.tasksByZone();
    if (this.spec.sameZone) for (const other of z.keys()) if (other !== zone) return false;
    return !this.spec.spreadAcrossZones || (z.get(zone) ?? 0) < spreadLimit(this.spec);
  }
}

/** Who keeps something derived from machines up to date. */
export interface MachineObserver {
  /** Attempts on the machine, or what they count for, changed. */
  changed(machine: Machine): void;
}

export class Machine {
  address: string;
  /** Whether the machine is on record: nothing is started on one that is not. */
  recorded: 'no' | 'writing' | 'yes' = 'no';
  agentEpoch = 0;
  lastSequence = -1;
  /** Highest token that the worker said it has seen. */
  acknowledgedToken = 0;
  /** Raised to fence late orders; added to the term's first token. */
  fencingCounter = 0;
  /** Token under which starts were last sent: a late copy of them is executed until the worker has seen a higher one. */
  lastStartToken = 0;
  /** Tasks that ended on it since the token was last raised. */
  readonly endedSinceFencing = new Set<string>();
  /** When the last report was taken that was answered with 200, or may have been by an older leader. */
  leaseRenewedAt: Micros;
  lastHeartbeatAt: Micros = 0;
  upSince: Micros = 0;
  terminationAt: Micros | null = null;
  readonly attempts = new Map<string, TaskAttempt>();
  readonly cachedImages = new Map<string, Micros>();
  queuedCommands: WorkerCommand[] = [];
  commandInFlight = false;
  idleSince: Micros;
  consecutiveErrors = 0;
  readonly failedJobs = new Set<string>();
  firstListedAt: Micros | null = null;
  lastListedAt: Micros | null = null;
  provisionedAt: Micros;
  deletionRequested = false;
  /** Counts what changes its place in the picture; the slot made of it is kept until then. */
  revision = 0;
  private isUp = false;
  private isStanding = false;
  private retiringFor: string | null = null;
  private isUnresolved = false;
  private unknownTasks = 0;
  private observer: MachineObserver | null = null;
  private freed: { changes: number; total: Readonly<Amounts>; free: Amounts } | null = null;
  cachedSlot: { readonly changes: number; readonly at: Micros; readonly slot: MachineSlot } | null = null;

  constructor(
    readonly name: string,
    address: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    now: Micros,
  ) {
    this.address = address;
    this.leaseRenewedAt = now;
    this.idleSince = now;
    this.provisionedAt = now;
  }

  /** Is told from now on of each change that counts; null: nobody is. */
  observe(observer: MachineObserver | null): void {
    this.observer = observer;
  }

  notifyObserver(): void {
    this.observer?.changed(this);
  }

  /** Its attempts, images or session changed: what was derived from them is derived anew. */
  markChanged(): void {
    this.revision++;
    this.notifyObserver();
  }

  get up(): boolean {
    return this.isUp;
  }

  set up(value: boolean) {
    if (value === this.isUp) return;
    this.isUp = value;
    this.notifyObserver();
  }

  /** Was there before this service rented anything: kept when idle. */
  get preprovisioned(): boolean {
    return this.isStanding;
  }

  set preprovisioned(value: boolean) {
    if (value === this.isStanding) return;
    this.isStanding = value;
    this.notifyObserver();
  }

  /** Why it is being returned: nothing is started on it any more; null: it is not. */
  get retirementReason(): string | null {
    return this.retiringFor;
  }

  set retirementReason(value: string | null) {
    if (value === this.retiringFor) return;
    this.retiringFor = value;
    this.notifyObserver();
  }

  /** May hold tasks from before this term that nobody has told us about yet. */
  get awaitingReconciliation(): boolean {
    return this.isUnresolved;
  }

  set awaitingReconciliation(value: boolean) {
    if (value === this.isUnresolved) return;
    this.isUnresolved = value;
    this.notifyObserver();
  }

  /** Tasks on it that this leader can't account for. */
  get unknownTaskCount(): number {
    return this.unknownTasks;
  }

  set unknownTaskCount(value: number) {
    if (value === this.unknownTasks) return;
    this.unknownTasks = value;
    this.notifyObserver();
  }

  /** Whether a report is newer than everything known of the machine. */
  isNewerHeartbeat(r: Heartbeat): boolean {
    return (
      r.agentEpoch > this.agentEpoch || (r.agentEpoch === this.agentEpoch && r.sequence > this.lastSequence)
    );
  }

  /** Room left beside what is surely there: as much as others may have put there meanwhile. */
  freeBesideConfirmed(total: Readonly<Amounts>): Amounts {
    const open = this.freeOf(total);
    for (const a of this.attempts.values()) {
      if (a.confirmed) continue;
      open.cores += a.job.spec.cores;
      open.gpus += a.job.spec.gpus;
      open.memoryGb += a.job.spec.memoryGb;
    }
    return open;
  }

  /** Room left when everything counts that is or may be there. */
  freeOf(total: Readonly<Amounts>): Amounts {
    if (this.freed?.changes !== this.revision || this.freed.total !== total)
      this.freed = { changes: this.revision, total, free: this.countFree(total) };
    const { cores, gpus, memoryGb } = this.freed.free;
    return { cores, gpus, memoryGb };
  }

  private countFree(total: Readonly<Amounts>): Amounts {
    const free = { cores: total.cores, gpus: total.gpus, memoryGb: total.memoryGb };
    for (const a of this.attempts.values()) {
      free.cores -= a.job.spec.cores;
      free.gpus -= a.job.spec.gpus;
      free.memoryGb -= a.job.spec.memoryGb;
    }
    return free;
  }

  isUsable(): boolean {
    return (
      this.up &&
      this.recorded === 'yes' &&
      this.retirementReason === null &&
      this.terminationAt === null &&
      !this.awaitingReconciliation &&
      this.unknownTaskCount === 0
    );
  }
}
