/** What the parts of a hollow run tell each other, and what its types of machines are. */
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';

/** Handed to a process of hollow workers as the only argument, as JSON. */
export interface HollowWorkersConfig {
  /** Number of the first worker; the others follow. */
  readonly first: number;
  readonly count: number;
  readonly nodes: readonly { readonly member: string; readonly address: string }[];
  readonly reportUs: number;
  readonly leaseUs: number;
  readonly taskUs: number;
}

/** What the workers of one process did since it last said so. */
export interface HollowCounts {
  reports: number;
  /** Answered with 200. */
  answered: number;
  /** Not answered within the worker's patience. */
  unanswered: number;
  bytesOut: number;
  bytesIn: number;
  leasesEnded: number;
  /** Jobs whose tasks were started, with the time of day of each start in milliseconds. */
  starts: [job: string, atMs: number][];
  /** How long answers took, in milliseconds: a sample. */
  answerMs: number[];
}

export const noCounts = (): HollowCounts => ({
  reports: 0,
  answered: 0,
  unanswered: 0,
  bytesOut: 0,
  bytesIn: 0,
  leasesEnded: 0,
  starts: [],
  answerMs: [],
});

export const ZONES = ['zone-a', 'zone-b', 'zone-c'];
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

export const machineName = (number: number): string => `m-${String(number).padStart(6, '0')}`;
export const zoneOf = (number: number): string => ZONES[number % ZONES.length]!;
/** Each worker has an address of its own on loopback. */
export const addressOf = (number: number): string =>
  `127.${1 + (number >> 16)}.${(number >> 8) & 255}.${number & 255}:${WORKER_PORT}`;
