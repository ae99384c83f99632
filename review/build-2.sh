#!/usr/bin/env bash
# Builds what the scripts of the second review start besides target/barleyshelf.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases-2 ./review/cases-2
