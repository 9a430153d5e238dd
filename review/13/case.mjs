// A gang that waits for a busy machine holds a free one in every plan, so that an array waits beside the idle machine.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { incassohuis, job, runCase, sleep, trouble, WaitWatch } from '../../target/review-3/deployment.mjs';

const gang = (ref) =>
  job(ref, {
    bundle: 'betaling-koppelen',
    owner: 'platformploeg',
    shape: 'group',
    parts: 4,
    cores: 15,
    memory_gb: 26,
    build: 'koppelen-01',
    image_gb: 1.8,
    same_place: true,
    expect_s: 250,
    snapshot_s: 30,
    flush_s: 5,
  });

const scoringJob = (ref, parts) =>
  job(ref, {
    bundle: 'risico-scoren',
    owner: 'platformploeg',
    urgency: 'best_effort',
    parts,
    cores: 6,
    gpus: 1,
    memory_gb: 48,
    models: ['scorebak'],
    build: 'scoren-01',
    image_gb: 1,
    loaners: true,
    expect_s: 8,
    snapshot_s: 15,
    flush_s: 4,
    due_s: 35,
  });

const play = async (deployment) => {
  // While an array is on the machine with GPUs, a gang takes both machines without GPUs.
  await deployment.submit(scoringJob('run-000040', 4));
  await sleep(4_000);
  await deployment.submit(gang('run-000001'));
  while (deployment.doneCount('run-000040') < 4) await sleep(200);
  // A second gang comes when they come more often; at the usual rate it doesn't.
  if (trouble) await deployment.submit(gang('run-000002'));
  await sleep(2_000);
  const scoring = scoringJob('run-000050', 3);
  await deployment.submit(scoring);
  const watch = new WaitWatch(deployment, scoring);
  const until = deployment.now() + 93_000;
  while (deployment.now() < until) {
    await deployment.poll(scoring.ref);
    watch.look(true);
    if (watch.broken().length > 0 || deployment.doneCount(scoring.ref) === scoring.parts) break;
    await sleep(1_500);
  }
  return watch.broken();
};

await runCase(dirname(fileURLToPath(import.meta.url)), incassohuis(2, 1), play);
