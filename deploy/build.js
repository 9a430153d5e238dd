// Bundles the program into one tree-shaken file and prepares its code cache: the controllers have a small
// share of a core, and starting up is the most expensive thing that they do.
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

mkdirSync('target', { recursive: true });

/** What is loaded only when it is switched on stands in a bundle of its own. */
const PLUGINS = {
  budgets: '@shaleyoke/budgets/plugin',
  demo: '@shaleyoke/demo/demo',
  kube: '@shaleyoke/kubernetes/plugin',
};
const apart = {
  name: 'plugins-apart',
  setup: ({ onResolve }) => {
    for (const [name, path] of Object.entries(PLUGINS))
      onResolve({ filter: new RegExp(`^${path}$`) }, ({ kind }) =>
        kind === 'entry-point' ? undefined : { path: `./${name}.js`, external: true },
      );
  },
};

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: false,
  legalComments: 'none',
  // Settings are only read, never generated: the generators behind the schemas stay out.
  alias: { 'fast-check': './deploy/empty.cjs' },
  // An import() becomes a require(): the bundles run from a code cache, where there is no other.
  supported: { 'dynamic-import': false },
  logLevel: 'warning',
};
await build({
  ...options,
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'target/app.js',
  plugins: [apart],
});
for (const [name, path] of Object.entries(PLUGINS))
  await build({ ...options, entryPoints: [path], outfile: `target/${name}.js` });
copyFileSync('deploy/loader.cjs', 'target/main.js');
writeFileSync('target/package.json', '{ "type": "commonjs" }\n');

// The flags are those of the service's own command line.
const run = /^run = "node (.*) target\/main\.js/m.exec(readFileSync('deploy/service.toml', 'utf8'));
const flags = run === null ? [] : run[1].split(' ').filter((f) => f !== '');
execFileSync(process.execPath, [...flags, 'target/main.js', 'warm-up'], {
  env: { ...process.env, SHALEYOKE_MAKE_CACHE: '1' },
  stdio: 'ignore',
});
