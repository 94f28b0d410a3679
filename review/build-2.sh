#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# target/review-2. Needs only packages that deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -pthread -I review/common-2 \
    -o "target/review-2/case-$number" "$source"
done
