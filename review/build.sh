#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; they need no module beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../../target/review-standins .
