/**
 * A deployment on the loopback interface with controllers as real processes, and simulated ("hollow") workers, cloud and
 * key-value store. Processes that exit unexpectedly are reported; at the end all child processes are killed.
 */
import { type ChildProcess, fork, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { controllerSettings } from '../controller-settings.js';
import { freePorts, httpCall, type HttpServer } from '../loopback-http.js';
import { serveCloud, serveStore } from '../loopback-stand-ins.js';
import { makeJobSpec } from '../specs.js';
import { StateModel } from '../state-model.js';
import { encodeSubmission } from '../wire.js';
import {
  addressOf,
  emptyCounts,
  HOLLOW_TYPE,
  type HollowCounts,
  type HollowWorkersConfig,
  machineName,
  zoneOf,
} from './hollow-messages.js';
import { type ProcessUsage, usageOf } from './process-usage.js';
import { summarize, type Summary } from './statistics.js';
import { TEAM_NAMES } from './workload.js';

/** Parameters of a hollow run. */
export interface HollowOptions {
  readonly workers: number;
  readonly controllers: number;
  /** Number of processes over which the workers are distributed. */
  readonly processes: number;
  readonly seconds: number;
  readonly startsPerSecond: number;
  readonly taskSeconds: number;
  readonly reportSeconds: number;
  readonly leaseSeconds: number;
  /** The key-value store's limit in the controllers' settings, in puts and deletes per second. */
  readonly stateWriteRps: number;
  /** The leader is killed this many seconds after job submission starts; null: never. */
  readonly killLeaderAt: number | null;
  /** Heap limit of each controller, in megabytes. */
  readonly heapMb: number;
  /** The command that starts a controller, without `serve` and its options. */
  readonly program: readonly string[];
}

interface RoleUsage extends ProcessUsage {
  readonly role: string;
  /** CPU usage as a share of one core while jobs were submitted. */
  readonly coreShare: number;
}

/** The result of a hollow run, as stored in a JSON file. */
export interface HollowReport {
  readonly options: Omit<HollowOptions, 'program'>;
  /** Time from the start of the workers until the leader accepted heartbeats of nearly all; null: not within the limit. */
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
  /** Time from submission to start, of the started tasks. */
  readonly timeToStartS: Summary;
  /** Traffic of one worker in both directions, message bodies only. */
  readonly workerBytesPerSecond: number;
  readonly stateRequestsPerSecond: number;
  readonly statePutsPerSecond: number;
  /** Time from killing the leader until the store recorded a new one; null: none was recorded, or it was not killed. */
  readonly newLeaderAfterS: number | null;
  readonly endedByThemselves: readonly string[];
}

const ARRAY_TASKS = 100;
const MAX_SETTLE_S = 120;
const SUBMISSION_TIMEOUT_MS = 5_000;
const LEADER_POLL_INTERVAL_MS = 500;
const STORE_REQUESTS_PER_S = 2_000;
const CLOUD_REQUESTS_PER_S = 10;
const MAX_LIST_PAGE = 500;

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

interface Controller {
  readonly member: string;
  readonly address: string;
  child: ChildProcess;
}

class HollowRun {
  private readonly folder = mkdtempSync(join(tmpdir(), 'shaleyoke-scale-'));
  private readonly startedAt = performance.now();
  private readonly store = new StateModel(
    () => this.now(),
    (run) => setImmediate(run),
  );
  private readonly servers: HttpServer[] = [];
  private readonly controllers: Controller[] = [];
  private readonly workerProcesses: ChildProcess[] = [];
  private readonly unexpectedExits: string[] = [];
  private readonly submittedAt = new Map<string, number>();
  private readonly startDelaysS: number[] = [];
  private storeRequests = 0;
  private counts = emptyCounts();
  private refusedSubmissions = 0;
  private nextJob = 1;
  private isStopping = false;

  constructor(private readonly options: HollowOptions) {}

  private now(): Micros {
    return Math.round((performance.now() - this.startedAt) * MILLISECOND);
  }

  async run(): Promise<HollowReport> {
    const expiry = setInterval(() => {
      this.store.expire();
    }, 50);
    try {
      await this.startControllers();
      this.startWorkers();
      const settledS = await this.waitUntilSettled();
      return await this.measure(settledS);
    } finally {
      clearInterval(expiry);
      this.stop();
    }
  }

  private async startStandIns(): Promise<{ state: string; cloud: string }> {
    const state = await serveStore(this.store, () => {
      this.storeRequests++;
    });
    const cloud = await serveCloud((op) => this.cloud(op));
    this.servers.push(state, cloud);
    return { state: state.address, cloud: cloud.address };
  }

  /** All machines are already running; none can be provisioned. */
  private cloud(op: CloudOperation): CloudReply {
    if (op.kind === 'types') return { kind: 'types', types: [HOLLOW_TYPE] };
    if (op.kind === 'rent') return { kind: 'noCapacity' };
    if (op.kind === 'delete') return { kind: 'deleted' };
    const after = op.after === '' ? 0 : Number(op.after.slice(2));
    const last = Math.min(this.options.workers, after + Math.min(op.limit, MAX_LIST_PAGE));
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
    return { kind: 'listed', machines, more: last < this.options.workers };
  }

  private async startControllers(): Promise<void> {
    const { state, cloud } = await this.startStandIns();
    const ports = await freePorts(2 * this.options.controllers);
    const members = Array.from({ length: this.options.controllers }, (_, i) => ({
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
        teams: TEAM_NAMES,
        heartbeatIntervalS: this.options.reportSeconds,
        leaseS: this.options.leaseSeconds,
        cancelS: 2 * this.options.leaseSeconds,
        stateRps: STORE_REQUESTS_PER_S,
        stateWriteRps: this.options.stateWriteRps,
        cloudRps: CLOUD_REQUESTS_PER_S,
      });
      const file = join(this.folder, `${member}.toml`);
      writeFileSync(file, settings);
      const [program, ...programArguments] = this.options.program;
      const args = [
        `--max-old-space-size=${this.options.heapMb}`,
        ...programArguments,
        'serve',
        '--config',
        file,
      ];
      const child = spawn(program!, args, {
        stdio: 'ignore',
        env: { ...process.env, LOG_LEVEL: 'error' },
      });
      this.reportUnexpectedExit(child, member);
      this.controllers.push({ member, address: listen, child });
    }
  }

  private startWorkers(): void {
    const workersPerProcess = Math.ceil(this.options.workers / this.options.processes);
    const script = new URL('./hollow-workers.ts', import.meta.url).pathname;
    for (let first = 1; first <= this.options.workers; first += workersPerProcess) {
      const config: HollowWorkersConfig = {
        first,
        count: Math.min(workersPerProcess, this.options.workers - first + 1),
        nodes: this.controllers.map(({ member, address }) => ({ member, address })),
        reportUs: this.options.reportSeconds * SECOND,
        leaseUs: this.options.leaseSeconds * SECOND,
        taskUs: this.options.taskSeconds * SECOND,
      };
      const child = fork(script, [JSON.stringify(config)], { execArgv: ['--import', 'tsx'] });
      child.on('message', (counts) => {
        this.addCounts(counts as HollowCounts);
      });
      this.reportUnexpectedExit(child, `workers-${this.workerProcesses.length}`);
      this.workerProcesses.push(child);
    }
  }

  private reportUnexpectedExit(child: ChildProcess, name: string): void {
    child.on('exit', (code, signal) => {
      if (!this.isStopping && !child.killed) this.unexpectedExits.push(`${name}: ${signal ?? code}`);
    });
  }

  private stop(): void {
    this.isStopping = true;
    for (const child of [...this.controllers.map((c) => c.child), ...this.workerProcesses])
      if (child.pid !== undefined && child.exitCode === null) child.kill('SIGKILL');
    for (const server of this.servers) server.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private addCounts(counts: HollowCounts): void {
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
      if (submitted !== undefined) this.startDelaysS.push((start[1] - submitted) / 1_000);
    }
  }

  private leader(): string {
    return (this.store.value('lead') as { member?: string } | undefined)?.member ?? '';
  }

  /** Waits until the leader accepts one heartbeat per worker and heartbeat interval; returns the seconds that took. */
  private async waitUntilSettled(): Promise<number | null> {
    const began = performance.now();
    while (performance.now() - began < MAX_SETTLE_S * 1_000) {
      this.counts = emptyCounts();
      await sleep(this.options.reportSeconds * 1_000);
      if (this.unexpectedExits.length > 0) return null;
      const { answered } = this.counts;
      // Each worker sends about one heartbeat per interval; a few may fall outside of it.
      if (answered >= 0.9 * this.options.workers) return (performance.now() - began) / 1_000;
    }
    return null;
  }

  private async measure(settledS: number | null): Promise<HollowReport> {
    this.counts = emptyCounts();
    const leader = this.leader();
    const usagesBefore = this.processUsages();
    const putsBefore = this.store.appliedWrites;
    const requestsBefore = this.storeRequests;
    const began = performance.now();
    const leaderChange =
      this.options.killLeaderAt === null ? Promise.resolve(null) : this.killLeader(this.options.killLeaderAt);
    await this.submitJobsFor(this.options.seconds);
    const newLeaderAfterS = await leaderChange;
    const seconds = (performance.now() - began) / 1_000;
    const usage = [...this.processUsages()].map(([role, now]) => ({
      role,
      ...now,
      coreShare: Math.max(0, now.cpuS - (usagesBefore.get(role)?.cpuS ?? 0)) / seconds,
    }));
    // The worker processes send the counts of the last second with a delay.
    await sleep(2_000);
    const { counts, options } = this;
    const { program: _program, ...reportedOptions } = options;
    return {
      options: reportedOptions,
      settledS,
      usage,
      leader,
      reportsPerSecond: counts.reports / seconds,
      unanswered: counts.unanswered,
      leasesEnded: counts.leasesEnded,
      answerMs: summarize(counts.answerMs),
      startsPerSecond: counts.starts.length / seconds,
      submitted: this.submittedAt.size,
      refusedSubmissions: this.refusedSubmissions,
      startedTasks: counts.starts.length,
      timeToStartS: summarize(this.startDelaysS),
      workerBytesPerSecond: (counts.bytesIn + counts.bytesOut) / seconds / options.workers,
      stateRequestsPerSecond: (this.storeRequests - requestsBefore) / seconds,
      statePutsPerSecond: (this.store.appliedWrites - putsBefore) / seconds,
      newLeaderAfterS,
      endedByThemselves: this.unexpectedExits,
    };
  }

  private processUsages(): Map<string, ProcessUsage> {
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

  /** Kills the leader with SIGKILL and waits until the store records another leader. */
  private async killLeader(afterS: number): Promise<number | null> {
    await sleep(afterS * 1_000);
    const former = this.leader();
    const began = performance.now();
    this.controllers.find((c) => c.member === former)?.child.kill('SIGKILL');
    while (performance.now() - began < MAX_SETTLE_S * 1_000) {
      await sleep(LEADER_POLL_INTERVAL_MS);
      if (this.leader() !== '' && this.leader() !== former) return (performance.now() - began) / 1_000;
    }
    return null;
  }

  /** Submits array jobs at the requested rate of task starts, to the controllers in turn. */
  private async submitJobsFor(seconds: number): Promise<void> {
    const end = performance.now() + seconds * 1_000;
    const intervalMs = (ARRAY_TASKS / this.options.startsPerSecond) * 1_000;
    let nextSubmissionAt = performance.now();
    while (performance.now() < end && this.unexpectedExits.length === 0) {
      while (nextSubmissionAt <= performance.now()) {
        nextSubmissionAt += intervalMs;
        void this.submitJob();
      }
      await sleep(Math.max(1, Math.min(50, nextSubmissionAt - performance.now())));
    }
  }

  private async submitJob(): Promise<void> {
    const number = this.nextJob++;
    const spec = makeJobSpec(`run-${String(number).padStart(6, '0')}`, {
      team: TEAM_NAMES[number % TEAM_NAMES.length]!,
      tasks: ARRAY_TASKS,
      gpus: number % 2,
      image: `image-${number % 8}`,
      estimatedRunUs: this.options.taskSeconds * SECOND,
    });
    const { address } = this.controllers[number % this.controllers.length]!;
    this.submittedAt.set(spec.id, Date.now());
    const answer = await httpCall(
      address,
      'POST',
      '/api/jobs',
      encodeSubmission(spec),
      SUBMISSION_TIMEOUT_MS,
    );
    if (answer !== null && answer.status < 300) return;
    this.refusedSubmissions++;
    this.submittedAt.delete(spec.id);
  }
}

/** Executes a hollow run. It takes `seconds`, after up to two minutes until the workers have found the leader. */
export const runHollow = (options: HollowOptions): Promise<HollowReport> => new HollowRun(options).run();
