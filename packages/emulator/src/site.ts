/** The deployment that simulations use: the settings of its controllers, and its only machine type. */
import { parseSettings } from '@shaleyoke/config/settings';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import type { MembershipSettings, Settings } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';

/** The settings of one controller. `members`: the names of all controllers; `teams` and `announcedLimits`: TOML. */
export const settingsFor = (
  member: string,
  members: readonly string[],
  teams: string,
  announcedLimits = '',
  membership: MembershipSettings | null = null,
  /** The operators' settings file (YAML); null: defaults. */
  operators: string | null = null,
): Settings => {
  const peers = members
    .filter((other) => other !== member)
    .map((other, i) => `[[peers]]\nmember = "${other}"\nsite = "z"\naddress = "10.0.0.${i + 2}:81"\n`)
    .join('');
  return parseSettings(
    `member = "${member}"\nsite = "z"\nlisten = "10.0.0.1:80"\ncluster_listen = "10.0.0.1:81"\n${peers}
[endpoints]\ncloud = "10.2.0.2:84"\nstate = "10.2.0.1:23"\n[cluster]\n${teams}
[cluster.workers]\nreport_s = 3.0\nlease_s = 20.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 40.0
[cluster.state]\nrps = 100.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 16\n${announcedLimits === '' ? '' : `[cluster.state.next]\n${announcedLimits}\n`}
[cluster.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n`,
    operators,
    membership,
  );
};

/** A machine type in two zones. */
export const MACHINE_TYPE: MachineType = {
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
