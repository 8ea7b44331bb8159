#!/usr/bin/env bash
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption. KEEP_LOGS=1 keeps the hosts' logs.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/gentiancroft target/review-stage; do
  [ -x "$program" ] || { echo "$program is missing: build first" >&2; exit 2; }
done
exec target/review-stage silent review/5
