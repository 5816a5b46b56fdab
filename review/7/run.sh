#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 target/review-2/term_wait "$PWD/target/relay" review/7/record.txt
