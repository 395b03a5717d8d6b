#!/bin/bash
# Runs case 7; TROUBLE=0 runs it without the outages of the store.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/foxtailcroft ] && [ -x target/review-2/7 ] || { echo "build first"; exit 2; }
exec timeout -k 5 118 target/review-2/7 target/foxtailcroft review/7/record.txt
