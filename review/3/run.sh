#!/usr/bin/env bash
# Runs the case beside claim.txt and writes what was sent, answered and run to record.txt in this folder.
# Exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 ../standins/clock_step.py "$PWD/record.txt"
