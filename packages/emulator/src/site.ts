/** A deployment for simulated worlds: the settings that its nodes are handed, and its one type of machine. */
import { parseSettings } from '@shaleyoke/config/settings';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import type { MembershipSettings, Settings } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';

export const settingsFor = (
  member: string,
  all: readonly string[],
  teams: string,
  next = '',
  membership: MembershipSettings | null = null,
  /** The operators' own settings (YAML); null: all defaults. */
  operators: string | null = null,
): Settings => {
  const peers = all
    .filter((m) => m !== member)
    .map((m, i) => `[[peers]]\nmember = "${m}"\nsite = "z"\naddress = "10.0.0.${i + 2}:81"\n`)
    .join('');
  return parseSettings(
    `member = "${member}"\nsite = "z"\nlisten = "10.0.0.1:80"\ncluster_listen = "10.0.0.1:81"\n${peers}
[endpoints]\ncloud = "10.2.0.2:84"\nstate = "10.2.0.1:23"\n[cluster]\n${teams}
[cluster.workers]\nreport_s = 3.0\nlease_s = 20.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 40.0
[cluster.state]\nrps = 100.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 16\n${next === '' ? '' : `[cluster.state.next]\n${next}\n`}
[cluster.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n`,
    operators,
    membership,
  );
};

export const TYPE: MachineType = {
  name: 'box',
  cores: 4,
  gpus: 0,
  memoryGb: 16,
  imageCacheGb: 20,
  imagePullGbPerS: 1,
  price: 1,
  spotPrice: 0.4,
  bootUs: 10 * SECOND,
  zones: ['a', 'b'],
};
