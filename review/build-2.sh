#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10, offline: they use only the
# standard library. The program of an instance is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review-bed ./review/bed
