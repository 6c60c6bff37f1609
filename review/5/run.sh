#!/usr/bin/env bash
# See claim.txt.
exec python3 -B "$(dirname "$0")/run.py"
