#!/bin/sh
# Builds the stand-ins that the cases 4 to 6 start. Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins-2 ./review/standins-2
