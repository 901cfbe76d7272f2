#!/usr/bin/env bash
# Checks the README's demo command in a fresh clone, for a few seconds.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
clone="$(mktemp -d)"
trap 'rm -rf "$clone"' EXIT
git clone --quiet --local "$root" "$clone/toucanrouter"
cd "$clone/toucanrouter"
npm run --silent demo -- --seconds 3 --only tkacik
