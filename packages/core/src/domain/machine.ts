/** Machine types, and machines as the cloud lists them. */
import type { Micros } from './time.js';

export interface MachineType {
  readonly name: string;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly imageCacheGb: number;
  readonly imagePullGbPerS: number;
  /** Per hour. */
  readonly price: number;
  readonly spotPrice: number;
  readonly bootUs: Micros;
  readonly zones: readonly string[];
}

export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly ageUs: Micros;
}
