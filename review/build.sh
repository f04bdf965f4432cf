#!/usr/bin/env bash
# Builds what the scripts of the review start besides the product: one program a case, which holds
# the clients and the project's own stand-ins. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/target/ ./review/...
