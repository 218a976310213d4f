#!/usr/bin/env bash
# Plays a check that is no case, because no rule names what it shows: refused-for-good or
# large-bodies. Exit codes and needs are those of the cases; the record goes to .bin/.
set -u
cd "$(dirname "$0")"
root=$(cd .. && pwd)
if [ ! -x .bin/cases ] || [ ! -x "$root/target/dotterelmountd" ]; then
  echo "the programs are not built" >&2
  exit 2
fi
ROOT="$root" CASE="${1:-}" RECORD="$PWD/.bin/${1:-none}.txt" exec .bin/cases
