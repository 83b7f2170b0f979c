#!/usr/bin/env bash
# Builds the daemon that deploy/system.toml runs into target/: the bundle, its
# launcher, and V8's code cache. The cache is built with the flags of the role
# `entry`; under other flags it is not used.
set -euo pipefail
cd "$(dirname "$0")/.."

rm -f target/daemon.code
npx esbuild platform/main.ts --bundle --minify-whitespace --minify-syntax \
  --platform=node --target=node20 --main-fields=module,main \
  --alias:undici=./platform/undici_client.mjs \
  --alias:zod=./platform/zod_client.mjs \
  --outfile=target/daemon.js --log-level=warning
cp platform/start.cjs target/toucanwindd.js

flags=$(sed -n '/^\[roles.entry\]/,/^on/s/^run = "node \(.*\) target.*/\1/p' \
  deploy/system.toml)
TOUCANWIND_CONFIG=deploy/settings.example.json TOUCANWIND_PEER_SECRET=building \
  node $flags target/toucanwindd.js --compile --check
