#!/bin/bash
# Builds the stand-ins of the cases into out/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
cd review/standins
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../out/review/standins .
