/**
 * Reserves ports for the controllers of one run in a block that no other run on this machine uses: when two runs shared
 * ports, they sent requests to each other's controllers. All blocks lie below the system's ephemeral port range.
 */
import { freePortsFrom, type HttpServer, startServer } from '../loopback-http.js';

const FIRST_PORT = 12_000;
const PORT_BLOCKS = 300;
const PORTS_PER_BLOCK = 64;

/** Reserved ports, and the listening server that reserves their block until it is closed. */
export interface ReservedPorts {
  readonly ports: readonly number[];
  readonly lock: HttpServer;
}

const tryToLock = async (port: number): Promise<HttpServer | null> => {
  try {
    return await startServer(`127.0.0.1:${port}`, () => undefined);
  } catch {
    return null;
  }
};

/** Reserves ports in the first free block, starting the search at the given block. */
export const reservePorts = async (firstBlock: number, count: number): Promise<ReservedPorts> => {
  for (let block = firstBlock; ; block++) {
    const first = FIRST_PORT + (block % PORT_BLOCKS) * PORTS_PER_BLOCK;
    const lock = await tryToLock(first);
    if (lock !== null) return { ports: await freePortsFrom(first + 1, count), lock };
  }
};
