#!/bin/bash
# Builds the stand-ins and clients of the cases 6 to 10. They need nothing beside Go.
set -e
cd "$(dirname "$0")/harness-2"
GOWORK=off GOTOOLCHAIN=local go test -c -o ../../target/review-2/cases .
