// Starts the bundle from V8's code cache: compiling it anew costs a controller, with its small share of a
// core, about a second. The build makes the cache with the flags that the service runs with; where they
// differ, V8 rejects the cache and compiles as usual.
const fs = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');

const file = path.join(__dirname, 'app.js');
const cacheFile = path.join(__dirname, 'app.cache');
const source = `(function (exports, require, module, __filename, __dirname) {${fs.readFileSync(file, 'utf8')}\n})`;
const making = process.env.SHALEYOKE_MAKE_CACHE === '1';
let cachedData;
if (!making) {
  try {
    cachedData = fs.readFileSync(cacheFile);
  } catch {
    cachedData = undefined;
  }
}
const script = new vm.Script(source, { filename: file, cachedData });
script.runInThisContext()(module.exports, require, module, file, __dirname);
if (making) process.on('exit', () => fs.writeFileSync(cacheFile, script.createCachedData()));
