#!/usr/bin/env bash
# Builds the stand-ins of review/9 to review/13 into one file, which needs no other modules.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/lib-3/deployment.mjs --bundle --platform=node --format=esm \
  --target=node20 --log-level=warning --outfile=target/review-3/deployment.mjs
