/** Messages between the processes of a hollow run, and names, addresses and type of its machines. */
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';

/** Configuration of a process of hollow workers, passed as JSON in its only argument. */
export interface HollowWorkersConfig {
  /** Number of the first worker; the others are numbered consecutively. */
  readonly first: number;
  readonly count: number;
  readonly nodes: readonly { readonly member: string; readonly address: string }[];
  readonly reportUs: number;
  readonly leaseUs: number;
  readonly taskUs: number;
}

/** Activity of the workers of one process since its previous message. */
export interface HollowCounts {
  reports: number;
  /** Heartbeats that got a response with status 200. */
  answered: number;
  /** Heartbeats that got no response before the worker's timeout. */
  unanswered: number;
  bytesOut: number;
  bytesIn: number;
  leasesEnded: number;
  /** Job and Unix time in milliseconds of each task start. */
  starts: [job: string, atMs: number][];
  /** A sample of the response times, in milliseconds. */
  answerMs: number[];
}

/** Counts at the start of a measurement. */
export const emptyCounts = (): HollowCounts => ({
  reports: 0,
  answered: 0,
  unanswered: 0,
  bytesOut: 0,
  bytesIn: 0,
  leasesEnded: 0,
  starts: [],
  answerMs: [],
});

/** Zones over which the hollow workers are distributed. */
export const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** The machine type of all hollow workers. */
export const HOLLOW_TYPE: MachineType = {
  name: 'hollow',
  cores: 16,
  gpus: 2,
  memoryGb: 64,
  imageCacheGb: 100,
  imagePullGbPerS: 1,
  price: 1,
  spotPrice: 1,
  bootUs: 10 * SECOND,
  zones: ZONES,
};

const WORKER_PORT = 9_000;

/** The machine name of a worker; the simulated cloud's page tokens are such names. */
export const machineName = (number: number): string => `m-${String(number).padStart(6, '0')}`;
/** The zone of a worker; consecutive workers are in different zones. */
export const zoneOf = (number: number): string => ZONES[number % ZONES.length]!;
/** The listen address of a worker; each has its own IP address in 127.0.0.0/8. */
export const addressOf = (number: number): string =>
  `127.${1 + (number >> 16)}.${(number >> 8) & 255}.${number & 255}:${WORKER_PORT}`;
