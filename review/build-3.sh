#!/bin/sh
# Builds the stand-ins and cases of the third review: one program, target/review-3, from the
# standard library only.
set -eu
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
GOWORK=off go test -c -o ../../target/review-3 .
