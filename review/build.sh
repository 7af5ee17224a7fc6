#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/. It needs only the Go
# toolchain and its standard library. The project itself is built before by the build
# line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-harness .
