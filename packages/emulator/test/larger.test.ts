/** Tests that scaled copies of site files change only the values that depend on the number of machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { scaleSite } from '@shaleyoke/emulator/site-scaling';
import fc from 'fast-check';
import { parse, stringify } from 'smol-toml';

const SITE = `
name = "s"
[nodes]
count = 5
restart_delay_s = 8.0
[[capacity]]
type = "box"
count = 200
spot = 80
[[machines]]
count = 170
[[teams]]
name = "t"
cpus = 100.0
cpus_max = 500.0
[[jobs]]
name = "j"
initial = 7
arrivals = { rate = 0.2, swing = 0.5 }
tasks = { sizes = [4, 9] }
[[day]]
name = "d"
faults = [{ at_s = 1.0, kind = "machine_die", count = 26 }, { at_s = 2.0, kind = "node_crash", count = 2 }, { at_s = 3.0, kind = "capacity", count = 0.3 }]
`;

test('scales machines, capacity, arrivals and failing machines; keeps job sizes, controllers and shares', () => {
  fc.assert(
    fc.property(fc.double({ min: 0.5, max: 4, noNaN: true }), fc.boolean(), (times, quick) => {
      const grown = scaleSite(parse(SITE), times, quick ? 0.2 : null);
      const site = JSON.parse(JSON.stringify(grown)) as Record<string, unknown>;
      assert.deepEqual(site['capacity'], [
        { type: 'box', count: Math.round(200 * times), spot: Math.round(80 * times) },
      ]);
      assert.deepEqual(site['machines'], [{ count: Math.round(170 * times) }]);
      assert.deepEqual(site['nodes'], { count: 5, restart_delay_s: quick ? 0.2 : 8 });
      const [job] = site['jobs'] as {
        initial: number;
        tasks: unknown;
        arrivals: { rate: number; swing: number };
      }[];
      assert.equal(job?.initial, Math.round(7 * times));
      assert.ok(Math.abs(job.arrivals.rate - 0.2 * times) < 1e-9);
      assert.equal(job?.arrivals.swing, 0.5);
      assert.deepEqual(job?.tasks, { sizes: [4, 9] });
      const [day] = site['day'] as { faults: { count: number }[] }[];
      assert.deepEqual(
        day?.faults.map((f) => f.count),
        [Math.round(26 * times), 2, 0.3],
      );
      assert.deepEqual(parse(stringify(grown)), grown);
    }),
    { seed: 7, numRuns: 40 },
  );
});
