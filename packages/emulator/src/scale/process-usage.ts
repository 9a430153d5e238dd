/** CPU time, memory and sockets of a process, read from Linux's /proc. */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

/** The unit of CPU times in /proc/PID/stat is a hundredth of a second. */
const TICKS_PER_SECOND = 100;
/** Positions of CPU times in /proc/PID/stat, counted from the field after the process name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** CPU time of a process since its start, and its current memory and number of sockets. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly memoryMb: number;
  readonly sockets: number;
}

const countSockets = (pid: number): number => {
  let sockets = 0;
  for (const descriptor of readdirSync(`/proc/${pid}/fd`)) {
    try {
      if (readlinkSync(`/proc/${pid}/fd/${descriptor}`).startsWith('socket:')) sockets++;
    } catch {
      // The descriptor was closed in the meantime.
    }
  }
  return sockets;
};

/** Reads the usage of a process; null if it no longer exists. */
export const usageOf = (pid: number): ProcessUsage | null => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The process name is in parentheses and may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuS: ticks / TICKS_PER_SECOND, memoryMb: kilobytes / 1024, sockets: countSockets(pid) };
  } catch {
    return null;
  }
};
