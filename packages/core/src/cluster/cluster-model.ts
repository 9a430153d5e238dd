/**
 * Jobs that have not ended, machines, and the task attempts that join them. The three refer to each other both ways, so
 * they stand in one module.
 */
import type { Heartbeat, WorkerCommand } from '../domain/heartbeat.js';
import type { JobSpec, Priority } from '../domain/job.js';
import { addTo, type Amounts, spreadLimit, takeFrom } from '../domain/resources.js';
import { TaskBitset } from '../domain/task-bitset.js';
import type { Micros } from '../domain/time.js';
import type { AdmissionHold } from './admission-hold.js';
import type { DeadlineChain } from './deadline-chain.js';
import type { MachineSlot } from './machine-slot.js';
import { MachineStatus } from './machine-status.js';
import type { AttemptState } from './task-attempt.js';

/** One attempt to run a task on a machine. */
export interface TaskAttempt {
  readonly job: ActiveJob;
  readonly index: number;
  readonly number: number;
  readonly machine: Machine;
  readonly agentEpoch: number;
  state: AttemptState;
  /** Fencing token under which the start was sent. */
  fencingToken: number;
  readonly commandedAt: Micros;
  runningAt: Micros | null;
  /** False for an adopted attempt: when it began is not known. */
  readonly startTimeKnown: boolean;
  /**
   * This leader's own, or listed in a heartbeat with a token of this term. Else only an older heartbeat listed it, which
   * may be a late copy: then it may be on any machine, and nothing relies on its being on this one.
   */
  confirmed: boolean;
  stopping: { readonly since: Micros; readonly graceUs: Micros } | null;
}

/** The leader's state of a job. Compact: one bit a task, attempts only for live ones. */
export class ActiveJob {
  /** Completed tasks. */
  readonly done: TaskBitset;
  /** The completed tasks whose completion is known to be written to the store. */
  readonly durablyDone: TaskBitset;
  /** Attempts that may be anywhere on the way from decision to end, by task index. */
  readonly liveAttempts = new Map<number, TaskAttempt>();
  /** Machines recorded in the store as possibly holding tasks of this job: written before the first start there. */
  recordedMachines = new Set<string>();
  /** Machines that may still hold tasks from before this term, until a heartbeat settles it. */
  readonly unreconciledMachines = new Set<string>();
  /** Progress that is safe outside the machines: by task index, or under -1 for a whole gang. */
  readonly checkpointedProgress = new Map<number, Micros>();
  /** Failures of this job's tasks, by machine. */
  readonly failuresByMachine = new Map<string, number>();
  /** Failures since the last task that completed. */
  consecutiveFailures = 0;
  /** No task is started before that. */
  retryNotBefore: Micros = 0;
  /** Whether the job goes on, its end is being written, or it has ended. */
  phase: 'active' | 'finishing' | 'ended' = 'active';
  /** Its owner cancelled it. */
  cancelled = false;
  /** A member of the gang's attempt is lost: the others are being stopped. */
  gangBroken = false;
  /** Its progress changed since it was last written. */
  progressDirty = false;
  /** Its progress record can't be read: none of its tasks may be started. */
  progressUnreadable = false;
  /** An earlier leader started tasks of it. */
  startedBefore = false;
  /** Capacity is being freed for it until then. */
  reservedUntil: Micros = 0;
  /** The machines on which that capacity is; plans look at no others meanwhile. */
  reservedMachines: ReadonlySet<string> | null = null;
  /** Waits for other jobs: nothing of it may be started, and it counts towards nothing. */
  blockedOnDependencies = false;
  /** Why a feature holds it back; only before any task of it has begun. Counts as `blockedOnDependencies` does. */
  admissionHold: AdmissionHold | null = null;
  /** A job that it depends on is cancelled: it can never run. */
  dependencyFailed = false;
  /** Time of day at which the last job that it depends on was done; null for a job without dependencies. */
  dependenciesMetAt: Micros | null = null;
  /** The tightest deadline among the jobs that depend on it. */
  deadlineChain: DeadlineChain | null = null;
  /** No task below this index waits. */
  private firstWaiting = 0;
  private effectivePriority: Priority;

  constructor(
    /** The job as submitted. */
    readonly spec: JobSpec,
    /** Version of its record in the store. */
    readonly version: number,
    /** Time of day of acceptance: the order of jobs within a team. */
    readonly acceptedAt: Micros,
    /** When this leader first read it. */
    readonly discoveredAt: Micros,
  ) {
    this.done = new TaskBitset(spec.tasks);
    this.durablyDone = new TaskBitset(spec.tasks);
    this.effectivePriority = spec.priority;
  }

  /** The highest of its own priority and those of the jobs that depend on it. */
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

  /** The job's id. */
  get id(): string {
    return this.spec.id;
  }

  /** Number of tasks that neither completed nor have a live attempt. */
  get waitingCount(): number {
    return this.spec.tasks - this.done.count - this.liveAttempts.size;
  }

  /** Whether all tasks completed; never true for a service. */
  get isComplete(): boolean {
    return this.spec.shape !== 'service' && this.done.count >= this.spec.tasks;
  }

  /** Number of tasks that are known to run. */
  runningCount(): number {
    let count = 0;
    for (const attempt of this.liveAttempts.values()) if (attempt.state === 'running') count++;
    return count;
  }

  /** Indices of up to `limit` tasks that neither completed nor have a live attempt. */
  nextWaiting(limit: number): number[] {
    const indices: number[] = [];
    let first: number | null = null;
    for (let i = this.firstWaiting; i < this.spec.tasks && indices.length < limit; i++) {
      if (this.done.has(i) || this.liveAttempts.has(i)) continue;
      first ??= i;
      indices.push(i);
    }
    if (first !== null) this.firstWaiting = first;
    return indices;
  }

  /** A task waits again. */
  requeue(index: number): void {
    this.firstWaiting = Math.min(this.firstWaiting, index);
  }

  /** Number of live attempts by zone. */
  tasksByZone(): Map<string, number> {
    const tasks = new Map<string, number>();
    for (const { machine } of this.liveAttempts.values())
      tasks.set(machine.zone, (tasks.get(machine.zone) ?? 0) + 1);
    return tasks;
  }

  /** Whether one more task may begin in the zone, given where the job's other tasks are. */
  zoneAllows(zone: string): boolean {
    if (!this.spec.sameZone && !this.spec.spreadAcrossZones) return true;
    const tasks = this.tasksByZone();
    if (this.spec.sameZone) for (const other of tasks.keys()) if (other !== zone) return false;
    return !this.spec.spreadAcrossZones || (tasks.get(zone) ?? 0) < spreadLimit(this.spec);
  }
}

/** Keeps something derived from machines up to date. */
export interface MachineObserver {
  /** Attempts on the machine, or what they count for, changed. */
  changed(machine: Machine): void;
}

/** The leader's state of a machine and of its agent. */
export class Machine extends MachineStatus {
  /** Where its agent is reached. */
  address: string;
  /** Whether the machine is recorded in the store: nothing is started on one that is not. */
  recorded: 'no' | 'writing' | 'yes' = 'no';
  /** Epoch of the agent that the state is of; 0 before its first heartbeat. */
  agentEpoch = 0;
  /** Sequence number of the last heartbeat of that epoch. */
  lastSequence = -1;
  /** Highest fencing token that the worker acknowledged. */
  acknowledgedToken = 0;
  /** Raised to fence late commands; added to the term's first token. */
  fencingCounter = 0;
  /** Token under which starts were last sent: a late copy of them is executed until the worker has seen a higher one. */
  lastStartToken = 0;
  /** Tasks that ended on it since the token was last raised. */
  readonly endedSinceFencing = new Set<string>();
  /** When the last heartbeat came that was answered with 200, or may have been by an older leader. */
  leaseRenewedAt: Micros;
  /** When the last heartbeat came. */
  lastHeartbeatAt: Micros = 0;
  /** Since when it is up. */
  upSince: Micros = 0;
  /** When the cloud takes it back, if that was announced. */
  terminationAt: Micros | null = null;
  /** Attempts on it by `attemptKey`. */
  readonly attempts = new Map<string, TaskAttempt>();
  /** Images in its cache by size in GB, the least recently used first. */
  readonly cachedImages = new Map<string, number>();
  /** Commands that are not sent yet. */
  queuedCommands: WorkerCommand[] = [];
  /** A command was sent and not answered yet. */
  commandInFlight = false;
  /** Since when nothing runs on it. */
  idleSince: Micros;
  /** Tasks that failed on it since the last success. */
  consecutiveErrors = 0;
  /** Jobs of which a task failed on it since the last success. */
  readonly failedJobs = new Set<string>();
  /** When the cloud's inventory first listed it. */
  firstListedAt: Micros | null = null;
  /** When the cloud's inventory last listed it. */
  lastListedAt: Micros | null = null;
  /** When it was requested from the cloud, or first known. */
  provisionedAt: Micros;
  /** The cloud was asked to delete it. */
  deletionRequested = false;
  /** Counts the changes that matter to snapshots; the cached slot is valid for one revision. */
  revision = 0;
  /** The slot made for the last snapshot. */
  cachedSlot: { readonly changes: number; readonly at: Micros; readonly slot: MachineSlot } | null = null;
  private observer: MachineObserver | null = null;
  private cachedFree: { revision: number; total: Readonly<Amounts>; free: Amounts } | null = null;

  constructor(
    readonly name: string,
    address: string,
    /** Name of its machine type. */
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    now: Micros,
  ) {
    super();
    this.address = address;
    this.leaseRenewedAt = now;
    this.idleSince = now;
    this.provisionedAt = now;
  }

  /** Sets the observer of all further changes; null: none. */
  observe(observer: MachineObserver | null): void {
    this.observer = observer;
  }

  /** Reports a change that leaves the machine's slot as it is. */
  override notifyObserver(): void {
    this.observer?.changed(this);
  }

  /** Its attempts, images or agent epoch changed: what was derived from them is derived anew. */
  markChanged(): void {
    this.revision++;
    this.notifyObserver();
  }

  /** Whether a heartbeat is newer than everything known of the machine. */
  isNewerHeartbeat(heartbeat: Heartbeat): boolean {
    if (heartbeat.agentEpoch !== this.agentEpoch) return heartbeat.agentEpoch > this.agentEpoch;
    return heartbeat.sequence > this.lastSequence;
  }

  /** Capacity left beside confirmed attempts: as much as others may have occupied meanwhile. */
  freeBesideConfirmed(total: Readonly<Amounts>): Amounts {
    const free = this.freeOf(total);
    for (const attempt of this.attempts.values()) if (!attempt.confirmed) addTo(free, attempt.job.spec);
    return free;
  }

  /** Capacity left when everything counts that is or may be there. The result belongs to the caller. */
  freeOf(total: Readonly<Amounts>): Amounts {
    if (this.cachedFree?.revision !== this.revision || this.cachedFree.total !== total)
      this.cachedFree = { revision: this.revision, total, free: this.countFree(total) };
    const { cores, gpus, memoryGb } = this.cachedFree.free;
    return { cores, gpus, memoryGb };
  }

  private countFree(total: Readonly<Amounts>): Amounts {
    const free = { cores: total.cores, gpus: total.gpus, memoryGb: total.memoryGb };
    for (const attempt of this.attempts.values()) takeFrom(free, attempt.job.spec);
    return free;
  }

  /** Whether tasks may be started on it. */
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
