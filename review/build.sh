#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The driver holds all of them: the
# platform's store of platform/standin, and replicas, clients and the platform's
# readiness checks of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-driver ./review/_driver/platform
