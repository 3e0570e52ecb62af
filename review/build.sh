#!/usr/bin/env bash
# Builds the programs of the cases, with all their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    n=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -pthread -o "target/review/case-$n" "$source"
done
