#!/usr/bin/env bash
# Regenerates the committed protobuf code in src/wire/generated.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p src/wire/generated
protoc --proto_path=proto --cpp_out=src/wire/generated proto/peer.proto proto/fleet.proto
