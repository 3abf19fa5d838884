#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
exec python3 "$(dirname "$0")/case.py"
