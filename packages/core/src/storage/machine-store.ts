/** Stores machine records. A task starts only on a machine with a record, and a machine is marked as retiring before deletion. */
import type { Machine } from '../cluster/cluster-model.js';
import { LEGACY_MACHINES_PREFIX, legacyMachineKey, MACHINE_PAGES_PREFIX } from '../codecs/keys.js';
import {
  decodeMachine,
  encodeMachine,
  type MachineRecord,
  maxMachineRecordBytes,
} from '../codecs/machine-codec.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';
import { PackedPages, readPage } from './packed-pages.js';

const toRecord = (machine: Machine): MachineRecord => ({
  address: machine.address,
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  retiring: machine.retirementReason !== null,
  preprovisioned: machine.preprovisioned,
});

/** Merges two copies of a record. A flag that is set in either copy holds: a machine being returned must not be used again. */
const mergeRecords = (record: MachineRecord, other: MachineRecord | undefined): MachineRecord => ({
  ...record,
  retiring: record.retiring || other?.retiring === true,
  preprovisioned: record.preprovisioned || other?.preprovisioned === true,
});

/** Loads and writes machine records, packed into pages. */
export class MachineStore {
  private readonly pages: PackedPages;
  /** Whether all stored machine records could be read. */
  areAllRecordsReadable = true;

  /** `pageCapacity`: see the function of that name. `onUnreadable`: called with the page key or machine name of an unreadable record. */
  constructor(
    private readonly writer: FencedWriter,
    pageCapacity: number,
    find: (name: string) => Machine | undefined,
    private readonly onUnreadable: (key: string) => void,
  ) {
    this.pages = new PackedPages(writer, MACHINE_PAGES_PREFIX, pageCapacity, {
      encode: (name) => {
        const machine = find(name);
        return machine === undefined ? null : encodeMachine(toRecord(machine));
      },
      move: (name, onMoved) => {
        const machine = find(name);
        if (machine === undefined) onMoved(true);
        else this.move(machine, onMoved);
      },
    });
  }

  /** Returns the machines that earlier leaders recorded, in pages or, in earlier versions, under one key per machine. */
  load(pages: readonly StoredItem[], legacyItems: readonly StoredItem[]): Map<string, MachineRecord> {
    const found = new Map<string, MachineRecord>();
    for (const item of legacyItems)
      this.loadRecord(found, item.key.slice(LEGACY_MACHINES_PREFIX.length), item.value);
    for (const item of pages) {
      const entries = readPage(item.value);
      if (entries === null) this.reportUnreadable(item.key);
      for (const [name, value] of Object.entries(entries ?? {})) this.loadRecord(found, name, value);
    }
    for (const item of pages)
      this.pages.load(item, (name) => {
        const record = found.get(name);
        return record === undefined ? null : maxMachineRecordBytes(name, record);
      });
    return found;
  }

  private loadRecord(found: Map<string, MachineRecord>, name: string, value: unknown): void {
    if (value === null) return;
    const record = decodeMachine(value);
    if (record === null) {
      this.reportUnreadable(name);
      return;
    }
    // A machine may be on two pages while one of them is being emptied, or because an older version led in between.
    found.set(name, mergeRecords(record, found.get(name)));
  }

  /** Moves the records of an earlier version into pages; each old key is removed once the move is confirmed. */
  migrateLegacyRecords(
    legacyItems: readonly StoredItem[],
    find: (name: string) => Machine | undefined,
  ): void {
    for (const item of legacyItems) {
      const machine = find(item.key.slice(LEGACY_MACHINES_PREFIX.length));
      if (machine === undefined) continue;
      this.put(machine, () => {
        this.writer.remove(legacyMachineKey(machine.name));
      });
    }
  }

  private reportUnreadable(key: string): void {
    this.areAllRecordsReadable = false;
    this.onUnreadable(key);
  }

  /** Writes the machine's record; calls `onConfirmed` once the store has confirmed it. */
  put(machine: Machine, onConfirmed: () => void): void {
    this.write(machine, 'now', onConfirmed);
  }

  private move(machine: Machine, onMoved: (ok: boolean) => void): void {
    const onWritten = (): void => {
      onMoved(true);
    };
    const onRefused = (): void => {
      onMoved(false);
    };
    this.write(machine, 'later', onWritten, onRefused);
  }

  private write(
    machine: Machine,
    urgency: WriteUrgency,
    onConfirmed: () => void,
    onRefused?: () => void,
  ): void {
    this.pages.put(
      machine.name,
      maxMachineRecordBytes(machine.name, machine),
      urgency,
      onConfirmed,
      onRefused,
    );
  }

  /** Empties the next page that is too large or was written by the previous version. */
  compact(): void {
    this.pages.compact();
  }

  /** Drops the record of a removed machine; the next write of its page omits it. */
  drop(machine: Machine): void {
    this.pages.drop(machine.name);
  }

  /** Rewrites pages that still contain records of removed machines. */
  rewriteStalePages(): void {
    this.pages.rewriteStalePages();
  }
}
