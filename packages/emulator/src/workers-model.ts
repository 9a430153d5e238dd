/** Model of the workers: tasks, gangs, sessions and leases. Checks the protocol's invariants at each start of a task. */
import type {
  CommandReply,
  Heartbeat,
  HeartbeatResponse,
  ReportedTask,
  WorkerCommand,
} from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { ListedMachine } from '@shaleyoke/core/domain/machine';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import type { SimulatedMachines } from './cloud-model.js';
import type { Random } from './random.js';
import { MACHINE_TYPE } from './site.js';
import type { Workload } from './workload.js';

/** As in the settings that `settingsFor` makes. */
const HEARTBEAT_INTERVAL: Micros = 3 * SECOND;
const LEASE_DURATION: Micros = 20 * SECOND;
/** A worker tries the next node a second after this. */
const HEARTBEAT_TIMEOUT: Micros = 4 * SECOND;
/** Within this time after a user was told that a job is cancelled, all of its tasks must have stopped. */
export const CANCELLATION_DEADLINE: Micros = 40 * SECOND;

/** An attempt of a task on a worker. */
interface SimulatedTask {
  job: string;
  index: number;
  attempt: number;
  state: ReportedTask['state'];
  cause: ReportedTask['cause'];
  checkpointed: boolean;
  /** When the current state ends by itself: the image is fetched, the task done, or its checkpoint written. */
  stateEndsAt: Micros;
  /** When it began to run; null: it isn't running. */
  runningSince: Micros | null;
}

/** A machine and the worker on it. */
export interface Worker {
  /** Of the machine; it also serves as the worker's address. */
  name: string;
  /** The zone that the machine is in. */
  zone: string;
  /** Whether the cloud may take the machine back. */
  spot: boolean;
  /** When the machine has booted. */
  readyAt: Micros;
  /** Whether the machine exists. */
  alive: boolean;
  /** Starts anew when the lease expires. */
  agentEpoch: number;
  /** Number of the last heartbeat in the session. */
  sequence: number;
  /** The highest fencing token seen. */
  fencingToken: number;
  /** When the last accepted heartbeat was sent: the lease counts from then. */
  leaseRenewedAt: Micros;
  /** The controller that it sends heartbeats to, by index. */
  node: number;
  /** When the next heartbeat is due. */
  nextHeartbeatAt: Micros;
  /** Attempts on the worker, including ended ones that it wasn't told to forget. */
  tasks: SimulatedTask[];
  /** The worker hangs or is unreachable until then. */
  unreachableUntil: Micros;
  /** Until then its heartbeats arrive, but it receives no responses and no commands. */
  receivesNothingUntil: Micros;
  /** Until then it reaches no controller, but receives direct commands. */
  sendsNothingUntil: Micros;
  /** When the cloud takes the machine back, announced in heartbeats until then; null: never. */
  terminatesAt: Micros | null;
}

/** Interface of the simulation to the workers. */
export interface WorkersHost {
  /** Simulation time. */
  readonly now: Micros;
  /** Number of controllers. */
  readonly nodes: number;
  /** The specification that a worker fetches, also of jobs that weren't submitted by the simulated users. */
  findSpec(id: string): JobSpec | undefined;
  /** When a user was first told that the job is cancelled. */
  cancelledAt(id: string): Micros | undefined;
  /** Records that an invariant is violated. */
  reportViolation(violation: string): void;
  /** Sends a heartbeat to the worker's controller. */
  sendHeartbeat(worker: Worker): void;
  /** Called when a machine ceases to exist. */
  machineTerminated(name: string): void;
}

/** All workers of a simulation. */
export class WorkersModel implements SimulatedMachines {
  /** All that ever existed, by machine name. */
  readonly workers = new Map<string, Worker>();
  /** Start commands that were executed. */
  starts = 0;
  /** Running tasks that were stopped by a command although their job was neither cancelled nor done. */
  readonly stoppedRunning: { readonly at: Micros; readonly task: string; readonly machine: string }[] = [];
  /** Delays between telling a user that a job is cancelled and a start of one of its tasks. */
  readonly startsAfterCancellation: Micros[] = [];
  /** Checkpoints on stop: begun, cut short by a stop without grace, and completed. */
  readonly checkpoints = { begun: 0, cut: 0, ended: 0 };
  /** Fraction by which workers' clocks are slow: their leases last longer by it. */
  clockSlowdown = 0;
  /** When a task of a job was last on a machine after a user was told that the job is cancelled, by job. */
  readonly lastSeenAfterCancellation = new Map<string, Micros>();
  private nextMachine = 1;

  constructor(
    private readonly host: WorkersHost,
    private readonly work: Workload,
    private readonly random: Random,
    private readonly teamCores: number,
  ) {}

  private get now(): Micros {
    return this.host.now;
  }

  /** Machines that exist in a zone, booting ones included. */
  countInZone(zone: string): number {
    return [...this.workers.values()].filter((worker) => worker.alive && worker.zone === zone).length;
  }

  /** Adds a machine that becomes ready after `bootUs`; returns its name. */
  boot(zone: string, spot: boolean, bootUs = MACHINE_TYPE.bootUs * (0.6 + 0.9 * this.random.next())): string {
    const name = `m-${String(this.nextMachine++).padStart(6, '0')}`;
    const readyAt = this.now + bootUs;
    this.workers.set(name, {
      name,
      zone,
      spot,
      readyAt,
      alive: true,
      agentEpoch: 1,
      sequence: 0,
      fencingToken: 0,
      leaseRenewedAt: readyAt,
      node: this.random.below(this.host.nodes),
      nextHeartbeatAt: readyAt,
      tasks: [],
      unreachableUntil: 0,
      receivesNothingUntil: 0,
      sendsNothingUntil: 0,
      terminatesAt: null,
    });
    return name;
  }

  /** Deletes a machine at the request of the cloud's customer. */
  terminate(name: string): void {
    const worker = this.workers.get(name);
    if (worker !== undefined) this.kill(worker);
  }

  /** The cloud's listing of all machines that exist. */
  list(): ListedMachine[] {
    return [...this.workers.values()]
      .filter((worker) => worker.alive)
      .map((worker) => ({
        name: worker.name,
        address: worker.name,
        type: MACHINE_TYPE.name,
        zone: worker.zone,
        spot: worker.spot,
        state: this.now >= worker.readyAt ? ('running' as const) : ('booting' as const),
        ageUs: 0,
      }));
  }

  /** The machine ceases to exist, and all tasks on it end. */
  kill(worker: Worker): void {
    this.host.machineTerminated(worker.name);
    for (const task of worker.tasks) this.recordRun(task);
    worker.alive = false;
    worker.tasks = [];
  }

  /** The worker's next heartbeat. */
  heartbeatOf(worker: Worker): Heartbeat {
    return {
      machine: worker.name,
      address: worker.name,
      type: MACHINE_TYPE.name,
      zone: worker.zone,
      spot: worker.spot,
      agentEpoch: worker.agentEpoch,
      sequence: ++worker.sequence,
      fencingToken: worker.fencingToken,
      terminationNoticeUs: worker.terminatesAt === null ? null : Math.max(0, worker.terminatesAt - this.now),
      tasks: worker.tasks.map(({ job, index, attempt, state, cause, checkpointed }) => ({
        job,
        index,
        attempt,
        state,
        cause,
        checkpointed,
      })),
    };
  }

  /** Processes the response to a heartbeat. `leader`: the index of the node that a redirect names; -1: none. */
  handleResponse(
    worker: Worker,
    session: number,
    sentAt: Micros,
    response: HeartbeatResponse,
    leader: number,
  ): void {
    if (!worker.alive || worker.agentEpoch !== session || this.now < worker.unreachableUntil) return;
    if (response.kind === 'accepted') {
      if (response.fencingToken < worker.fencingToken) return;
      worker.fencingToken = response.fencingToken;
      worker.leaseRenewedAt = sentAt;
      for (const command of response.commands) this.executeCommand(worker, command);
    } else if (leader >= 0 && leader !== worker.node) {
      worker.node = leader;
      worker.nextHeartbeatAt = this.now + 100 * MILLISECOND;
    } else this.switchNode(worker);
  }

  /** Tries the next controller in a second. */
  switchNode(worker: Worker): void {
    worker.node = (worker.node + 1) % this.host.nodes;
    worker.nextHeartbeatAt = this.now + SECOND;
  }

  /** The heartbeat times out: tries the next controller after the timeout. */
  recordTimeout(worker: Worker): void {
    this.switchNode(worker);
    worker.nextHeartbeatAt += HEARTBEAT_TIMEOUT;
  }

  /** Executes direct commands, unless their token is outdated or they are for another session. */
  executeCommands(
    name: string,
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
  ): CommandReply {
    const worker = this.workers.get(name);
    if (worker === undefined || !worker.alive || this.now < worker.readyAt)
      return { kind: 'lost', heartbeat: null };
    if (token < worker.fencingToken || session !== worker.agentEpoch)
      return { kind: 'refused', heartbeat: this.heartbeatOf(worker) };
    worker.fencingToken = token;
    for (const command of commands) this.executeCommand(worker, command);
    return { kind: 'executed', heartbeat: this.heartbeatOf(worker) };
  }

  private executeCommand(worker: Worker, command: WorkerCommand): void {
    const task = worker.tasks.find((x) => x.job === command.job && x.index === command.index);
    if (command.op === 'forget') {
      worker.tasks = worker.tasks.filter(
        (x) => x !== task || x.attempt !== command.attempt || x.state !== 'exited',
      );
      return;
    }
    if (command.op === 'stop') {
      if (task?.attempt === command.attempt && task.state !== 'exited')
        this.stopTask(worker, task, command.graceUs);
      return;
    }
    if (task?.attempt === command.attempt) return;
    if (task !== undefined && task.state !== 'exited') {
      worker.tasks.push({
        ...command,
        state: 'exited',
        cause: 'busy',
        checkpointed: false,
        stateEndsAt: 0,
        runningSince: null,
      });
      return;
    }
    worker.tasks = worker.tasks.filter((x) => x !== task);
    this.checkStart(worker, command);
    worker.tasks.push({
      job: command.job,
      index: command.index,
      attempt: command.attempt,
      state: 'fetching',
      cause: null,
      checkpointed: false,
      stateEndsAt: this.now + 500 * MILLISECOND,
      runningSince: null,
    });
  }

  /** Stops a task, after a checkpoint if the grace period allows one; a stop without grace cuts a checkpoint short. */
  private stopTask(worker: Worker, task: SimulatedTask, graceUs: Micros): void {
    const spec = this.work.specs.get(task.job);
    if (task.state === 'running' && spec !== undefined) {
      if (this.host.cancelledAt(task.job) === undefined && !this.work.isDone(task.job))
        this.stoppedRunning.push({ at: this.now, task: `${task.job}/${task.index}`, machine: worker.name });
      if (spec.checkpointIntervalUs > 0 && graceUs >= spec.checkpointDurationUs) {
        this.recordRun(task);
        task.runningSince = null;
        task.state = 'saving';
        task.stateEndsAt = this.now + spec.checkpointDurationUs;
        this.checkpoints.begun++;
        return;
      }
    }
    if (task.state === 'saving') {
      if (graceUs > 0) return;
      this.checkpoints.cut++;
    }
    this.recordRun(task);
    task.state = 'exited';
    task.cause = 'stopped';
  }

  /** Checks dependencies, cancellation, uniqueness, quota, placement and room when a task is started. */
  private checkStart(worker: Worker, command: WorkerCommand & { op: 'start' }): void {
    this.starts++;
    const spec = this.host.findSpec(command.job);
    if (spec === undefined) {
      this.host.reportViolation(`start of unknown job ${command.job}`);
      return;
    }
    for (const dependency of spec.dependsOn)
      if (!this.work.isDone(dependency))
        this.host.reportViolation(`too_early ${command.job}/${command.index}: ${dependency} is not done`);
    const cancelledAt = this.host.cancelledAt(command.job);
    if (cancelledAt !== undefined) this.startsAfterCancellation.push(this.now - cancelledAt);
    if (cancelledAt !== undefined && this.now > cancelledAt + CANCELLATION_DEADLINE)
      this.host.reportViolation(`ran_cancelled ${command.job}`);
    let cores = spec.cores;
    const zones = new Map<string, number>([[worker.zone, 1]]);
    for (const other of this.workers.values()) {
      if (!other.alive) continue;
      for (const task of other.tasks) {
        if (task.state === 'exited') continue;
        const otherSpec = this.work.specs.get(task.job);
        if (otherSpec?.team === spec.team) cores += otherSpec.cores;
        if (task.job !== command.job) continue;
        if (task.index === command.index)
          this.host.reportViolation(
            `ran_twice ${command.job}/${command.index} on ${worker.name} and ${other.name}`,
          );
        zones.set(other.zone, (zones.get(other.zone) ?? 0) + 1);
      }
    }
    if (cores > this.teamCores) this.host.reportViolation(`quota ${command.job}: ${cores}`);
    if (spec.sameZone && zones.size > 1) this.host.reportViolation(`wrong_place ${command.job}: zones`);
    if (spec.spreadAcrossZones && (zones.get(worker.zone) ?? 0) > Math.ceil(spec.tasks / 2))
      this.host.reportViolation(`wrong_place ${command.job}: spread`);
    if ((spec.zone !== null && spec.zone !== worker.zone) || (worker.spot && !spec.spot))
      this.host.reportViolation(`wrong_place ${command.job}: ${worker.zone}`);
    const used = worker.tasks
      .filter((task) => task.state !== 'exited')
      .reduce((n, task) => n + (this.work.specs.get(task.job)?.cores ?? 0), 0);
    if (used + spec.cores > MACHINE_TYPE.cores) this.host.reportViolation(`no room on ${worker.name}`);
  }

  /** Processes all that is due: terminations, lease expiries, task state changes, heartbeats. */
  advance(): void {
    for (const worker of this.workers.values()) {
      if (!worker.alive || this.now < worker.readyAt) continue;
      if (worker.terminatesAt !== null && this.now >= worker.terminatesAt) {
        this.kill(worker);
        continue;
      }
      if (this.now > worker.leaseRenewedAt + LEASE_DURATION * (1 + this.clockSlowdown)) {
        for (const task of worker.tasks) this.recordRun(task);
        worker.tasks = [];
        worker.agentEpoch++;
        worker.sequence = 0;
        worker.leaseRenewedAt = this.now;
      }
      if (this.now < worker.unreachableUntil) continue;
      let changed = false;
      for (const task of worker.tasks) {
        if (task.state === 'exited' || this.now < task.stateEndsAt) continue;
        const spec = this.work.specs.get(task.job)!;
        if (task.state === 'fetching') {
          task.state = spec.shape === 'gang' ? 'waiting' : 'running';
          if (task.state === 'running') task.runningSince = this.now;
          task.stateEndsAt = this.now + spec.estimatedRunUs;
        } else if (task.state === 'running') {
          this.recordRun(task);
          task.state = 'exited';
          task.cause = 'done';
          this.work.complete(task.job, task.index);
        } else if (task.state === 'saving') {
          task.state = 'exited';
          task.cause = 'stopped';
          task.checkpointed = true;
          this.checkpoints.ended++;
        } else continue;
        changed = true;
      }
      if (changed) worker.nextHeartbeatAt = Math.min(worker.nextHeartbeatAt, this.now + 50 * MILLISECOND);
      if (this.now < worker.nextHeartbeatAt) continue;
      worker.nextHeartbeatAt = this.now + HEARTBEAT_INTERVAL;
      this.host.sendHeartbeat(worker);
    }
    this.advanceGangs();
  }

  /** Records how long the task has run, if it is running. */
  private recordRun(task: SimulatedTask): void {
    if (task.runningSince === null || task.state === 'exited') return;
    this.work.recordRun(task.job, task.index, this.now - task.runningSince);
  }

  /** Starts gangs whose members are all ready, and ends the members of incomplete gangs. */
  private advanceGangs(): void {
    const gangs = new Map<string, SimulatedTask[]>();
    for (const worker of this.workers.values())
      if (worker.alive)
        for (const task of worker.tasks)
          if (task.state !== 'exited' && this.work.specs.get(task.job)?.shape === 'gang') {
            const key = `${task.job}|${task.attempt}`;
            gangs.set(key, [...(gangs.get(key) ?? []), task]);
          }
    for (const members of gangs.values()) {
      const spec = this.work.specs.get(members[0]!.job)!;
      if (members.length === spec.tasks && members.every((task) => task.state === 'waiting'))
        for (const task of members) {
          task.state = 'running';
          task.runningSince = this.now;
          task.stateEndsAt = this.now + spec.estimatedRunUs;
        }
      else if (members.length < spec.tasks && !this.work.completed.has(spec.id))
        for (const task of members)
          if (task.state === 'running') {
            this.recordRun(task);
            task.state = 'exited';
            task.cause = 'peers';
          }
    }
  }

  /** Checks that tasks of cancelled jobs stop in time. */
  checkCancelled(cancelled: ReadonlyMap<string, Micros>): void {
    if (cancelled.size === 0) return;
    for (const worker of this.workers.values()) {
      if (!worker.alive) continue;
      for (const task of worker.tasks) {
        const at = task.state === 'exited' ? undefined : cancelled.get(task.job);
        if (at === undefined) continue;
        this.lastSeenAfterCancellation.set(task.job, this.now);
        if (this.now > at + CANCELLATION_DEADLINE)
          this.host.reportViolation(`ran_cancelled ${task.job} on ${worker.name}`);
      }
    }
  }
}
