/** A malformed submission: is it answered with 400, and does the controller go on? */
import { Buffer } from 'node:buffer';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { job, runCase, sleep } from '../lib/deployment.mjs';

/** A list announced with 33,554,431 entries, whose first entry is announced as another such list; then the body ends. */
const MALFORMED = Buffer.from('dd01ffffffdd01ffffff', 'hex');
/** As long, and malformed too. */
const OTHER = Buffer.from('not MsgPac');

await runCase(dirname(fileURLToPath(import.meta.url)), { upAtStart: 2 }, async (d, trouble) => {
  await d.start();
  const answer = await d.submit(job('run-000001', { parts: 4, expect_s: 8 }));
  if (answer?.status !== 201) throw new Error('not accepted');
  await d.until('a task runs', 20, () => d.events.some(({ what }) => what === 'placed'));
  // One user, who does as the protocol says: no response is retried after 1 s, at the next node, for up to 60 s.
  const began = d.now();
  let refused = null;
  for (let n = 0; refused === null && d.now() < began + 60; n++) {
    const reply = await d.ask(
      d.nodes[n % d.nodes.length],
      'POST',
      '/api/jobs',
      trouble ? MALFORMED : OTHER,
      5_000,
    );
    if (reply !== null && reply.status < 500) refused = reply.status;
    else await sleep(1_000);
  }
  d.record('the user has done', { answered: refused, afterS: Number((d.now() - began).toFixed(1)) });
  await sleep(2_000);
  const broken = d.ends.map(({ member, signal, code }) => ({
    rule: 'controller ended by itself',
    member,
    signal,
    code,
  }));
  if (refused !== 400) broken.push({ rule: 'malformed is answered with 400', answered: refused });
  return broken;
});
