#!/usr/bin/env bash
# Builds the stand-ins and the checks of all cases into one program.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOTOOLCHAIN=local go test -c -o ../.bin/cases .
