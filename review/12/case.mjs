// An array that is bound to one zone, of which at most half may be there at a time, never starts any task.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { adresy, job, runCase, sleep, trouble, WaitWatch } from '../../target/review-3/deployment.mjs';

const teams = [{ name: 'zespol-adresowy', cpus: 0, cpus_max: 96, gpus: 0, gpus_max: 0 }];

const play = async (deployment) => {
  const array = job('run-000001', {
    bundle: 'przypisanie-budynkow',
    owner: 'zespol-adresowy',
    parts: 4,
    cores: 2,
    memory_gb: 3.6,
    build: 'przypisanie-01',
    image_gb: 1,
    loaners: true,
    expect_s: 10,
    scatter: true,
    hall: trouble ? 'strefa-gdansk' : null,
  });
  await deployment.submit(array);
  await sleep(1_000);
  const watch = new WaitWatch(deployment, array, 96);
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
