/** Open jobs on pages: each stays on its page while that has room, so that few pages change. */
import { bytesOf } from '@shaleyoke/core/codecs/value-size';

import type { OpenJob, RunningAttempt } from './books.js';
import { monthRow, type OpenPage, type OpenRow } from './records.js';

type Run = OpenRow[5][number];

/** `{"v":1,"jobs":{}}` and some reserve. */
const FRAME = 48;

/** Running attempts in runs: those that were decided together have numbers and tasks one after the other. */
const runsOf = (attempts: Iterable<RunningAttempt>): Run[] => {
  const byMonth = new Map<string, { r: RunningAttempt; money: number; us: number }[]>();
  for (const r of attempts)
    for (const p of r.pending) {
      const list = byMonth.get(p.month) ?? [];
      byMonth.set(p.month, list);
      list.push({ r, money: p.money, us: p.us });
    }
  const runs: Run[] = [];
  for (const [month, list] of byMonth) {
    list.sort((a, b) => a.r.index - b.r.index);
    let run: {
      month: string;
      no: number;
      step: 0 | 1;
      index: number;
      values: number[];
      count: number;
    } | null = null;
    const finish = (): void => {
      if (run !== null) runs.push([run.month, run.no, run.step, run.index, ...run.values]);
    };
    for (const { r, money, us } of list) {
      if (run?.count === 1 && r.index === run.index + 1 && (r.no === run.no || r.no === run.no + 1))
        run.step = r.no === run.no ? 0 : 1;
      else if (run === null || r.index !== run.index + run.count || r.no !== run.no + run.step * run.count) {
        finish();
        run = { month, no: r.no, step: 1, index: r.index, values: [], count: 0 };
      }
      run.values.push(money, us);
      run.count++;
    }
    finish();
  }
  return runs;
};

/** Each attempt of the runs: month, number, task, pending money and time. */
export const attemptsOf = (
  row: OpenRow,
): { month: string; no: number; index: number; money: number; us: number }[] => {
  const out = [];
  for (const [month, no, step, index, ...values] of row[5])
    for (let k = 0; 2 * k + 1 < values.length; k++)
      out.push({
        month,
        no: no + step * k,
        index: index + k,
        money: values[2 * k]!,
        us: values[2 * k + 1]!,
      });
  return out;
};

export interface Row {
  readonly row: OpenRow;
  /** With its key, as a member of the page's JSON. */
  readonly bytes: number;
}

/** A job's row of at most `room` bytes: what of its attempts has no room is the platform's after a crash. */
export const rowOf = (job: OpenJob, room: number): Row => {
  const row = (runs: Run[]): OpenRow => [
    job.owner,
    job.cls,
    job.service ? 1 : 0,
    job.commit,
    [...job.months].map(([month, c]) => monthRow(month, c)),
    runs,
  ];
  const runs = runsOf(job.attempts.values());
  for (;;) {
    const r = row(runs);
    const bytes = bytesOf({ [job.id]: r });
    const last = runs.at(-1);
    if (bytes <= room || last === undefined) return { row: r, bytes };
    // Half of the last run's attempts at a time.
    if (last.length > 8)
      runs[runs.length - 1] = [...last.slice(0, 4 + 2 * Math.floor((last.length - 4) / 4))] as unknown as Run;
    else runs.pop();
  }
};

/** A page that changed. */
export interface Packed {
  readonly n: number;
  readonly page: OpenPage;
  /** Its JSON: made once, since at fleet size that is most of a flush's work. */
  readonly text: string;
}

export class Packing {
  /** Jobs by page, with their bytes when they were last packed. */
  private readonly pages: Map<string, number>[] = [];
  private readonly pageOf = new Map<string, number>();
  /** Pages on record that hold something, or may. */
  private readonly written: (string | null)[] = [];

  /** A page as it was read: what it holds, so that it is overwritten where it differs. */
  adopt(n: number, ids: Iterable<string>): void {
    this.grow(n);
    this.written[n] = '';
    for (const id of ids) {
      this.pages[n]!.set(id, 0);
      this.pageOf.set(id, n);
    }
  }

  private grow(n: number): void {
    while (this.pages.length <= n) {
      this.pages.push(new Map());
      this.written.push(null);
    }
  }

  /** Forgets what was written: all pages are written again. */
  forget(): void {
    for (let n = 0; n < this.written.length; n++) this.written[n] = '';
  }

  confirm({ n, text }: Packed): void {
    this.written[n] = text;
  }

  /**
   * The pages that changed. Those that a job moves to come before those that it leaves: a crash between leaves it
   * on both, never on none.
   */
  pack(jobs: ReadonlyMap<string, OpenJob>, room: number): Packed[] {
    const rows = new Map<string, Row>();
    for (const [id, job] of jobs) {
      if (job.commit === null && job.months.size === 0 && job.attempts.size === 0) continue;
      rows.set(id, rowOf(job, room - FRAME));
    }
    const losers = new Set<number>();
    const homeless: string[] = [];
    this.pages.forEach((page, n) => {
      let sum = FRAME;
      for (const id of [...page.keys()]) {
        const size = rows.get(id)?.bytes;
        if (size !== undefined && sum + size <= room) {
          page.set(id, size);
          sum += size;
          continue;
        }
        page.delete(id);
        this.pageOf.delete(id);
        if (size === undefined) continue;
        losers.add(n);
        homeless.push(id);
      }
    });
    for (const id of rows.keys()) if (!this.pageOf.has(id)) homeless.push(id);
    const seen = new Set<string>();
    for (const id of homeless) {
      if (seen.has(id)) continue;
      seen.add(id);
      const size = rows.get(id)!.bytes;
      let n = this.pages.findIndex((p, k) => {
        if (losers.has(k)) return false;
        let sum = FRAME;
        for (const s of p.values()) sum += s;
        return sum + size <= room;
      });
      if (n < 0) {
        n = this.pages.length;
        this.grow(n);
      }
      this.pages[n]!.set(id, size);
      this.pageOf.set(id, n);
    }
    const out: (Packed & { last: boolean })[] = [];
    this.pages.forEach((ids, n) => {
      if (ids.size === 0 && this.written[n] === null) return;
      const page: OpenPage = {
        v: 1,
        jobs: Object.fromEntries([...ids.keys()].map((id) => [id, rows.get(id)!.row])),
      };
      const text = JSON.stringify(page);
      if (text !== this.written[n]) out.push({ n, page, text, last: losers.has(n) });
    });
    return out.sort((a, b) => Number(a.last) - Number(b.last));
  }
}
