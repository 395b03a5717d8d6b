#!/bin/bash
# Builds the stand-ins of cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for d in review/1[1-5]/; do
  if ls "$d"*.go >/dev/null 2>&1; then
    n=$(basename "$d")
    go build -tags review -o "target/review-3/$n" "./review/$n"
  fi
done
