/** Packs open jobs into pages. A job stays on its page as long as it fits, so that few pages change. */
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';

import type { OpenJob, RunningAttempt } from './ledger.js';
import { monthRow, type OpenPage, type OpenRow } from './records.js';

type AttemptRun = OpenRow[5][number];

/** Bytes of `{"v":1,"jobs":{}}` with some reserve. */
const PAGE_FRAME_BYTES = 48;

/** Run-length encodes attempts: those that started together have consecutive numbers and task indexes. */
const runsOf = (attempts: Iterable<RunningAttempt>): AttemptRun[] => {
  const byMonth = new Map<string, { attempt: RunningAttempt; money: number; runUs: number }[]>();
  for (const attempt of attempts)
    for (const part of attempt.pending) {
      const list = byMonth.get(part.month) ?? [];
      byMonth.set(part.month, list);
      list.push({ attempt, money: part.money, runUs: part.runUs });
    }
  const runs: AttemptRun[] = [];
  for (const [month, list] of byMonth) {
    list.sort((a, b) => a.attempt.index - b.attempt.index);
    let run: {
      month: string;
      number: number;
      step: 0 | 1;
      index: number;
      values: number[];
      count: number;
    } | null = null;
    const finish = (): void => {
      if (run !== null) runs.push([run.month, run.number, run.step, run.index, ...run.values]);
    };
    for (const { attempt, money, runUs } of list) {
      if (
        run?.count === 1 &&
        attempt.index === run.index + 1 &&
        (attempt.number === run.number || attempt.number === run.number + 1)
      )
        run.step = attempt.number === run.number ? 0 : 1;
      else if (
        run === null ||
        attempt.index !== run.index + run.count ||
        attempt.number !== run.number + run.step * run.count
      ) {
        finish();
        run = { month, number: attempt.number, step: 1, index: attempt.index, values: [], count: 0 };
      }
      run.values.push(money, runUs);
      run.count++;
    }
    finish();
  }
  return runs;
};

/** Decodes the attempts of a row, one entry for each month with pending costs. */
export const attemptsOf = (
  row: OpenRow,
): { month: string; number: number; index: number; money: number; runUs: number }[] => {
  const out = [];
  for (const [month, firstNumber, step, index, ...values] of row[5])
    for (let offset = 0; 2 * offset + 1 < values.length; offset++)
      out.push({
        month,
        number: firstNumber + step * offset,
        index: index + offset,
        money: values[2 * offset]!,
        runUs: values[2 * offset + 1]!,
      });
  return out;
};

/** A job's row and its size. */
export interface SizedRow {
  /** As it is stored. */
  readonly row: OpenRow;
  /** Size with its key, as a member of the page's JSON. */
  readonly bytes: number;
}

/**
 * A job's row of at most `room` bytes. Attempts that don't fit are left out; after a crash the platform pays for what
 * they had pending.
 */
export const rowOf = (job: OpenJob, room: number): SizedRow => {
  const row = (runs: AttemptRun[]): OpenRow => [
    job.owner,
    job.jobClass,
    job.service ? 1 : 0,
    job.commitment,
    [...job.months].map(([month, c]) => monthRow(month, c)),
    runs,
  ];
  const runs = runsOf(job.attempts.values());
  for (;;) {
    const candidate = row(runs);
    const bytes = jsonByteLength({ [job.id]: candidate });
    const last = runs.at(-1);
    if (bytes <= room || last === undefined) return { row: candidate, bytes };
    // Drop half of the attempts of the last run.
    if (last.length > 8)
      runs[runs.length - 1] = [
        ...last.slice(0, 4 + 2 * Math.floor((last.length - 4) / 4)),
      ] as unknown as AttemptRun;
    else runs.pop();
  }
};

/** A page to be written, since it differs from its recorded content. */
export interface ChangedPage {
  /** Its number, which is part of its key. */
  readonly pageNumber: number;
  /** The record to write. */
  readonly page: OpenPage;
  /** The page's JSON, made once since serializing is most of the work of a flush in a large cluster. */
  readonly text: string;
}

/** Assigns open jobs to pages and finds the pages that have changed. */
export class OpenJobPacking {
  /** By page: its jobs with their sizes when last packed. */
  private readonly pages: Map<string, number>[] = [];
  private readonly pageOf = new Map<string, number>();
  /** By page: its recorded JSON; empty if unknown, null if the page was never written. */
  private readonly recordedTexts: (string | null)[] = [];

  /** Restores a page that was read: its jobs keep their page, and the page is written again. */
  restorePage(pageNumber: number, ids: Iterable<string>): void {
    this.ensurePage(pageNumber);
    this.recordedTexts[pageNumber] = '';
    for (const id of ids) {
      this.pages[pageNumber]!.set(id, 0);
      this.pageOf.set(id, pageNumber);
    }
  }

  private ensurePage(pageNumber: number): void {
    while (this.pages.length <= pageNumber) {
      this.pages.push(new Map());
      this.recordedTexts.push(null);
    }
  }

  /** Makes all pages be written again. */
  markAllChanged(): void {
    for (let pageNumber = 0; pageNumber < this.recordedTexts.length; pageNumber++)
      this.recordedTexts[pageNumber] = '';
  }

  /** Notes that a page has been written. */
  confirmWritten({ pageNumber, text }: ChangedPage): void {
    this.recordedTexts[pageNumber] = text;
  }

  /**
   * Packs the jobs and returns the pages that have changed. Pages that jobs move to come before the pages that they
   * leave, so that a crash between the two writes leaves a job on both, never on neither.
   */
  pack(jobs: ReadonlyMap<string, OpenJob>, room: number): ChangedPage[] {
    const rows = new Map<string, SizedRow>();
    for (const [id, job] of jobs) {
      if (job.commitment === null && job.months.size === 0 && job.attempts.size === 0) continue;
      rows.set(id, rowOf(job, room - PAGE_FRAME_BYTES));
    }
    const shrunkPages = new Set<number>();
    const unplaced: string[] = [];
    this.pages.forEach((page, pageNumber) => {
      let sum = PAGE_FRAME_BYTES;
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
        shrunkPages.add(pageNumber);
        unplaced.push(id);
      }
    });
    for (const id of rows.keys()) if (!this.pageOf.has(id)) unplaced.push(id);
    const placed = new Set<string>();
    for (const id of unplaced) {
      if (placed.has(id)) continue;
      placed.add(id);
      const size = rows.get(id)!.bytes;
      let pageNumber = this.pages.findIndex((candidate, candidateNumber) => {
        if (shrunkPages.has(candidateNumber)) return false;
        let sum = PAGE_FRAME_BYTES;
        for (const bytes of candidate.values()) sum += bytes;
        return sum + size <= room;
      });
      if (pageNumber < 0) {
        pageNumber = this.pages.length;
        this.ensurePage(pageNumber);
      }
      this.pages[pageNumber]!.set(id, size);
      this.pageOf.set(id, pageNumber);
    }
    const out: (ChangedPage & { last: boolean })[] = [];
    this.pages.forEach((ids, pageNumber) => {
      if (ids.size === 0 && this.recordedTexts[pageNumber] === null) return;
      const page: OpenPage = {
        v: 1,
        jobs: Object.fromEntries([...ids.keys()].map((id) => [id, rows.get(id)!.row])),
      };
      const text = JSON.stringify(page);
      if (text !== this.recordedTexts[pageNumber])
        out.push({ pageNumber, page, text, last: shrunkPages.has(pageNumber) });
    });
    return out.sort((a, b) => Number(a.last) - Number(b.last));
  }
}
