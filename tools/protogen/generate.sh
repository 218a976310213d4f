#!/usr/bin/env bash
# Builds the protobuf generators into .bin and regenerates the committed code. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin="$PWD/.bin"
mkdir -p "$bin"
(cd tools/protogen && GOWORK=off go build -o "$bin/" \
  github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  storj.io/drpc/cmd/protoc-gen-go-drpc)
for module in front/peer front/forward; do
  (cd "$module" && PATH="$bin:$PATH" "$bin/buf" generate --template buf.gen.yaml)
done
