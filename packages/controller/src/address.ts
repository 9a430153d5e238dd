/** Network addresses of the form `HOST:PORT`. */

/** The parts of an address; the port is NaN if the address is malformed. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. */
export const splitAddress = (address: string): HostAndPort => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
