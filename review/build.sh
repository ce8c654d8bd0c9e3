#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" \
    "$source" review/stand_ins/stand_ins.cc
done
