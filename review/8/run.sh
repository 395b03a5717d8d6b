#!/bin/bash
# Runs case 8; TROUBLE=0 runs it without late orders.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/foxtailcroft ] && [ -x target/review-2/8 ] || { echo "build first"; exit 2; }
exec timeout -k 5 118 target/review-2/8 target/foxtailcroft review/8/record.txt
