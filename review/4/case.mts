/** A gang of as many tasks as a job may have. */
import { arrayJob, KRAKOW, runCase, sleep } from '../lib-2/deployment.mts';

const TEAM = 'zespol-ewidencji';
/** The largest number of tasks that the page allows. */
const PARTS = 100_000;

void runCase({ site: KRAKOW, folder: 'review/4', perZone: 12 }, async (d, trouble) => {
  if ((await d.submit(arrayJob('run-000001', TEAM, 2, 5))) !== 201) throw new Error('not accepted');
  await sleep(5);
  const large = arrayJob('run-000002', TEAM, trouble ? PARTS : 24, 30, {
    shape: 'gang',
    cores: 4,
    memoryGb: 4,
  });
  if ((await d.submit(large, 1)) !== 201) throw new Error('the gang was not accepted');
  const until = d.nowS() + 60;
  for (let i = 0; d.nowS() < until; i++) {
    await sleep(10);
    await d.user(d.nodes[i % 3]!, 'GET', '/api/jobs/run-000002');
  }
  d.record(`${d.ends.length} controllers ended by themselves`);
  return d.ends.length === 0;
});
