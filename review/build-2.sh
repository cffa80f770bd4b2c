#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off go build -C review/standins-2 -o ../../target/review-2/standins-2 .
