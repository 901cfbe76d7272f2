#!/bin/bash
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec node run.js
