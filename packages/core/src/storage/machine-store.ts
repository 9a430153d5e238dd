/** Machines on record: nothing is started on one that is not, and one to be deleted is marked as retiring first. */
import type { Machine } from '../cluster/cluster-model.js';
import { FORMER_MACHINES_PREFIX, formerMachineKey, MACHINE_PAGES_PREFIX } from '../codecs/keys.js';
import {
  decodeMachine,
  encodeMachine,
  largestMachineRecord,
  type MachineRecord,
} from '../codecs/machine-codec.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';
import { PackedPages, readPage } from './packed-pages.js';

const recordOf = (machine: Machine): MachineRecord => ({
  address: machine.address,
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  retiring: machine.retirementReason !== null,
  preprovisioned: machine.preprovisioned,
});

/** A mark that any copy of a record has holds: what is being returned must not be used again. */
const mergeCopies = (record: MachineRecord, other: MachineRecord | undefined): MachineRecord => ({
  ...record,
  retiring: record.retiring || other?.retiring === true,
  preprovisioned: record.preprovisioned || other?.preprovisioned === true,
});

/** Records of machines in packed pages. */
export class MachineStore {
  private readonly pages: PackedPages;
  /** Whether all that was on record could be read. */
  isComplete = true;

  /** `roomLimit`: room for records in a page (`pageRoom`). `onUnreadable`: called with the key or name of a record. */
  constructor(
    private readonly writer: FencedWriter,
    roomLimit: number,
    find: (name: string) => Machine | undefined,
    private readonly onUnreadable: (key: string) => void,
  ) {
    this.pages = new PackedPages(writer, MACHINE_PAGES_PREFIX, roomLimit, {
      describe: (name) => {
        const machine = find(name);
        return machine === undefined ? null : encodeMachine(recordOf(machine));
      },
      move: (name, then) => {
        const machine = find(name);
        if (machine === undefined) then(true);
        else this.move(machine, then);
      },
    });
  }

  /** Machines that an earlier leader recorded, in pages or, by an earlier version, under a key for each machine. */
  load(pages: readonly StoredItem[], unpacked: readonly StoredItem[]): Map<string, MachineRecord> {
    const found = new Map<string, MachineRecord>();
    for (const item of unpacked)
      this.loadRecord(found, item.key.slice(FORMER_MACHINES_PREFIX.length), item.value);
    for (const item of pages) {
      const entries = readPage(item.value);
      if (entries === null) this.reportUnreadable(item.key);
      for (const [name, value] of Object.entries(entries ?? {})) this.loadRecord(found, name, value);
    }
    for (const item of pages)
      this.pages.load(item, (name) => {
        const record = found.get(name);
        return record === undefined ? null : largestMachineRecord(name, record);
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
    // A machine may stand on two pages while one of them is emptied, or because an older version led meanwhile.
    found.set(name, mergeCopies(record, found.get(name)));
  }

  /** Moves what an earlier version wrote into pages; its keys are removed once that is confirmed. */
  adopt(unpacked: readonly StoredItem[], find: (name: string) => Machine | undefined): void {
    for (const item of unpacked) {
      const machine = find(item.key.slice(FORMER_MACHINES_PREFIX.length));
      if (machine === undefined) continue;
      this.put(machine, () => {
        this.writer.remove(formerMachineKey(machine.name));
      });
    }
  }

  private reportUnreadable(key: string): void {
    this.isComplete = false;
    this.onUnreadable(key);
  }

  /** Writes the machine's record, and calls back once the store has confirmed it. */
  put(machine: Machine, done: () => void): void {
    this.write(machine, 'now', done);
  }

  private move(machine: Machine, then: (ok: boolean) => void): void {
    const onWritten = (): void => {
      then(true);
    };
    const onRefused = (): void => {
      then(false);
    };
    this.write(machine, 'later', onWritten, onRefused);
  }

  private write(machine: Machine, urgent: WriteUrgency, done: () => void, refused?: () => void): void {
    this.pages.put(machine.name, largestMachineRecord(machine.name, machine), urgent, done, refused);
  }

  /** Empties the next page that is too large or of the version before. */
  compact(): void {
    this.pages.compact();
  }

  /** The machine is gone; the next write of its page leaves it out. */
  drop(machine: Machine): void {
    this.pages.drop(machine.name);
  }

  /** Writes pages that still hold machines that were dropped. */
  rewriteStalePages(): void {
    this.pages.rewriteStalePages();
  }
}
