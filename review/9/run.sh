#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-9
[ -x "$program" ] && [ -x target/programs/tamarackwingd/tamarackwingd ] || exit 2
exec "$program" review/9
