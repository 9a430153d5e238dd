/** Addresses of the form `HOST:PORT`. */

/** A host and a port; the port is not a number where the address is none. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. */
export const splitAddress = (address: string): HostAndPort => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
