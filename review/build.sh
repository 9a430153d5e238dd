#!/bin/sh
# Checks the stand-ins (review/lib) and the cases: plain JavaScript on Node.js and @msgpack/msgpack, which the project has.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs ./*/case.mjs; do node --check "$file" || exit 1; done
test -f ../target/main.js || { echo 'run the build of deploy/service.toml first' >&2; exit 1; }
test -d ../node_modules/@msgpack/msgpack || { echo 'run npm ci first' >&2; exit 1; }
