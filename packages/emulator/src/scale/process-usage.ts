/** Processor time, memory and sockets of a process, as Linux tells them. */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

/** The kernel counts processor time in hundredths of a second. */
const TICKS_PER_SECOND = 100;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

export interface ProcessUsage {
  readonly cpuS: number;
  readonly memoryMb: number;
  readonly sockets: number;
}

const countSockets = (pid: number): number => {
  let sockets = 0;
  for (const fd of readdirSync(`/proc/${pid}/fd`)) {
    try {
      if (readlinkSync(`/proc/${pid}/fd/${fd}`).startsWith('socket:')) sockets++;
    } catch {
      // Closed meanwhile.
    }
  }
  return sockets;
};

/** Null: there is no such process any more. */
export const usageOf = (pid: number): ProcessUsage | null => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The name, in brackets, may hold spaces.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuS: ticks / TICKS_PER_SECOND, memoryMb: kilobytes / 1024, sockets: countSockets(pid) };
  } catch {
    return null;
  }
};
