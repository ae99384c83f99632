#!/usr/bin/env bash
# Generates all committed code from the files in api/. CONTRIBUTING.md lists the
# generators and their versions; the build itself needs none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I api/proto \
  --go_out=. --go_opt=module=github.com/barleyshelf/barleyshelf \
  --connect-go_out=. --connect-go_opt=module=github.com/barleyshelf/barleyshelf \
  $(find api/proto -name '*.proto')
for spec in api/*.openapi.yaml; do
  [ -e "$spec" ] || continue
  name=$(basename "$spec" .openapi.yaml)
  ogen --target "internal/gen/${name}api" --package "${name}api" --clean "$spec"
done
