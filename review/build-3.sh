#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start. Run it after the build of the
# deploy file, in any folder.
set -eu
cd "$(dirname "$0")/harness-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3/harness .
