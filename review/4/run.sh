#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../run_case.sh" 4 cold_restart turned-away
