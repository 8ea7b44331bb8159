#!/bin/sh
# Builds the stand-ins of the scripts review/11 and review/12, after the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -tags review -o target/stage-3 ./review/stage-3
