#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the packages of the deploy file, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread)
g++ "${flags[@]}" -c review/standins-3/World.cpp -o "$out/World.o"
for scenario in review/1[1-5]/scenario.cpp; do
    [ -e "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    g++ "${flags[@]}" "$scenario" "$out/World.o" -o "$out/case-$number"
done
