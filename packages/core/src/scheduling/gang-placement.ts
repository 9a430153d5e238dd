/**
 * Places gangs. The members run at the same time, so that none can have the room of another one after it: a placement is
 * accepted only if at the common start every member has its room at once. What a plan holds for a gang is therefore bounded
 * by the machines and offers, whatever number of members it has.
 */
import type { Micros } from '../domain/time.js';
import { tasksFittingNow } from './free-capacity.js';
import { earliestCommonStart } from './gang-start.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, PlanStep, TaskGroup } from './plan-input.js';
import { acceptAny, type Chunk, distributeTasks, type OptionFilter } from './task-distribution.js';

/** Enumerations of all machines for a placement by rank; a gang that needs more is placed at its earliest common start. */
const MAX_ENUMERATIONS = 8;
/** Members of a gang that is placed by rank, since that may take a step for each of them. */
const MAX_MEMBERS_BY_RANK = 1_000;

/** Chooses machines for all members, of which none frees its capacity for another one. Changes nothing. */
const chooseMachines = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
  accept: OptionFilter,
  maxEnumerations: number,
): Chunk[] | null => {
  const mark = simulation.mark();
  const chunks = distributeTasks(simulation, group, group.count, {
    zone,
    first,
    accept,
    place: ({ option, count }) => {
      simulation.hold(option.placement, group, count, option.start, option.finish);
    },
    maxEnumerations,
  });
  simulation.rollback(mark);
  return chunks;
};

/**
 * Places all members on the chosen machines: they start when the last one can, and finish with the slowest one; each keeps
 * its capacity from its own start on. Returns null and changes nothing if a member lacks room at the common start.
 */
const placeTogether = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  chunks: readonly Chunk[],
): PlanStep[] | null => {
  const mark = simulation.mark();
  const start = Math.max(...chunks.map(({ option }) => option.start));
  const finish = start + Math.max(...chunks.map(({ option }) => option.finish - option.start));
  for (const { option, count } of chunks) {
    const { placement } = option;
    const ownFinish = start + option.finish - option.start;
    simulation.provision(option);
    if (!simulation.hasRoom(placement, group, count, option.start, ownFinish)) {
      simulation.rollback(mark);
      return null;
    }
    simulation.occupy(placement, group, count, option.start, finish);
  }
  return chunks.map(({ option: { placement }, count }) => ({
    group,
    placement,
    slot: placement.slot,
    count,
    start,
    finish,
  }));
};

/** Places the gang on the machines with the best ranks. */
const placeByRank = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
  accept: OptionFilter,
): PlanStep[] | null => {
  if (group.count > MAX_MEMBERS_BY_RANK) return null;
  const chunks = chooseMachines(simulation, group, zone, first, accept, MAX_ENUMERATIONS);
  return chunks === null ? null : placeTogether(simulation, group, chunks);
};

/** Places the gang when all members have room at once for good. */
const placeAtCommonStart = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
): PlanStep[] | null => {
  const start = earliestCommonStart(simulation, group, zone);
  if (start === null) return null;
  const waiting: TaskGroup = { ...group, notBefore: start, excludesLaterWork: true };
  const accept: OptionFilter = (option) => option.start <= start;
  const chunks = chooseMachines(simulation, waiting, zone, null, accept, Infinity);
  return chunks === null ? null : placeTogether(simulation, group, chunks);
};

/** Places the gang by rank if that leads to a common start, or else at the earliest one. */
const placeSoonest = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
): PlanStep[] | null =>
  placeByRank(simulation, group, zone, first, acceptAny) ?? placeAtCommonStart(simulation, group, zone);

const finishOf = (steps: readonly PlanStep[]): Micros => steps[0]!.finish;

/**
 * Places a gang by rank, or on machines where all members can start now if that finishes sooner. By rank alone, all members
 * may wait for the last one although machines of slightly worse rank (image not cached, machine kept busy for longer) have
 * capacity for all of them now. Several gangs then hold each other's machines in the plan and none starts: on a
 * recorded day, 60 places stood idle while ten gangs of 16 waited. Returns null and changes nothing if the members never fit
 * at once.
 */
export const placeGang = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
): PlanStep[] | null => {
  const { now, totalCapacity } = simulation.snapshot;
  if (!totalCapacity.holdsAtOnce(group.spec, group.count)) return null;
  const mark = simulation.mark();
  const allFitNow = tasksFittingNow(simulation, group, zone, group.count) >= group.count;
  const steps = placeSoonest(simulation, group, zone, first);
  if (!allFitNow || steps === null || steps[0]!.start <= now) return steps;
  simulation.rollback(mark);
  // Expensive machines are excluded: a gang on them would keep their GPUs from work that needs them.
  const startsNow: OptionFilter = (option) => option.start <= now && !option.expensive;
  const firstNow = first !== null && startsNow(first) ? first : null;
  const immediateSteps = placeByRank(simulation, group, zone, firstNow, startsNow);
  if (immediateSteps !== null && finishOf(immediateSteps) < finishOf(steps)) return immediateSteps;
  simulation.rollback(mark);
  return placeSoonest(simulation, group, zone, first);
};
