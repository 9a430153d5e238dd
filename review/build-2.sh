#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start: their stand-ins and the project's own, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 4 5 6 7 8; do
  [ -f "review/$case/case.mts" ] || continue
  npx esbuild "review/$case/case.mts" --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review-2/$case.cjs"
done
