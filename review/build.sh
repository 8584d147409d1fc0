#!/bin/sh
# Builds what the scripts of the cases start beside the program of the deploy file: the
# stand-ins of the store, endpoints and callers, which are one program.
cd "$(dirname "$0")/.." || exit 2
exec go test -c -o review/bin/probe ./review/probe
