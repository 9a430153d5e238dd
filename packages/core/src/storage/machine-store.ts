/** Machines on record: nothing is started on one that is not, and what is to be deleted is marked first. */
import type { Machine } from '../cluster/cluster-model.js';
import { machineKey, MACHINES, ROSTER } from '../codecs/keys.js';
import type { StoredItem } from '../domain/key-value-store.js';
import { PackedPages, readPage } from './packed-pages.js';
import {
  decodeMachine,
  encodeMachine,
  largestMachineRecord,
  type MachineRecord,
} from '../codecs/machine-codec.js';
import type { WriteUrgency, FencedWriter } from './fenced-writer.js';

const recordOf = (machine: Machine): MachineRecord => ({
  address: machine.address,
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  retiring: machine.retirementReason !== null,
  preprovisioned: machine.preprovisioned,
});

export class MachineStore {
  private readonly pages: PackedPages;
  /** Whether all that was on record could be read. */
  isComplete = true;

  constructor(
    private readonly writer: FencedWriter,
    limit: number,
    find: (name: string) => Machine | undefined,
    private readonly onUnreadable: (key: string) => void,
  ) {
    this.pages = new PackedPages(writer, ROSTER, limit, {
      describe: (name) => {
        const m = find(name);
        return m === undefined ? null : encodeMachine(recordOf(m));
      },
      move: (name, then) => {
        const m = find(name);
        if (m === undefined) then(true);
        else
          this.write(
            m,
            'later',
            () => {
              then(true);
            },
            () => {
              then(false);
            },
          );
      },
    });
  }

  /** Machines that an earlier leader recorded, in pages or, by an earlier version, a key a machine. */
  load(pages: readonly StoredItem[], own: readonly StoredItem[]): Map<string, MachineRecord> {
    const found = new Map<string, MachineRecord>();
    const take = (name: string, value: unknown): void => {
      if (value === null) return;
      const rec = decodeMachine(value);
      if (rec === null) {
        this.unreadable(name);
        return;
      }
      // A machine may stand on two pages while one of them is taken apart, or because an older version led
      // meanwhile. A mark that any of them has holds: what is being returned must not be used again.
      const other = found.get(name);
      found.set(name, {
        ...rec,
        retiring: rec.retiring || other?.retiring === true,
        preprovisioned: rec.preprovisioned || other?.preprovisioned === true,
      });
    };
    for (const it of own) take(it.key.slice(MACHINES.length), it.value);
    for (const it of pages) {
      const entries = readPage(it.value);
      if (entries === null) this.unreadable(it.key);
      for (const [name, value] of Object.entries(entries ?? {})) take(name, value);
    }
    for (const it of pages)
      this.pages.load(it, (name) => {
        const rec = found.get(name);
        return rec === undefined ? null : largestMachineRecord(name, rec);
      });
    return found;
  }

  /** What an earlier version wrote moves into pages; its keys go once that is done. */
  adopt(own: readonly StoredItem[], find: (name: string) => Machine | undefined): void {
    for (const it of own) {
      const m = find(it.key.slice(MACHINES.length));
      if (m === undefined) continue;
      this.put(m, () => {
        this.writer.remove(machineKey(m.name));
      });
    }
  }

  private unreadable(key: string): void {
    this.isComplete = false;
    this.onUnreadable(key);
  }

  put(m: Machine, done: () => void): void {
    this.write(m, 'now', done);
  }

  private write(m: Machine, urgent: WriteUrgency, done: () => void, refused?: () => void): void {
    this.pages.put(m.name, largestMachineRecord(m.name, m), urgent, done, refused);
  }

  /** Moves on with taking apart what is too large or of the version before. */
  compact(): void {
    this.pages.compact();
  }

  drop(m: Machine): void {
    this.pages.drop(m.name);
  }

  rewriteStalePages(): void {
    this.pages.rewriteStalePages();
  }
}
