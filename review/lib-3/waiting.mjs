// The rule on jobs that are left waiting, as users and the platform see it.

export const MAX_WAIT_MS = 90_000;

/** Machines that are up, reachable and not hanging, on which one more task of the job may start and has room. */
export const machinesWithRoom = (deployment, spec) => {
  const zones = new Map();
  for (const { worker } of deployment.placed(spec.ref))
    zones.set(worker.hall, (zones.get(worker.hall) ?? 0) + 1);
  return [...deployment.workers.values()].filter((worker) => {
    if (!worker.alive || !worker.up || worker.hanging || (worker.loaners && !spec.loaners)) return false;
    if (spec.hall !== null && spec.hall !== worker.hall) return false;
    if (spec.models !== null && !spec.models.includes(worker.type.sku)) return false;
    if (spec.same_place && [...zones.keys()].some((zone) => zone !== worker.hall)) return false;
    if (spec.scatter && (zones.get(worker.hall) ?? 0) >= Math.ceil(spec.parts / 2)) return false;
    return worker.holds(spec);
  });
};

/** Watches whether an array or a service has a waiting task although a machine that fits has room. */
export class WaitWatch {
  constructor(deployment, spec, maxCores = Infinity) {
    Object.assign(this, { deployment, spec, maxCores, since: null, longest: 0, machines: [] });
  }

  /** To be called every second or so; `over`: all troubles are over. */
  look(over) {
    const { deployment, spec } = this;
    const now = deployment.now();
    const unfinished = spec.parts - deployment.doneCount(spec.ref);
    const present = [...deployment.workers.values()]
      .flatMap((worker) => worker.parts)
      .filter(({ part, stage }) => part.startsWith(`${spec.ref}/`) && stage !== 'exited').length;
    const underLimit = deployment.coresOf(spec.owner) + spec.cores <= this.maxCores;
    const machines = machinesWithRoom(deployment, spec);
    const waits = over && unfinished - present > 0 && underLimit && machines.length > 0;
    if (!waits) this.since = null;
    else this.since ??= now;
    const waited = waits ? now - this.since : 0;
    if (waited > this.longest) {
      this.longest = waited;
      this.machines = machines.map(({ berth }) => berth);
    }
    deployment.record('look', {
      ref: spec.ref,
      waiting: Math.max(0, unfinished - present),
      present,
      room: machines.map(({ berth }) => berth).join(' '),
      cores: deployment.coresOf(spec.owner),
      waitedS: Math.round(waited / 1_000),
    });
  }

  broken() {
    if (this.longest <= MAX_WAIT_MS) return [];
    const seconds = Math.round(this.longest / 1_000);
    return [
      `${this.spec.ref} was left waiting for ${seconds} s although ${this.machines.join(' ')} had room`,
    ];
  }
}
