#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The hosts are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review-stage ./review/stage
