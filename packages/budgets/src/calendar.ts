/** Months of an owner: those of its time zone, the changes of the clocks included. */
import type { Micros } from '@shaleyoke/core/domain/time';
import { Temporal } from 'temporal-polyfill';

export interface Month {
  /** As in `2026-12`. */
  readonly id: string;
  /** Its first moment, in microseconds of time of day. */
  readonly from: Micros;
  /** The first moment after it. */
  readonly to: Micros;
}

/** Whether the time zone is known by this name, for example `Europe/Warsaw`. */
export const knownZone = (zone: string): boolean => {
  try {
    Temporal.Instant.fromEpochMilliseconds(0).toZonedDateTimeISO(zone);
    return true;
  } catch {
    return false;
  }
};

export const isMonth = (text: string): boolean => /^\d{4}-(0[1-9]|1[0-2])$/.test(text);

export class Calendar {
  private current: Month | null = null;

  constructor(readonly zone: string) {}

  /** The month that a moment lies in. */
  at(us: Micros): Month {
    const c = this.current;
    if (c !== null && us >= c.from && us < c.to) return c;
    const there = Temporal.Instant.fromEpochMilliseconds(Math.floor(us / 1000)).toZonedDateTimeISO(this.zone);
    this.current = this.month(there.toPlainDate().toPlainYearMonth().toString());
    return this.current;
  }

  /** `id` as in `2026-12`. */
  month(id: string): Month {
    const first = Temporal.PlainYearMonth.from(id);
    const start = (ym: Temporal.PlainYearMonth): Micros =>
      ym.toPlainDate({ day: 1 }).toZonedDateTime(this.zone).epochMilliseconds * 1000;
    return { id, from: start(first), to: start(first.add({ months: 1 })) };
  }

  /** The month before. */
  before(id: string): string {
    return Temporal.PlainYearMonth.from(id).subtract({ months: 1 }).toString();
  }

  /** The month after. */
  after(id: string): string {
    return Temporal.PlainYearMonth.from(id).add({ months: 1 }).toString();
  }

  /** A moment as people read it there: `2026-12-01 00:00:00 +01:00`. */
  format(us: Micros): string {
    const z = Temporal.Instant.fromEpochMilliseconds(Math.floor(us / 1000)).toZonedDateTimeISO(this.zone);
    return `${z.toPlainDate().toString()} ${z.toPlainTime().toString({ smallestUnit: 'second' })} ${z.offset}`;
  }
}
