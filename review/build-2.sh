#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and on. The relay is built by the deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/world ./review/_world/platform
