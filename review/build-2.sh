#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/harness-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review2 .
