#!/bin/bash
# Builds the stand-ins of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review2 -o target/review-2/stage-2 ./review/stage-2
