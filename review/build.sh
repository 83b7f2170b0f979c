#!/usr/bin/env bash
# Builds the scripts of the cases, with the stand-ins that they start, into
# review/built/. Needs only what `npm ci` installs.
set -euo pipefail
cd "$(dirname "$0")/.."

for source in review/*/case.ts; do
  number=$(basename "$(dirname "$source")")
  npx esbuild "$source" --bundle --platform=node --target=node20 \
    --main-fields=module,main \
    --outfile="review/built/case_$number.js" --log-level=warning
done
