/** Machines on record: nothing is started on one that is not, and what is to be deleted is marked first. */
import type { Machine } from './cluster.js';
import { machineKey, MACHINES, ROSTER } from './keys.js';
import type { Item } from './model.js';
import { Pages, readPage } from './pages.js';
import { readMachine, type MachineRecord } from './records.js';
import type { Writer } from './writer.js';

const recordOf = (m: Machine): MachineRecord => ({
  address: m.address,
  type: m.type,
  zone: m.zone,
  spot: m.spot,
  retiring: m.retiring !== null,
  standing: m.standing,
});

/** Room for a longer address than it has now, and for both marks. */
const roomOf = (name: string, r: MachineRecord): number => JSON.stringify(r).length + name.length + 28;

export class Roster {
  private readonly pages: Pages;
  /** Whether all that was on record could be read. */
  whole = true;

  constructor(
    private readonly writer: Writer,
    limit: number,
    find: (name: string) => Machine | undefined,
    private readonly onUnreadable: (key: string) => void,
  ) {
    this.pages = new Pages(writer, ROSTER, limit, (name) => {
      const m = find(name);
      return m === undefined ? null : recordOf(m);
    });
  }

  /** Machines that an earlier leader recorded, in pages or, by an earlier version, a key a machine. */
  load(pages: readonly Item[], own: readonly Item[]): Map<string, MachineRecord> {
    const found = new Map<string, MachineRecord>();
    const take = (name: string, value: unknown): void => {
      if (value === null) return;
      const rec = readMachine(value);
      if (rec === null) this.unreadable(name);
      else found.set(name, rec);
    };
    for (const it of own) take(it.key.slice(MACHINES.length), it.value);
    for (const it of pages) {
      const entries = readPage(it.value);
      if (entries === null) this.unreadable(it.key);
      for (const [name, value] of Object.entries(entries ?? {})) take(name, value);
      this.pages.load(it, (name) => {
        const rec = found.get(name);
        return rec === undefined ? null : roomOf(name, rec);
      });
    }
    return found;
  }

  /** What an earlier version wrote moves into pages; its keys go once that is done. */
  adopt(own: readonly Item[], find: (name: string) => Machine | undefined): void {
    for (const it of own) {
      const m = find(it.key.slice(MACHINES.length));
      if (m === undefined) continue;
      this.put(m, () => {
        this.writer.remove(machineKey(m.name));
      });
    }
  }

  private unreadable(key: string): void {
    this.whole = false;
    this.onUnreadable(key);
  }

  put(m: Machine, done: () => void): void {
    this.pages.put(m.name, roomOf(m.name, recordOf(m)), done);
  }

  drop(m: Machine): void {
    this.pages.drop(m.name);
  }

  tidy(): void {
    this.pages.tidy();
  }
}
