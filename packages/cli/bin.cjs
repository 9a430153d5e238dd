#!/usr/bin/env node
// `npx shaleyoke` in this repository: starts what `npm run build` made.
const fs = require('node:fs');
const path = require('node:path');

const main = path.join(__dirname, '..', '..', 'target', 'main.js');
if (!fs.existsSync(main)) {
  console.error('not built yet: run npm run build');
  process.exit(1);
}
require(main);
