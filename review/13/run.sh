#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.." || exit 2
[ -e target/review-3/deployment.mjs ] || bash review/build-3.sh || exit 2
exec node "$case_folder/case.mjs"
