#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j "$(nproc)" >/dev/null
