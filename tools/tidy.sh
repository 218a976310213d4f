#!/usr/bin/env bash
# Points every module's requirements on its siblings at the workspace and tidies it.
set -euo pipefail
cd "$(dirname "$0")/.."
mods=$(awk '/^\t\.\//{print $1}' go.work)
for m in $mods; do
  args=()
  for o in $mods; do
    [ "$o" = "$m" ] && continue
    up=$(printf '%s' "${m#./}" | sed 's#[^/]*#..#g')
    args+=("-replace=dotterelmount.example/${o#./}=$up/${o#./}")
  done
  (cd "$m" && go mod edit "${args[@]}" && GOWORK=off GOFLAGS=-mod=mod go mod tidy)
done
