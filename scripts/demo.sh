#!/usr/bin/env bash
# Installs dependencies if needed, builds all packages and runs the demo.
# Arguments are passed to the demo, such as --seconds 20.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x node_modules/.bin/tsc ]; then
  npm ci --prefer-offline --ignore-scripts --no-audit --no-fund --loglevel=error
fi
npm run --silent build
exec node packages/standins/dist/bin/demo.js "$@"
