// Settings of the deployments, made small: fewer machines, the times and limits as they are.

/** adresy-pomorze with `perZone` machines up at the start in each of its zones, and no others to rent. */
export const adresy = (teams, perZone) => {
  const zones = ['strefa-gdansk', 'strefa-poznan', 'strefa-zapasowa'];
  return {
    zones,
    teams,
    types: [
      {
        sku: 'wezel-szesnastka',
        cores: 16,
        gpus: 0,
        memory_gb: 32,
        cache_gb: 40,
        pull_gb_per_s: 1,
        rate: 0.95,
        market_price: 0.37,
        startup_s: 50,
        halls: zones,
      },
    ],
    machines: zones.map((hall) => ({ type: 'wezel-szesnastka', hall, count: perZone })),
    capacity: Object.fromEntries(zones.map((hall) => [`wezel-szesnastka|${hall}|ordinary`, perZone])),
    objectives: [
      { kind: 'wait', class: 'geokoder-adresow', within_s: 1, share: 0.95 },
      { kind: 'deadline', class: 'przypisanie-budynkow', share: 0.96 },
    ],
    workers: { report_s: 5, lease_s: 29, gang_wait_s: 35, gang_peer_s: 6, cancel_s: 49 },
    state: { rps: 250, write_rps: 100, value_kb: 16, txn_ops: 12 },
    cloud: { rps: 3, list_lag_s: 10 },
    restart_s: 8,
  };
};

/** incassohuis-gedeeld with these machines in zone-amsterdam up at the start, and no others to rent. */
export const incassohuis = (rekenbak, scorebak) => {
  const common = { memory_gb: 64, market_price: 0.43, halls: ['zone-amsterdam'] };
  return {
    zones: ['zone-amsterdam'],
    teams: [{ name: 'platformploeg', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    types: [
      {
        ...common,
        sku: 'rekenbak',
        cores: 32,
        gpus: 0,
        cache_gb: 70,
        pull_gb_per_s: 1,
        rate: 1.58,
        startup_s: 30,
      },
      {
        ...common,
        sku: 'scorebak',
        cores: 32,
        gpus: 4,
        memory_gb: 256,
        cache_gb: 60,
        pull_gb_per_s: 0.5,
        rate: 14.55,
        market_price: 3.7,
        startup_s: 40,
      },
    ],
    machines: [
      { type: 'rekenbak', hall: 'zone-amsterdam', count: rekenbak },
      { type: 'scorebak', hall: 'zone-amsterdam', count: scorebak },
    ],
    capacity: {
      'rekenbak|zone-amsterdam|ordinary': rekenbak,
      'scorebak|zone-amsterdam|ordinary': scorebak,
    },
    objectives: [
      { kind: 'wait', class: 'betaling-koppelen', within_s: 15, share: 0.9 },
      { kind: 'wait', class: 'betaling-koppelen', within_s: 40, share: 0.95 },
      { kind: 'finished', class: 'betaling-koppelen', within_s: 250, share: 0.95 },
      { kind: 'deadline', class: 'risico-scoren', share: 0.85 },
      { kind: 'deadline', class: 'risico-scoren', share: 0.96, times: 1.75 },
    ],
    workers: { report_s: 3, lease_s: 27, gang_wait_s: 35, gang_peer_s: 5, cancel_s: 47 },
    state: { rps: 120, write_rps: 25, value_kb: 16, txn_ops: 20 },
    cloud: { rps: 1.5, list_lag_s: 12 },
    restart_s: 8,
  };
};
