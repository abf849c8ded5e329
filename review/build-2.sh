#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It uses only the modules
# that the project declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/ ./review/standin-2
