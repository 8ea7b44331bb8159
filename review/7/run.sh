#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentiancroft ] && [ -x target/review-2/stage-2 ] || exit 2
PROGRAM=target/gentiancroft RECORD=review/7/record.txt exec target/review-2/stage-2 left
