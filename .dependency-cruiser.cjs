// One direction: program -> features -> controller, protocol, config -> core (docs/architecture.md). No circles,
// types included.
const only = (name, ...allowed) => ({
  name: `${name}-knows-only`,
  comment: `packages/${name} may import ${allowed.join(', ') || 'nothing of this repository'}`,
  severity: 'error',
  from: { path: `^packages/${name}/src` },
  to: { path: `^packages/(?!${[name, ...allowed].join('/|')}/)` },
});

// Within the core: each folder may import those before it (docs/architecture.md); the files beside them are the door.
const LAYERS = [
  'domain',
  'codecs',
  'node',
  'membership',
  'cluster',
  'storage',
  'leadership',
  'jobs',
  'scheduling',
  'machines',
  'tasks',
  'api',
  'leader',
];
const layered = LAYERS.map((layer, i) => ({
  name: `core-${layer}-knows-only-what-is-below`,
  comment: `packages/core/src/${layer} may import ${LAYERS.slice(0, i).join(', ') || 'no other folder'}`,
  severity: 'error',
  from: { path: `^packages/core/src/${layer}/` },
  to: { path: `^packages/core/src/(${LAYERS.slice(i + 1).join('|') || 'none'})/` },
}));

module.exports = {
  forbidden: [
    { name: 'no-circles', severity: 'error', from: {}, to: { circular: true } },
    { name: 'resolvable', severity: 'error', from: {}, to: { couldNotResolve: true } },
    ...layered,
    only('core'),
    only('protocol', 'core'),
    only('config', 'core'),
    only('controller', 'core', 'protocol'),
    only('budgets', 'core', 'config'),
    only('kubernetes', 'core', 'config'),
    only('emulator', 'core', 'protocol', 'config', 'controller'),
    only('demo', 'core', 'budgets', 'emulator'),
    {
      name: 'nobody-knows-the-program',
      severity: 'error',
      from: { path: '^packages/(?!cli/)' },
      to: { path: '^packages/cli/' },
    },
    {
      name: 'the-core-stands-alone',
      comment: 'the core is a state machine: no library, no module of Node',
      severity: 'error',
      from: { path: '^packages/core/src' },
      to: { dependencyTypes: ['core', 'npm', 'npm-dev', 'npm-no-pkg', 'npm-unknown'] },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    doNotFollow: { path: 'node_modules' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['import', 'node', 'default'] },
  },
};
