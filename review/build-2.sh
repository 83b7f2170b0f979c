#!/usr/bin/env bash
# Bundles the scripts of the second review with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/{6,7,8,9,10}/script.ts; do
  [ -e "$script" ] || continue
  number=$(basename "$(dirname "$script")")
  npx esbuild "$script" --bundle --platform=node --target=node20 --main-fields=module,main \
    --outfile="review/built/case-$number/script.cjs" --log-level=warning
done
