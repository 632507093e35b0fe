#!/usr/bin/env bash
# Builds the stand-ins that the cases start: target/review-standin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
