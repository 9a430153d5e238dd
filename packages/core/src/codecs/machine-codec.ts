/** Encodes and decodes machine records. */
import { isStoredMap } from './stored-map.js';
import { jsonByteLength } from './value-size.js';

/** Stored attributes of a machine. */
export interface MachineRecord {
  /** Host and port of the worker. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  /** Availability zone. */
  readonly zone: string;
  /** Whether the cloud may preempt the machine. */
  readonly spot: boolean;
  /** Set before the machine is returned to the cloud; no task may be started on it afterwards. */
  readonly retiring: boolean;
  /** The machine existed before this service rented any. */
  readonly preprovisioned: boolean;
}

/** An IPv4 address and port of maximum length. */
const LONGEST_ADDRESS = '255.255.255.255:65535';

/** Encodes a machine record. Flags that aren't set are omitted to save space; all versions read a missing flag as false. */
export const encodeMachine = (record: MachineRecord): unknown => ({
  address: record.address,
  type: record.type,
  zone: record.zone,
  ...(record.spot ? { spot: true } : {}),
  ...(record.retiring ? { retiring: true } : {}),
  ...(record.preprovisioned ? { standing: true } : {}),
});

/** Decodes a machine record; null if it is malformed. */
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

/** Size of the largest record that the machine can have, including its name: the longest address and all flags. */
export const maxMachineRecordBytes = (
  name: string,
  { type, zone }: Pick<MachineRecord, 'type' | 'zone'>,
): number =>
  jsonByteLength({
    [name]: encodeMachine({
      address: LONGEST_ADDRESS,
      type,
      zone,
      spot: true,
      retiring: true,
      preprovisioned: true,
    }),
  });
