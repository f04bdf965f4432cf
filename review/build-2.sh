#!/usr/bin/env bash
# Builds the drivers of the cases of the second review, with the project's stand-ins that they use.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/main.go; do
	dir=$(dirname "$case")
	go build -buildvcs=false -trimpath -o "target/review-2/$(basename "$dir")" "./$dir"
done
