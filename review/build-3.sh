#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/14 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/scene ./review/_scene3/platform
