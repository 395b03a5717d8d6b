#!/bin/bash
# Builds the stand-ins of cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for d in review/[0-9]*/; do
  n=$(basename "$d")
  if [ "$n" -gt 5 ] && ls "$d"*.go >/dev/null 2>&1; then
    go build -tags review -o "target/review-2/$n" "./review/$n"
  fi
done
