// One direction: program -> features -> runtime, protocol, settings -> core (docs/architecture.md). No circles,
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
  'base',
  'membership',
  'picture',
  'records',
  'office',
  'jobs',
  'decision',
  'machines',
  'attempts',
  'users',
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
    only('settings', 'core'),
    only('runtime', 'core', 'protocol'),
    only('budgets', 'core', 'settings'),
    only('kube', 'core', 'settings'),
    only('emulator', 'core', 'protocol', 'settings'),
    only('demo', 'core', 'budgets', 'emulator'),
    {
      name: 'nobody-knows-the-program',
      severity: 'error',
      from: { path: '^packages/(?!shaleyoke/)' },
      to: { path: '^packages/shaleyoke/' },
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
