#!/usr/bin/env bash
# Builds the programs of the cases, which contain the stand-ins. It needs no modules beyond those of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/cases/...
