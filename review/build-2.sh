#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2/standin2 ./review/standin2
