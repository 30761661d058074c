#!/usr/bin/env bash
# Plays the case early-key; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/zinnialock ] && [ -x target/review-3/scene ] || exit 2
exec target/review-3/scene early-key review/14/record.txt
