#!/usr/bin/env bash
# Builds what the scripts of the cases start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	if [ -d "review/$n" ]; then go build -o "review/bin/case$n" "./review/$n"; fi
done
