#!/usr/bin/env bash
# Builds the stand-ins of the cases 6, 7 and 9 into target/review-2/, after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 9; do
  g++ -std=c++20 -O1 -pthread "review/$case/case.cc" \
    review/stand_ins_2/harness.cc -o "target/review-2/case-$case"
done
