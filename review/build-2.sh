#!/bin/sh
# Builds the program that plays the scripted cases 6 to 10: stand-ins, clients and checks.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_driver2/platform
