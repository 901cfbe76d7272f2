#!/bin/bash
# Builds the stand-ins that the scripts of this folder start. They are plain
# JavaScript without dependencies, so only their syntax is checked.
cd "$(dirname "$0")" || exit 1
for file in *.js [0-9]/*.js; do
  node --check "$file" || exit 1
done
