#!/usr/bin/env bash
# Runs the demo for a few seconds in a fresh clone, as the README promises.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
clone="$(mktemp -d)"
trap 'rm -rf "$clone"' EXIT
git clone --quiet --local "$root" "$clone/toucanrouter"
cd "$clone/toucanrouter"
npm run --silent demo -- --seconds 3 --only tkacik
