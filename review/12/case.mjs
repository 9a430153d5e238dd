// Waiting arrays that can't start use up their team's limit in every plan, so that another job of the team never starts.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { adresy, job, runCase, sleep, trouble, WaitWatch } from '../../target/review-3/deployment.mjs';

const LIMIT = 64;
const FULL_ZONE = 'strefa-poznan';

const teams = [
  { name: 'zespol-adresowy', cpus: 0, cpus_max: LIMIT, gpus: 0, gpus_max: 0 },
  { name: 'dyzur-platformy', cpus: 0, cpus_max: 96, gpus: 0, gpus_max: 0 },
];

const batch = (ref, more) =>
  job(ref, {
    bundle: 'przypisanie-budynkow',
    owner: 'zespol-adresowy',
    parts: 8,
    cores: 2,
    memory_gb: 3.6,
    build: 'przypisanie-01',
    image_gb: 1,
    loaners: true,
    expect_s: 60,
    ...more,
  });

const play = async (deployment) => {
  // Another team's tasks fill both machines of one zone.
  const filler = batch('run-000001', {
    owner: 'dyzur-platformy',
    parts: 16,
    hall: FULL_ZONE,
    expect_s: 200,
  });
  await deployment.submit(filler);
  await sleep(6_000);
  // Arrays bound to that zone: one at the usual rate, four when jobs of the class come more often.
  const bound = trouble ? 4 : 1;
  for (let i = 0; i < bound; i++) {
    await deployment.submit(batch(`run-00001${i}`, { hall: FULL_ZONE }));
    await sleep(500);
  }
  await sleep(2_000);
  const other = batch('run-000050', { expect_s: 10 });
  await deployment.submit(other);
  const watch = new WaitWatch(deployment, other, LIMIT);
  const until = deployment.now() + 93_000;
  while (deployment.now() < until) {
    await deployment.poll(other.ref);
    watch.look(true);
    if (watch.broken().length > 0 || deployment.doneCount(other.ref) === other.parts) break;
    await sleep(1_500);
  }
  return watch.broken();
};

await runCase(dirname(fileURLToPath(import.meta.url)), adresy(teams, 2), play);
