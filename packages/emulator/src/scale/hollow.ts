/**
 * A deployment on loopback whose controllers are real processes, and whose workers, cloud and state service are hollow.
 * Whatever ends by itself is reported; at the end all that was started is ended by its process id.
 */
import { type ChildProcess, fork, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

import { controllerSettings } from '../controller-settings.js';
import { call, freePorts, type Served } from '../loopback-http.js';
import { serveCloud, serveState } from '../loopback-stand-ins.js';
import { specOf } from '../specs.js';
import { StateModel } from '../state-model.js';
import { encodeSubmission } from '../wire.js';
import {
  addressOf,
  HOLLOW_TYPE,
  type HollowCounts,
  type HollowWorkersConfig,
  machineName,
  noCounts,
  zoneOf,
} from './hollow-messages.js';
import { TEAMS } from './load.js';
import { type ProcessUsage, usageOf } from './process-usage.js';
import { summarize, type Summary } from './statistics.js';

export interface HollowOptions {
  readonly workers: number;
  readonly controllers: number;
  /** Processes that share the workers. */
  readonly processes: number;
  readonly seconds: number;
  readonly startsPerSecond: number;
  readonly taskSeconds: number;
  readonly reportSeconds: number;
  readonly leaseSeconds: number;
  /** Limit of the state service that the controllers are told, in puts and deletes a second. */
  readonly stateWriteRps: number;
  /** After so many seconds of work the leader is killed; null: it is not. */
  readonly killLeaderAt: number | null;
  /** Memory that the heap of each controller may take, in megabytes. */
  readonly heapMb: number;
  /** How to start a controller, up to its first argument. */
  readonly program: readonly string[];
}

interface RoleUsage extends ProcessUsage {
  readonly role: string;
  /** Share of a core while work came. */
  readonly coreShare: number;
}

export interface HollowReport {
  readonly options: Omit<HollowOptions, 'program'>;
  /** From the start of the workers until all had been answered by a leader; null: not within the time. */
  readonly settledS: number | null;
  readonly usage: readonly RoleUsage[];
  readonly leader: string;
  readonly reportsPerSecond: number;
  readonly unanswered: number;
  readonly leasesEnded: number;
  readonly answerMs: Summary;
  readonly startsPerSecond: number;
  readonly submitted: number;
  readonly refusedSubmissions: number;
  readonly startedTasks: number;
  /** From submission to start, of the tasks that started. */
  readonly timeToStartS: Summary;
  /** Of one worker, both ways, bodies alone. */
  readonly workerBytesPerSecond: number;
  readonly stateRequestsPerSecond: number;
  readonly statePutsPerSecond: number;
  /** After the leader was killed until another one was on record; null: nobody was, or it was not killed. */
  readonly newLeaderAfterS: number | null;
  readonly endedByThemselves: readonly string[];
}

const ARRAY_TASKS = 100;
const SETTLE_MOST_S = 120;
const USER_PATIENCE_MS = 5_000;
const LOOK_EVERY_MS = 500;
const STATE_RPS = 2_000;
const CLOUD_RPS = 10;
const LIST_PAGE = 500;

const pause = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

interface Controller {
  readonly member: string;
  readonly address: string;
  child: ChildProcess;
}

class HollowRun {
  private readonly folder = mkdtempSync(join(tmpdir(), 'shaleyoke-scale-'));
  private readonly began = performance.now();
  private readonly state = new StateModel(
    () => this.now(),
    (run) => setImmediate(run),
  );
  private readonly servers: Served[] = [];
  private readonly controllers: Controller[] = [];
  private readonly workerProcesses: ChildProcess[] = [];
  private readonly endedByThemselves: string[] = [];
  private readonly submittedAt = new Map<string, number>();
  private readonly waitsS: number[] = [];
  private stateRequests = 0;
  private counts = noCounts();
  private refused = 0;
  private nextJob = 1;
  private stopping = false;

  constructor(private readonly o: HollowOptions) {}

  private now(): Micros {
    return Math.round((performance.now() - this.began) * MILLI);
  }

  async run(): Promise<HollowReport> {
    const expiry = setInterval(() => {
      this.state.expire();
    }, 50);
    try {
      await this.startControllers();
      this.startWorkers();
      const settledS = await this.settle();
      return await this.measure(settledS);
    } finally {
      clearInterval(expiry);
      this.stop();
    }
  }

  // ---- what the controllers talk to ----------------------------------------------------------------

  private async startStandIns(): Promise<{ state: string; cloud: string }> {
    const state = await serveState(this.state, () => {
      this.stateRequests++;
    });
    const cloud = await serveCloud((op) => this.cloud(op));
    this.servers.push(state, cloud);
    return { state: state.address, cloud: cloud.address };
  }

  /** All machines stand ready; none can be rented. */
  private cloud(op: CloudOperation): CloudReply {
    if (op.kind === 'types') return { kind: 'types', types: [HOLLOW_TYPE] };
    if (op.kind === 'rent') return { kind: 'noCapacity' };
    if (op.kind === 'delete') return { kind: 'deleted' };
    const after = op.after === '' ? 0 : Number(op.after.slice(2));
    const last = Math.min(this.o.workers, after + Math.min(op.limit, LIST_PAGE));
    const machines = [];
    for (let number = after + 1; number <= last; number++)
      machines.push({
        name: machineName(number),
        address: addressOf(number),
        type: HOLLOW_TYPE.name,
        zone: zoneOf(number),
        spot: false,
        state: 'running' as const,
        ageUs: this.now(),
      });
    return { kind: 'listed', machines, more: last < this.o.workers };
  }

  // ---- processes -----------------------------------------------------------------------------------

  private async startControllers(): Promise<void> {
    const { state, cloud } = await this.startStandIns();
    const ports = await freePorts(2 * this.o.controllers);
    const members = Array.from({ length: this.o.controllers }, (_, i) => ({
      member: `controller-${i}`,
      listen: `127.0.0.1:${ports[2 * i]}`,
      address: `127.0.0.1:${ports[2 * i + 1]}`,
    }));
    for (const { member, listen, address } of members) {
      const settings = controllerSettings({
        member,
        listen,
        peerListen: address,
        peers: members.filter((p) => p.member !== member),
        cloud,
        state,
        teams: TEAMS,
        reportS: this.o.reportSeconds,
        leaseS: this.o.leaseSeconds,
        cancelS: 2 * this.o.leaseSeconds,
        stateRps: STATE_RPS,
        stateWriteRps: this.o.stateWriteRps,
        cloudRps: CLOUD_RPS,
      });
      const file = join(this.folder, `${member}.toml`);
      writeFileSync(file, settings);
      const [program, ...first] = this.o.program;
      const args = [`--max-old-space-size=${this.o.heapMb}`, ...first, 'serve', '--config', file];
      const child = spawn(program!, args, {
        stdio: 'ignore',
        env: { ...process.env, LOG_LEVEL: 'error' },
      });
      this.watchEnd(child, member);
      this.controllers.push({ member, address: listen, child });
    }
  }

  private startWorkers(): void {
    const each = Math.ceil(this.o.workers / this.o.processes);
    const script = new URL('./hollow-workers.ts', import.meta.url).pathname;
    for (let first = 1; first <= this.o.workers; first += each) {
      const config: HollowWorkersConfig = {
        first,
        count: Math.min(each, this.o.workers - first + 1),
        nodes: this.controllers.map(({ member, address }) => ({ member, address })),
        reportUs: this.o.reportSeconds * SECOND,
        leaseUs: this.o.leaseSeconds * SECOND,
        taskUs: this.o.taskSeconds * SECOND,
      };
      const child = fork(script, [JSON.stringify(config)], { execArgv: ['--import', 'tsx'] });
      child.on('message', (counts) => {
        this.take(counts as HollowCounts);
      });
      this.watchEnd(child, `workers-${this.workerProcesses.length}`);
      this.workerProcesses.push(child);
    }
  }

  private watchEnd(child: ChildProcess, name: string): void {
    child.on('exit', (code, signal) => {
      if (!this.stopping && !child.killed) this.endedByThemselves.push(`${name}: ${signal ?? code}`);
    });
  }

  private stop(): void {
    this.stopping = true;
    for (const child of [...this.controllers.map((c) => c.child), ...this.workerProcesses])
      if (child.pid !== undefined && child.exitCode === null) child.kill('SIGKILL');
    for (const server of this.servers) server.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  // ---- the run -------------------------------------------------------------------------------------

  private take(counts: HollowCounts): void {
    const all = this.counts;
    all.reports += counts.reports;
    all.answered += counts.answered;
    all.unanswered += counts.unanswered;
    all.bytesOut += counts.bytesOut;
    all.bytesIn += counts.bytesIn;
    all.leasesEnded += counts.leasesEnded;
    all.answerMs.push(...counts.answerMs);
    for (const start of counts.starts) {
      all.starts.push(start);
      const submitted = this.submittedAt.get(start[0]);
      if (submitted !== undefined) this.waitsS.push((start[1] - submitted) / 1_000);
    }
  }

  private leader(): string {
    return (this.state.value('lead') as { member?: string } | undefined)?.member ?? '';
  }

  /** Until reports are answered at the rate at which they come, all workers together. */
  private async settle(): Promise<number | null> {
    const began = performance.now();
    while (performance.now() - began < SETTLE_MOST_S * 1_000) {
      this.counts = noCounts();
      await pause(this.o.reportSeconds * 1_000);
      if (this.endedByThemselves.length > 0) return null;
      const { answered } = this.counts;
      // Each reports once in that time, give or take a little.
      if (answered >= 0.9 * this.o.workers) return (performance.now() - began) / 1_000;
    }
    return null;
  }

  private async measure(settledS: number | null): Promise<HollowReport> {
    this.counts = noCounts();
    const leader = this.leader();
    const before = this.usages();
    const puts = this.state.changes;
    const requests = this.stateRequests;
    const began = performance.now();
    const killed =
      this.o.killLeaderAt === null ? Promise.resolve(null) : this.killLeader(this.o.killLeaderAt);
    await this.submitFor(this.o.seconds);
    const newLeaderAfterS = await killed;
    const seconds = (performance.now() - began) / 1_000;
    const usage = [...this.usages()].map(([role, now]) => ({
      role,
      ...now,
      coreShare: Math.max(0, now.cpuS - (before.get(role)?.cpuS ?? 0)) / seconds,
    }));
    // What was started in the last second is told a little later.
    await pause(2_000);
    const { counts, o } = this;
    const { program: _program, ...options } = o;
    return {
      options,
      settledS,
      usage,
      leader,
      reportsPerSecond: counts.reports / seconds,
      unanswered: counts.unanswered,
      leasesEnded: counts.leasesEnded,
      answerMs: summarize(counts.answerMs),
      startsPerSecond: counts.starts.length / seconds,
      submitted: this.submittedAt.size,
      refusedSubmissions: this.refused,
      startedTasks: counts.starts.length,
      timeToStartS: summarize(this.waitsS),
      workerBytesPerSecond: (counts.bytesIn + counts.bytesOut) / seconds / o.workers,
      stateRequestsPerSecond: (this.stateRequests - requests) / seconds,
      statePutsPerSecond: (this.state.changes - puts) / seconds,
      newLeaderAfterS,
      endedByThemselves: this.endedByThemselves,
    };
  }

  private usages(): Map<string, ProcessUsage> {
    const usages = new Map<string, ProcessUsage>();
    const add = (role: string, pid: number | undefined): void => {
      const usage = pid === undefined ? null : usageOf(pid);
      if (usage !== null) usages.set(role, usage);
    };
    for (const { member, child } of this.controllers) add(member, child.pid);
    this.workerProcesses.forEach((child, i) => {
      add(`workers-${i}`, child.pid);
    });
    add('stand-ins', process.pid);
    return usages;
  }

  /** Kills the controller that leads, as a crash would, and waits until another one leads. */
  private async killLeader(afterS: number): Promise<number | null> {
    await pause(afterS * 1_000);
    const former = this.leader();
    const began = performance.now();
    this.controllers.find((c) => c.member === former)?.child.kill('SIGKILL');
    while (performance.now() - began < SETTLE_MOST_S * 1_000) {
      await pause(LOOK_EVERY_MS);
      if (this.leader() !== '' && this.leader() !== former) return (performance.now() - began) / 1_000;
    }
    return null;
  }

  /** Arrays at the given rate of starts, each to the next controller. */
  private async submitFor(seconds: number): Promise<void> {
    const end = performance.now() + seconds * 1_000;
    const everyMs = (ARRAY_TASKS / this.o.startsPerSecond) * 1_000;
    let next = performance.now();
    while (performance.now() < end && this.endedByThemselves.length === 0) {
      while (next <= performance.now()) {
        next += everyMs;
        void this.submit();
      }
      await pause(Math.max(1, Math.min(50, next - performance.now())));
    }
  }

  private async submit(): Promise<void> {
    const number = this.nextJob++;
    const spec = specOf(`run-${String(number).padStart(6, '0')}`, {
      team: TEAMS[number % TEAMS.length]!,
      tasks: ARRAY_TASKS,
      gpus: number % 2,
      image: `image-${number % 8}`,
      estimatedRunUs: this.o.taskSeconds * SECOND,
    });
    const { address } = this.controllers[number % this.controllers.length]!;
    this.submittedAt.set(spec.id, Date.now());
    const answer = await call(address, 'POST', '/api/jobs', encodeSubmission(spec), USER_PATIENCE_MS);
    if (answer !== null && answer.status < 300) return;
    this.refused++;
    this.submittedAt.delete(spec.id);
  }
}

/** Takes the run's seconds and up to two minutes until all workers have a leader. */
export const runHollow = (options: HollowOptions): Promise<HollowReport> => new HollowRun(options).run();
