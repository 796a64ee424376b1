#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/, after the build of the
# deploy file, and those of the faults that KNOWN-RED.txt names beside them. The log of the platform
# is the project's own stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
to=target/review-2
mkdir -p "$to"
flags=(-std=c++20 -O1 -g -I src -I tests -I review/stand_ins_2)
g++ "${flags[@]}" -c tests/stand_ins/prepared_platform.cpp -o "$to/prepared_platform.o" &
platform=$!
g++ "${flags[@]}" -c tests/stand_ins/odd_responses.cpp -o "$to/odd_responses.o"
wait "$platform"
programs=()
for source in review/stand_ins_2/*.cpp; do
    g++ "${flags[@]}" "$source" "$to/prepared_platform.o" "$to/odd_responses.o" \
        -o "$to/$(basename "$source" .cpp)" -lcpp-httplib -lfmt -lpthread &
    programs+=($!)
done
for program in "${programs[@]}"; do
    wait "$program"
done
