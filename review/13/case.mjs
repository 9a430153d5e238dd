// The room that is kept for services that may come starves an array for as long as no more than that is left.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { adresy, job, runCase, sleep, trouble, WaitWatch } from '../../target/review-3/deployment.mjs';

const teams = [{ name: 'zespol-adresowy', cpus: 0, cpus_max: 128, gpus: 0, gpus_max: 0 }];

const service = (ref, parts) =>
  job(ref, {
    bundle: 'geokoder-adresow',
    owner: 'zespol-adresowy',
    shape: 'service',
    urgency: 'critical',
    parts,
    cores: 2,
    memory_gb: 3.4,
    build: 'geokoder-01',
    image_gb: 0.7,
    scatter: true,
    expect_s: 0,
  });

const play = async (deployment) => {
  // One service at the usual rate, four when they come more often; 8 of 48 places are left then.
  const sizes = trouble ? [16, 16, 4, 4] : [16];
  for (const [i, parts] of sizes.entries()) {
    await deployment.submit(service(`run-00000${i + 1}`, parts));
    await sleep(500);
  }
  await sleep(6_000);
  const array = job('run-000050', {
    bundle: 'przypisanie-budynkow',
    owner: 'zespol-adresowy',
    parts: 4,
    cores: 2,
    memory_gb: 3.6,
    build: 'przypisanie-01',
    image_gb: 1,
    loaners: true,
    expect_s: 10,
    due_s: 30,
  });
  await deployment.submit(array);
  const watch = new WaitWatch(deployment, array, 128);
  const until = deployment.now() + 93_000;
  while (deployment.now() < until) {
    await deployment.poll(array.ref);
    watch.look(true);
    if (watch.broken().length > 0 || deployment.doneCount(array.ref) === array.parts) break;
    await sleep(1_500);
  }
  return watch.broken();
};

await runCase(dirname(fileURLToPath(import.meta.url)), adresy(teams, 2), play);
