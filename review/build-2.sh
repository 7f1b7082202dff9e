#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/bin/review-stand-2 ./review/stand-2
