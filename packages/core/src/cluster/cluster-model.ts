/**
 * The leader's model of active jobs, machines, and the task attempts that connect them. The three refer to each other, so
 * they are in one module.
 */
import type { Heartbeat, WorkerCommand } from '../domain/heartbeat.js';
import type { JobSpec, Priority } from '../domain/job.js';
import { addTo, type Amounts, maxTasksPerZone, subtractFrom } from '../domain/resources.js';
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
  /** Index of the task within the job. */
  readonly index: number;
  /** Attempt number; shared by all members of a gang that start together. */
  readonly number: number;
  readonly machine: Machine;
  /** Epoch of the machine's agent for which the attempt was created. */
  readonly agentEpoch: number;
  /** Progress of the attempt as far as the leader knows. */
  state: AttemptState;
  /** Fencing token with which the start was sent. */
  fencingToken: number;
  /** When the leader decided to start it, or adopted it. */
  readonly commandedAt: Micros;
  /** When it was first reported as running; null until then. */
  runningAt: Micros | null;
  /** False for an adopted attempt, whose start time is not known. */
  readonly startTimeKnown: boolean;
  /**
   * Whether this leader started the attempt, or a heartbeat with a token of this term listed it. Otherwise only an older
   * heartbeat listed it, which may be a delayed copy: the task may be on any machine, so nothing may rely on its being on
   * this one.
   */
  confirmed: boolean;
  /** Since when the attempt is being stopped, and with what grace period; null if it is not being stopped. */
  stopping: { readonly since: Micros; readonly graceUs: Micros } | null;
}

/** The leader's state of a job. Kept compact: one bit for each task, and attempt objects only for live tasks. */
export class ActiveJob {
  /** Tasks that completed, by index. */
  readonly done: TaskBitset;
  /** Completed tasks whose completion is confirmed to be in the store. */
  readonly durablyDone: TaskBitset;
  /** Attempts that have been decided and have not ended, by task index. */
  readonly liveAttempts = new Map<number, TaskAttempt>();
  /** Machines recorded in the store as possibly running tasks of this job; written before the first start there. */
  recordedMachines = new Set<string>();
  /** Machines that may still run tasks from before this term and are not yet reconciled by a heartbeat. */
  readonly unreconciledMachines = new Set<string>();
  /** Progress that survives the loss of a machine: by task index, or under -1 (`GANG_PROGRESS_KEY`) for a whole gang. */
  readonly checkpointedProgress = new Map<number, Micros>();
  /** Number of failures of this job's tasks, by machine name. */
  readonly failuresByMachine = new Map<string, number>();
  /** Number of task failures since a task last completed. */
  consecutiveFailures = 0;
  /** Time before which no task is started, as a backoff after failures. */
  retryNotBefore: Micros = 0;
  /** Lifecycle of the job: active, its end being written to the store, or ended. */
  phase: 'active' | 'finishing' | 'ended' = 'active';
  /** Whether the job was cancelled by its owner. */
  cancelled = false;
  /** Whether its progress changed since it was last written to the store. */
  progressDirty = false;
  /** Whether its stored progress is unreadable, so that none of its tasks may be started. */
  progressUnreadable = false;
  /** Whether an earlier leader started any of its tasks. */
  startedBefore = false;
  /** Time until which preempted capacity is reserved for it. */
  reservedUntil: Micros = 0;
  /** Machines with that capacity; plans place the job on no others until then. */
  reservedMachines: ReadonlySet<string> | null = null;
  /** Whether it waits for other jobs: none of its tasks may start, and it doesn't count as waiting work. */
  blockedOnDependencies = false;
  /** Why a feature holds it back before its first start; has the same effects as `blockedOnDependencies`. */
  admissionHold: AdmissionHold | null = null;
  /** Whether a job that it depends on was cancelled, so that it can never run. */
  dependencyFailed = false;
  /** Wall-clock time at which the last of its dependencies was done; null for a job without dependencies. */
  dependenciesMetAt: Micros | null = null;
  /** The tightest deadline inherited from jobs that depend on it. */
  deadlineChain: DeadlineChain | null = null;
  /** All tasks with a lower index have completed or have a live attempt. */
  private firstWaiting = 0;
  private effectivePriority: Priority;

  constructor(
    /** The job as submitted. */
    readonly spec: JobSpec,
    /** Version of its record in the store. */
    readonly version: number,
    /** Wall-clock time of acceptance; determines the order of jobs within a team. */
    readonly acceptedAt: Micros,
    /** When this leader first read the job from the store. */
    readonly discoveredAt: Micros,
  ) {
    this.done = new TaskBitset(spec.tasks);
    this.durablyDone = new TaskBitset(spec.tasks);
    this.effectivePriority = spec.priority;
  }

  /** Effective priority: the highest of its own and those of the jobs that depend on it. */
  get priority(): Priority {
    return this.effectivePriority;
  }

  /** Notifies the observer of each machine with a live attempt, since usage is summed by priority. */
  set priority(value: Priority) {
    if (value === this.effectivePriority) return;
    this.effectivePriority = value;
    for (const attempt of this.liveAttempts.values()) attempt.machine.notifyObserver();
  }

  /** Whether this leader or an earlier one ever started any of its tasks; such a job continues to its end. */
  get hasStarted(): boolean {
    return this.startedBefore || this.liveAttempts.size > 0 || this.done.count > 0;
  }

  /** Wall-clock time from which its wait counts: when its dependencies were met, or its acceptance. */
  get waitingSince(): Micros {
    return this.dependenciesMetAt ?? this.acceptedAt;
  }

  /** Id of the job, from its specification. */
  get id(): string {
    return this.spec.id;
  }

  /** Number of tasks that have neither completed nor a live attempt. */
  get waitingCount(): number {
    return this.spec.tasks - this.done.count - this.liveAttempts.size;
  }

  /** Whether all tasks have completed; never true for a service. */
  get isComplete(): boolean {
    return this.spec.shape !== 'service' && this.done.count >= this.spec.tasks;
  }

  /** Number of attempts that are known to be running. */
  runningCount(): number {
    let count = 0;
    for (const attempt of this.liveAttempts.values()) if (attempt.state === 'running') count++;
    return count;
  }

  /** Indices of the first tasks, up to `limit`, that have neither completed nor a live attempt. */
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

  /** Marks a task as waiting again, after its attempt ended without completing. */
  requeue(index: number): void {
    this.firstWaiting = Math.min(this.firstWaiting, index);
  }

  /** Number of live attempts in each zone. */
  tasksByZone(): Map<string, number> {
    const tasks = new Map<string, number>();
    for (const { machine } of this.liveAttempts.values())
      tasks.set(machine.zone, (tasks.get(machine.zone) ?? 0) + 1);
    return tasks;
  }

  /** Whether one more task may start in the zone under the job's zone constraints, given its live attempts. */
  zoneAllows(zone: string): boolean {
    if (!this.spec.sameZone && !this.spec.spreadAcrossZones) return true;
    const tasks = this.tasksByZone();
    if (this.spec.sameZone) for (const other of tasks.keys()) if (other !== zone) return false;
    return !this.spec.spreadAcrossZones || (tasks.get(zone) ?? 0) < maxTasksPerZone(this.spec);
  }
}

/** Observes machines in order to keep derived data up to date. */
export interface MachineObserver {
  /** Called after the machine's attempts, their priorities or its status changed. */
  changed(machine: Machine): void;
}

/** The leader's state of a machine and its agent. */
export class Machine extends MachineStatus {
  /** Network address of its agent; empty if not known. */
  address: string;
  /** Whether the machine is recorded in the store; no task is started on one that is not. */
  recorded: 'no' | 'writing' | 'yes' = 'no';
  /** Epoch of the agent that this state refers to; 0 before its first heartbeat. */
  agentEpoch = 0;
  /** Highest sequence number of a heartbeat of that epoch; -1 before the first one. */
  lastSequence = -1;
  /** Highest fencing token that the machine's worker has acknowledged. */
  acknowledgedToken = 0;
  /** Incremented to fence delayed commands; the current fencing token is derived from it and the term. */
  fencingCounter = 0;
  /** Token with which starts were last sent; a delayed copy is executed until the worker has seen a higher token. */
  lastStartToken = 0;
  /** Keys of the tasks that ended on it since the token was last raised. */
  readonly endedSinceFencing = new Set<string>();
  /** When a heartbeat last arrived that was answered with 200, or that an earlier leader may have answered so. */
  leaseRenewedAt: Micros;
  /** When the last new heartbeat arrived. */
  lastHeartbeatAt: Micros = 0;
  /** When it last came up. */
  upSince: Micros = 0;
  /** When the cloud will reclaim the machine, if announced; otherwise null. */
  terminationAt: Micros | null = null;
  /** Live attempts on it by `attemptKey`. */
  readonly attempts = new Map<string, TaskAttempt>();
  /** Sizes in GB of the images in its cache, by image; least recently used first. */
  readonly cachedImages = new Map<string, number>();
  /** Commands that have not been sent yet. */
  queuedCommands: WorkerCommand[] = [];
  /** Whether a call with commands is unanswered. */
  commandInFlight = false;
  /** Since when no task has been running on it. */
  idleSince: Micros;
  /** Number of tasks that failed on it since the last success. */
  consecutiveErrors = 0;
  /** Ids of the jobs whose tasks failed on it since the last success. */
  readonly failedJobs = new Set<string>();
  /** When the cloud's inventory first listed it; null if not yet. */
  firstListedAt: Micros | null = null;
  /** When the cloud's inventory last listed it; null if not yet. */
  lastListedAt: Micros | null = null;
  /** When it was requested from the cloud, or else first known to this leader. */
  provisionedAt: Micros;
  /** Whether the cloud was asked to delete it. */
  deletionRequested = false;
  /** Incremented with each change that is relevant to snapshots; a cached slot is valid for one revision. */
  revision = 0;
  /** The slot built for the last snapshot, for reuse. */
  cachedSlot: { readonly revision: number; readonly at: Micros; readonly slot: MachineSlot } | null = null;
  private observer: MachineObserver | null = null;
  private cachedFree: { revision: number; total: Readonly<Amounts>; free: Amounts } | null = null;

  constructor(
    /** Unique name, as in the cloud's inventory. */
    readonly name: string,
    address: string,
    /** Name of its machine type. */
    readonly type: string,
    /** Availability zone, which zone constraints of jobs refer to. */
    readonly zone: string,
    /** Whether it is a spot machine, which the cloud may reclaim. */
    readonly spot: boolean,
    now: Micros,
  ) {
    super();
    this.address = address;
    this.leaseRenewedAt = now;
    this.idleSince = now;
    this.provisionedAt = now;
  }

  /** Sets the observer of subsequent changes; null removes it. */
  observe(observer: MachineObserver | null): void {
    this.observer = observer;
  }

  /** Reports a change that doesn't affect the machine's slot in snapshots. */
  override notifyObserver(): void {
    this.observer?.changed(this);
  }

  /** Invalidates cached data after its attempts, images or agent epoch changed, and notifies the observer. */
  markChanged(): void {
    this.revision++;
    this.notifyObserver();
  }

  /** Whether the heartbeat is newer than any processed so far, by agent epoch and sequence number. */
  isNewerHeartbeat(heartbeat: Heartbeat): boolean {
    if (heartbeat.agentEpoch !== this.agentEpoch) return heartbeat.agentEpoch > this.agentEpoch;
    return heartbeat.sequence > this.lastSequence;
  }

  /** Capacity not used by confirmed attempts: an upper bound on what unknown tasks may occupy. */
  freeBesideConfirmed(total: Readonly<Amounts>): Amounts {
    const free = this.freeOf(total);
    for (const attempt of this.attempts.values()) if (!attempt.confirmed) addTo(free, attempt.job.spec);
    return free;
  }

  /** Capacity left by all attempts, confirmed or not. Returns a copy that the caller may modify. */
  freeOf(total: Readonly<Amounts>): Amounts {
    if (this.cachedFree?.revision !== this.revision || this.cachedFree.total !== total)
      this.cachedFree = { revision: this.revision, total, free: this.computeFree(total) };
    const { cores, gpus, memoryGb } = this.cachedFree.free;
    return { cores, gpus, memoryGb };
  }

  private computeFree(total: Readonly<Amounts>): Amounts {
    const free = { cores: total.cores, gpus: total.gpus, memoryGb: total.memoryGb };
    for (const attempt of this.attempts.values()) subtractFrom(free, attempt.job.spec);
    return free;
  }

  /** Whether tasks may be started on it: up, recorded, not retiring or reclaimed, and fully reconciled. */
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
