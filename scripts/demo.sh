#!/usr/bin/env bash
# Builds everything and runs the demo; arguments are passed on, such as --seconds 20.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
exec node packages/standins/dist/bin/demo.js "$@"
