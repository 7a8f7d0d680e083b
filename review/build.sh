#!/bin/sh
# Builds the stand-ins that the cases start. Needs the Go tool chain, no network and no module beyond the standard library.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o review/bin/standins ./review/standins
