/**
 * Generated histories of a simulated deployment, for comparing versions of the code. Jobs, cancellations and faults depend
 * on the seed alone, and the clock that measures durations stands still, so that equal code sends equal bytes.
 */
import type { CoreEffect } from '@shaleyoke/core/domain/effects';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import type { Feature } from '@shaleyoke/core/feature-api';

import { ClusterSimulation } from '../cluster-simulation.js';
import { BASIC_SCENARIOS, EXTENDED_SCENARIOS, runScenarios } from '../fault-scenarios.js';
import { Random } from '../random.js';
import { makeJobSpec } from '../specs.js';
import { MessageDigest } from './message-digest.js';
import type { FeatureAnswerEncoder } from './message-encoding.js';

/** A client of a feature that sends requests between the steps of a history. */
export interface FeatureClient {
  /** Called once, before the simulation runs. */
  prepare(world: ClusterSimulation): void;
  /** Called at each step of the history; may send requests to any node. */
  sendRequests(world: ClusterSimulation, random: Random): void;
}

/** The features that a history enables in addition to the scheduler, and their clients. */
export interface HistoryFeatures {
  /** Creates the features of a newly started controller. */
  readonly features: (random: Random) => readonly Feature[];
  readonly clients: readonly FeatureClient[];
  readonly encodeAnswer: FeatureAnswerEncoder;
}

/** Runs the scheduler without any feature. */
export const NO_FEATURES: HistoryFeatures = {
  features: () => [],
  clients: [],
  encodeAnswer: () => '',
};

/** Contents of a seed's history, besides jobs and cancellations. */
export interface HistoryPlan {
  readonly seed: number;
  readonly faults: boolean;
  readonly membership: boolean;
  readonly budgets: boolean;
  readonly kubernetes: boolean;
}

/** Derives the plan from the seed: every fourth seed has no faults; each feature is enabled with a different period. */
export const planOf = (seed: number): HistoryPlan => ({
  seed,
  faults: seed % 4 !== 0,
  membership: seed % 2 === 0,
  budgets: seed % 3 === 0,
  kubernetes: seed % 5 < 2,
});

/** The digest of a history, and the messages that went into it. */
export interface HistoryDigest {
  readonly digest: string;
  readonly messages: number;
  /** Messages of each kind. */
  readonly counts: ReadonlyMap<CoreEffect['kind'], number>;
}

const STEPS = 40;
const MAX_JOBS = 30;
const NODE_COUNT = 3;
const LARGEST_TEAM_CORES = 14;
const TEAMS =
  `[[cluster.teams]]\nname = "t"\ncpus_max = ${LARGEST_TEAM_CORES}.0\n` +
  '[[cluster.teams]]\nname = "u"\ncpus = 6.0\n';
const WALL_CLOCK_START: Micros = Date.UTC(2026, 11, 1, 12) * 1000;

/** Generates a job of a random shape, with random options that the shape allows. */
const generateJob = (random: Random, id: string, earlier: readonly string[]): JobSpec => {
  const common: Partial<JobSpec> = {
    team: random.chance(0.5) ? 't' : 'u',
    priority: random.below(4) as JobSpec['priority'],
    estimatedRunUs: (3 + random.below(40)) * SECOND,
    spot: random.chance(0.4),
    deadlineUs: random.chance(0.3) ? (30 + random.below(90)) * SECOND : null,
    dependsOn: earlier.length > 0 && random.chance(0.25) ? [earlier[random.below(earlier.length)]!] : [],
  };
  const shape = random.below(6);
  if (shape === 0)
    return makeJobSpec(id, { ...common, shape: 'gang', tasks: 2 + random.below(3), sameZone: true });
  if (shape === 1) return makeJobSpec(id, { ...common, tasks: 4, spreadAcrossZones: true });
  if (shape === 2) {
    const checkpoints = { checkpointIntervalUs: 3 * SECOND, checkpointDurationUs: 2 * SECOND };
    return makeJobSpec(id, { ...common, ...checkpoints, tasks: 1 + random.below(3) });
  }
  if (shape === 3)
    return makeJobSpec(id, { ...common, shape: 'service', tasks: 1 + random.below(3), deadlineUs: null });
  if (shape === 4)
    return makeJobSpec(id, { ...common, tasks: 1 + random.below(3), machineTypes: ['box'], zone: 'a' });
  return makeJobSpec(id, { ...common, tasks: 1 + random.below(30) });
};

/** Injects random restarts, partitions, outages, lost and delayed messages, and failed or reclaimed machines. */
const injectRandomFaults = (world: ClusterSimulation, random: Random): void => {
  world.messageLoss = random.chance(0.3) ? 0.15 : 0.02;
  world.duplication = random.chance(0.2) ? 0.2 : 0;
  world.lateTransactionChance = random.chance(0.1) ? 0.3 : 0;
  world.lostReplyChance = random.chance(0.1) ? 0.3 : 0;
  world.delayedHeartbeatChance = random.chance(0.2) ? 0.5 : 0;
  if (random.chance(0.08)) world.crash(random.below(NODE_COUNT), random.below(6_000) * MILLISECOND);
  if (random.chance(0.05) && world.leaderIndex() >= 0) world.crash(world.leaderIndex(), 700 * MILLISECOND);
  if (random.chance(0.04)) world.stateOutage((2 + random.below(10)) * SECOND);
  if (random.chance(0.05)) world.freeze(random.below(NODE_COUNT), (1 + random.below(8)) * SECOND);
  if (random.chance(0.06))
    world.network.partition(
      world.nodes[random.below(NODE_COUNT)]!.name,
      'state',
      (2 + random.below(20)) * SECOND,
    );
  const worker = world.anyWorker();
  if (worker === undefined) return;
  if (random.chance(0.05)) world.killWorker(worker);
  if (random.chance(0.08)) worker.unreachableUntil = world.now + (3 + random.below(30)) * SECOND;
  if (random.chance(0.05)) worker.receivesNothingUntil = world.now + (3 + random.below(30)) * SECOND;
  if (random.chance(0.08)) {
    worker.terminatesAt = world.now + (5 + random.below(10)) * SECOND;
    worker.nextHeartbeatAt = world.now;
  }
};

const clearFaults = (world: ClusterSimulation): void => {
  world.messageLoss = 0;
  world.duplication = 0;
  world.lateTransactionChance = 0;
  world.lostReplyChance = 0;
  world.delayedHeartbeatChance = 0;
};

type EffectListener = (node: string, effect: CoreEffect, now: Micros) => void;

const runGeneratedJobs = (
  plan: HistoryPlan,
  { features, clients }: HistoryFeatures,
  onEffect: EffectListener,
): void => {
  const random = new Random(plan.seed * 7_919 + 3);
  const world = new ClusterSimulation(
    random,
    NODE_COUNT,
    TEAMS,
    LARGEST_TEAM_CORES,
    4,
    '',
    () => features(new Random(plan.seed)),
    WALL_CLOCK_START,
    plan.membership ? { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 } : null,
    { onEffect },
  );
  if (plan.seed % 2 === 1) world.addMachines(3);
  for (const client of clients) client.prepare(world);
  world.runFor(2 * SECOND);
  const ids: string[] = [];
  for (let step = 0; step < STEPS; step++) {
    if (plan.faults) injectRandomFaults(world, random);
    if (random.chance(0.7) && ids.length < MAX_JOBS) {
      const id = `run-${plan.seed}${String(ids.length).padStart(3, '0')}`;
      world.submit(generateJob(random, id, ids));
      ids.push(id);
    }
    const jobId = ids[random.below(Math.max(1, ids.length))];
    if (jobId !== undefined && random.chance(0.15)) world.cancel(jobId);
    if (jobId !== undefined && random.chance(0.4)) world.poll(jobId);
    for (const client of clients) client.sendRequests(world, random);
    world.runFor((500 + random.below(4_000)) * MILLISECOND);
  }
  clearFaults(world);
  for (const id of ids) world.poll(id);
  world.runFor(90 * SECOND);
  for (const id of ids) world.cancel(id);
  world.runFor(30 * SECOND);
};

/** Runs two of the scenarios that combine faults, one after the other. */
const runScenarioPair = (plan: HistoryPlan, onEffect: EffectListener): void => {
  const scenarios = Object.values({ ...BASIC_SCENARIOS, ...EXTENDED_SCENARIOS });
  const firstScenario = scenarios[plan.seed % scenarios.length]!;
  const secondScenario = scenarios[(plan.seed * 7 + 3) % scenarios.length]!;
  runScenarios(
    plan.seed,
    [firstScenario, secondScenario],
    1,
    { recoveryTime: 20 * SECOND, drainTime: 60 * SECOND },
    { onEffect },
  );
};

/** Simulates the history of one seed and returns the digest of all messages that the controllers sent. */
export const digestOfSeed = (
  plan: HistoryPlan,
  options: HistoryFeatures,
  trace: ((line: string) => void) | null = null,
): HistoryDigest => {
  const digest = new MessageDigest(options.encodeAnswer, trace);
  const onEffect: EffectListener = (node, effect, now) => {
    digest.add(now, node, effect);
  };
  runGeneratedJobs(plan, options, onEffect);
  if (plan.faults) runScenarioPair(plan, onEffect);
  return { messages: digest.messageCount, counts: digest.counts, digest: digest.finish() };
};
