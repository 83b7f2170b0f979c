#!/usr/bin/env bash
# Builds the programs of the third review's scripts into review/built/. Each has
# its stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."

for source in review/1[1-5]/case.ts; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  npx esbuild "$source" --bundle --platform=node --target=node20 \
    --outfile="review/built/case-$name.js" --log-level=warning
done
