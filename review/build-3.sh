#!/usr/bin/env bash
# Builds the driver of the cases 11 to 14, with their stand-ins for the store, the
# replicas and the callers. It adds no dependency to those of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/driver ./review/_driver3/platform
