/** Calendar months in an owner's time zone, including changes to and from daylight saving time. */
import type { Micros } from '@shaleyoke/core/domain/time';
import { Temporal } from 'temporal-polyfill';

/** A calendar month in some time zone. */
export interface Month {
  /** As in `2026-12`. */
  readonly id: string;
  /** Its first moment, in microseconds since the epoch. */
  readonly from: Micros;
  /** The first moment of the next month. */
  readonly to: Micros;
}

/** Whether this is the name of a known time zone, such as `Europe/Warsaw`. */
export const isKnownZone = (zone: string): boolean => {
  try {
    Temporal.Instant.fromEpochMilliseconds(0).toZonedDateTimeISO(zone);
    return true;
  } catch {
    return false;
  }
};

/** Whether a text has the form of a month, such as `2026-12`. */
export const isMonth = (text: string): boolean => /^\d{4}-(0[1-9]|1[0-2])$/.test(text);

/** The calendar of one time zone; remembers the month it returned last. */
export class Calendar {
  private current: Month | null = null;

  constructor(readonly zone: string) {}

  /** The month that contains a moment. */
  monthAt(time: Micros): Month {
    const cached = this.current;
    if (cached !== null && time >= cached.from && time < cached.to) return cached;
    const zoned = Temporal.Instant.fromEpochMilliseconds(Math.floor(time / 1000)).toZonedDateTimeISO(
      this.zone,
    );
    this.current = this.month(zoned.toPlainDate().toPlainYearMonth().toString());
    return this.current;
  }

  /** The month of an id such as `2026-12`. */
  month(id: string): Month {
    const first = Temporal.PlainYearMonth.from(id);
    const startOf = (yearMonth: Temporal.PlainYearMonth): Micros =>
      yearMonth.toPlainDate({ day: 1 }).toZonedDateTime(this.zone).epochMilliseconds * 1000;
    return { id, from: startOf(first), to: startOf(first.add({ months: 1 })) };
  }

  /** The id of the month before `id`. */
  previousMonth(id: string): string {
    return Temporal.PlainYearMonth.from(id).subtract({ months: 1 }).toString();
  }

  /** The id of the month after `id`. */
  nextMonth(id: string): string {
    return Temporal.PlainYearMonth.from(id).add({ months: 1 }).toString();
  }

  /** Formats a moment as local time with its offset: `2026-12-01 00:00:00 +01:00`. */
  format(time: Micros): string {
    const zoned = Temporal.Instant.fromEpochMilliseconds(Math.floor(time / 1000)).toZonedDateTimeISO(
      this.zone,
    );
    return `${zoned.toPlainDate().toString()} ${zoned.toPlainTime().toString({ smallestUnit: 'second' })} ${zoned.offset}`;
  }
}
