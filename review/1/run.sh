#!/usr/bin/env bash
# Exits with 1 if a client got bytes that are no answer, 0 if none did, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssoprelay ] && [ -x target/review/1 ] || { echo 'build the deploy file and review/build.sh first' >&2; exit 2; }
exec target/review/1
