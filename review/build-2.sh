#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/standins ./review/standins-2
