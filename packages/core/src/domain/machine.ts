/** Machine types, and machines in the cloud's inventory. */
import type { Micros } from './time.js';

/** A machine type that the cloud offers. */
export interface MachineType {
  /** Name under which the cloud offers the type. */
  readonly name: string;
  /** CPU cores for tasks. */
  readonly cores: number;
  /** GPUs for tasks; 0 for a type without GPUs. */
  readonly gpus: number;
  /** Memory for tasks. */
  readonly memoryGb: number;
  /** Size of the container image cache. */
  readonly imageCacheGb: number;
  /** Rate at which a machine pulls container images. */
  readonly imagePullGbPerS: number;
  /** On-demand price per hour. */
  readonly price: number;
  /** Spot price per hour. */
  readonly spotPrice: number;
  /** Time from the rent request until the machine is ready. */
  readonly bootUs: Micros;
  /** Zones in which the type is offered. */
  readonly zones: readonly string[];
}

/** A machine in the cloud's inventory. */
export interface ListedMachine {
  /** Unique name that the cloud assigned. */
  readonly name: string;
  /** Host and port of the worker. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  /** Availability zone. */
  readonly zone: string;
  /** Whether the cloud may preempt the machine. */
  readonly spot: boolean;
  /** State according to the cloud; a `failed` machine is removed from the cluster. */
  readonly state: 'booting' | 'running' | 'failed';
  /** Time since the machine was rented. */
  readonly ageUs: Micros;
}
