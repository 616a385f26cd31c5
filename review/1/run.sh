#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec python3 -B "$(dirname "$0")/case.py"
