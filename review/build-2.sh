#!/usr/bin/env bash
# Builds the cases of the second review with their stand-ins, into build-review-2/. They need only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for it in review/{6,7,8,9,10}/scenario.cpp; do
    [ -f "$it" ] || continue
    number=$(basename "$(dirname "$it")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/standins-2 "$it" review/standins-2/World.cpp \
        -o "build-review-2/case-$number"
done
