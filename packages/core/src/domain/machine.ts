/** Machine types, and machines as the cloud lists them. */
import type { Micros } from './time.js';

/** A machine type that the cloud offers. */
export interface MachineType {
  readonly name: string;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Size of the machine's cache of container images. */
  readonly imageCacheGb: number;
  readonly imagePullGbPerS: number;
  /** Price of an hour. */
  readonly price: number;
  readonly spotPrice: number;
  /** From the request until the machine is ready. */
  readonly bootUs: Micros;
  readonly zones: readonly string[];
}

/** A machine in the cloud's inventory. */
export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly ageUs: Micros;
}
