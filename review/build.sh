#!/bin/sh
# Builds the stand-ins that the cases start. Needs the Go tool chain and no network. The second program is the project's own
# example of a replica, for the scenario `keys` of the report; no case starts it.
cd "$(dirname "$0")/.." || exit 2
go build -tags review -o review/bin/standins ./review/standins || exit 1
go build -o review/bin/relay ./client/examples/relay
