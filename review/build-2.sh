#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standins2 ./review/standins2
