#!/usr/bin/env bash
# Builds what the scripts of the review start besides the product: one program a case, which holds
# the clients and the project's own stand-ins. Run the build of deploy/system.toml first. The programs hold
# no path of the machine and lie in target/review, beside the product.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -trimpath -o target/review/ ./review/...
