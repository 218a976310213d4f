#!/usr/bin/env bash
# Replaces each module's requirements on other modules of the workspace by their local folders, then tidies it.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly prefix=dotterelmount.example
mods=$(awk '/^\t\.\//{print substr($1, 3)}' go.work)

tidy() (
  m=$1
  cd "$m"
  up=$(printf '%s' "$m" | sed 's#[^/]*#..#g')
  add=()
  for o in $mods; do
    [ "$o" = "$m" ] || add+=("-replace=$prefix/$o=$up/$o")
  done
  go mod edit "${add[@]}"
  GOWORK=off GOFLAGS=-mod=mod go mod tidy
  drop=()
  for o in $mods; do
    grep -qE "^(require )?[[:space:]]*$prefix/$o v" go.mod || drop+=("-dropreplace=$prefix/$o")
  done
  go mod edit "${drop[@]}"
)

for m in $mods; do
  tidy "$m"
done
