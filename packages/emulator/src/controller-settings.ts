/** Generates the settings file of a controller on loopback (TOML). */

/** Settings that differ between controllers and deployments; the rest of the file is fixed. */
export interface ControllerSettings {
  /** The controller's unique name. */
  readonly member: string;
  /** Address for users and workers (IP:PORT). */
  readonly listen: string;
  /** Address for the other controllers. */
  readonly peerListen: string;
  /** The other controllers, with their `peerListen`. */
  readonly peers: readonly { readonly member: string; readonly address: string }[];
  /** Address of the cloud's API (IP:PORT). */
  readonly cloud: string;
  /** Address of the state service (IP:PORT). */
  readonly state: string;
  /** Names of teams, which get no quota. */
  readonly teams: readonly string[];
  /** Workers' heartbeat interval. */
  readonly heartbeatIntervalS: number;
  /** A worker ends its tasks when no heartbeat was accepted for this time. */
  readonly leaseS: number;
  /** Time within which the tasks of a cancelled job must stop. */
  readonly cancelS: number;
  /** Requests per second that the state service allows. */
  readonly stateRps: number;
  /** Puts and deletes per second that the state service allows. */
  readonly stateWriteRps: number;
  /** Requests per second that the cloud allows. */
  readonly cloudRps: number;
  /** Further TOML, inserted before `[cluster.workers]`. */
  readonly extraToml?: string;
}

/** Formats a number as a TOML float. */
const decimal = (value: number): string => (Number.isInteger(value) ? `${value}.0` : String(value));

/** The text of the settings file. */
export const controllerSettings = (settings: ControllerSettings): string => {
  const peers = settings.peers.map(
    (peer) => `[[peers]]\nmember = "${peer.member}"\nsite = "zone-a"\naddress = "${peer.address}"\n`,
  );
  const teams = settings.teams.map((team) => `[[cluster.teams]]\nname = "${team}"\n`);
  return (
    `member = "${settings.member}"\nsite = "zone-a"\nlisten = "${settings.listen}"\ncluster_listen = "${settings.peerListen}"\n` +
    `${peers.join('')}[endpoints]\ncloud = "${settings.cloud}"\nstate = "${settings.state}"\n` +
    `[cluster]\ninitial_size = ${settings.peers.length + 1}\n${teams.join('')}${settings.extraToml ?? ''}` +
    `[cluster.workers]\nreport_s = ${decimal(settings.heartbeatIntervalS)}\nlease_s = ${decimal(settings.leaseS)}\n` +
    `gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = ${decimal(settings.cancelS)}\n` +
    `[cluster.state]\nrps = ${decimal(settings.stateRps)}\nwrite_rps = ${decimal(settings.stateWriteRps)}\n` +
    `value_kb = 16.0\ntxn_ops = 16\n[cluster.cloud]\nrps = ${decimal(settings.cloudRps)}\nlist_lag_s = 1.0\n`
  );
};
