#!/usr/bin/env bash
# Builds the stand-ins of the cases into bin/, beside the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/ ./review/cmd/...
