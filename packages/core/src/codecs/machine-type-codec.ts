/** Encodes and decodes the machine types, which are stored so that controllers can start during an outage of the cloud. */
import type { MachineType } from '../domain/machine.js';
import { isStoredMap } from './stored-map.js';

/** The stored form of a machine type. */
interface StoredMachineType {
  readonly name: string;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootUs: number;
  readonly zones: readonly string[];
}

const NUMERIC_FIELDS = [
  'cores',
  'gpus',
  'memoryGb',
  'cacheGb',
  'fetchGbPerS',
  'price',
  'spotPrice',
  'bootUs',
] as const satisfies readonly (keyof StoredMachineType)[];

const isStoredType = (value: unknown): boolean =>
  isStoredMap(value) &&
  typeof value['name'] === 'string' &&
  NUMERIC_FIELDS.every((field) => {
    const stored = value[field];
    return typeof stored === 'number' && Number.isFinite(stored) && stored >= 0;
  }) &&
  Number.isInteger(value['bootUs']) &&
  Array.isArray(value['zones']) &&
  value['zones'].every((zone) => typeof zone === 'string');

/** Encodes the machine types under their stored field names. */
export const encodeMachineTypes = (types: readonly MachineType[]): unknown =>
  types.map((type): StoredMachineType => ({
    name: type.name,
    cores: type.cores,
    gpus: type.gpus,
    memoryGb: type.memoryGb,
    cacheGb: type.imageCacheGb,
    fetchGbPerS: type.imagePullGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootUs: type.bootUs,
    zones: type.zones,
  }));

const decodeType = (stored: StoredMachineType): MachineType => ({
  name: stored.name,
  cores: stored.cores,
  gpus: stored.gpus,
  memoryGb: stored.memoryGb,
  imageCacheGb: stored.cacheGb,
  imagePullGbPerS: stored.fetchGbPerS,
  price: stored.price,
  spotPrice: stored.spotPrice,
  bootUs: stored.bootUs,
  zones: stored.zones,
});

/**
 * Decodes the machine types; null if any of them is malformed. A partial list would be worse than none, because jobs would be
 * rejected as not fitting any machine type.
 */
export const decodeMachineTypes = (value: unknown): readonly MachineType[] | null => {
  if (!Array.isArray(value) || !value.every(isStoredType)) return null;
  return (value as StoredMachineType[]).map(decodeType);
};
