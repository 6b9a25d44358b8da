#!/bin/bash
# Builds the stand-ins that the scripts of review/ start, into build/.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 build/release/pb-rows
mkdir -p build/review
for name in engine client; do
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o "build/review/review-$name" "review/$name.c"
done
