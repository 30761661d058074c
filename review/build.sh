#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-tool ./review/_tool/platform
