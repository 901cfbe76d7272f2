#!/usr/bin/env bash
# The stand-ins of the second review are plain JavaScript for Node.js, without
# dependencies: nothing has to be compiled. This checks that all files parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in *-2.js [6-9]/*.js; do
  node --check "$file"
done
