#!/bin/sh
# Builds what the scripts of the cases start, beside the program that the deploy file builds: the
# project's stand-in for the platform, and one program for each case.
set -eu
cd "$(dirname "$0")/.."
make -j6 BUILD=target target/standin-site
mkdir -p target/review
for source in review/[0-9]*/case.c; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE \
    review/standin/standin.c "$source" -o "target/review/case-$number" -lpthread
done
