#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11, 13, 14 and 15 start, beside the program that the
# deploy file builds.
set -eu
cd "$(dirname "$0")/.."
make -j6 BUILD=target target/standin-site
gcc -std=gnu11 -O2 -Wall -Wextra -o target/review-engine-3 review/engine-3.c -lpthread
gcc -std=gnu11 -O2 -Wall -Wextra -o target/review-crowd-3 review/crowd-3.c
