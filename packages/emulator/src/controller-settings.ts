/** The platform's file of a controller on loopback, as text. */

export interface ControllerSettings {
  readonly member: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly member: string; readonly address: string }[];
  readonly cloud: string;
  readonly state: string;
  readonly teams: readonly string[];
  readonly reportS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly cloudRps: number;
  /** Further lines of `[cluster]`'s tables. */
  readonly more?: string;
}

const decimal = (value: number): string => (Number.isInteger(value) ? `${value}.0` : String(value));

export const controllerSettings = (s: ControllerSettings): string => {
  const peers = s.peers.map(
    (p) => `[[peers]]\nmember = "${p.member}"\nsite = "zone-a"\naddress = "${p.address}"\n`,
  );
  const teams = s.teams.map((t) => `[[cluster.teams]]\nname = "${t}"\n`);
  return (
    `member = "${s.member}"\nsite = "zone-a"\nlisten = "${s.listen}"\ncluster_listen = "${s.peerListen}"\n` +
    `${peers.join('')}[endpoints]\ncloud = "${s.cloud}"\nstate = "${s.state}"\n` +
    `[cluster]\ninitial_size = ${s.peers.length + 1}\n${teams.join('')}${s.more ?? ''}` +
    `[cluster.workers]\nreport_s = ${decimal(s.reportS)}\nlease_s = ${decimal(s.leaseS)}\n` +
    `gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = ${decimal(s.cancelS)}\n` +
    `[cluster.state]\nrps = ${decimal(s.stateRps)}\nwrite_rps = ${decimal(s.stateWriteRps)}\n` +
    `value_kb = 16.0\ntxn_ops = 16\n[cluster.cloud]\nrps = ${decimal(s.cloudRps)}\nlist_lag_s = 1.0\n`
  );
};
