/** Records of machines in the key-value store. */
import { isStoredMap } from './stored-map.js';
import { bytesOf } from './value-size.js';

/** What is on record of a machine. */
export interface MachineRecord {
  /** Host and port of the worker. */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Set before the machine is returned: nothing may be started on it any more. */
  readonly retiring: boolean;
  /** Existed before this service rented anything. */
  readonly preprovisioned: boolean;
}

const LONGEST_ADDRESS = '255.255.255.255:65535';

/** The stored form. Marks that are not set are left out: all versions read that as false, and pages are small. */
export const encodeMachine = (record: MachineRecord): unknown => ({
  address: record.address,
  type: record.type,
  zone: record.zone,
  ...(record.spot ? { spot: true } : {}),
  ...(record.retiring ? { retiring: true } : {}),
  ...(record.preprovisioned ? { standing: true } : {}),
});

/** The record of a machine; null for what can't be read. */
export const decodeMachine = (value: unknown): MachineRecord | null => {
  if (!isStoredMap(value)) return null;
  const { address, type, zone, spot, retiring, standing } = value;
  if (typeof address !== 'string' || typeof type !== 'string' || typeof zone !== 'string') return null;
  return {
    address,
    type,
    zone,
    spot: spot === true,
    retiring: retiring === true,
    preprovisioned: standing === true,
  };
};

/** Bytes of the largest record that the machine can have, with its name: the longest address, and all marks. */
export const largestMachineRecord = (
  name: string,
  { type, zone }: Pick<MachineRecord, 'type' | 'zone'>,
): number =>
  bytesOf({
    [name]: encodeMachine({
      address: LONGEST_ADDRESS,
      type,
      zone,
      spot: true,
      retiring: true,
      preprovisioned: true,
    }),
  });
