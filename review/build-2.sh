#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. It runs after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./review/standin2
