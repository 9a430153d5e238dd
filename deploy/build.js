// Bundles the program into one tree-shaken file: the controllers have a small share of a core, and
// reading one file is much cheaper for them than resolving hundreds of modules.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/main.ts'],
  outfile: 'target/main.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
});
